"""An instance's position in the fleet, and its share of budgets that the whole fleet shares."""

from sloeferry.config.settings import Settings

GOLDEN_RATIO = 0.618034  # its multiples modulo 1 are evenly distributed


class FleetShare:
    """Holds the index of this instance, the size of the fleet and the zone."""

    def __init__(self, settings: Settings):
        self.instance_count = settings.instance_count
        self.instance_index = settings.instance_index
        self.zone = settings.zone
        self.process_count = 1  # processes of this instance; more than one during a takeover
        self.phase_ratio = self.instance_index * GOLDEN_RATIO % 1  # 0 to 1, evenly distributed over the fleet

    def budget_divisor(self) -> float:
        """Return the number of shares into which a budget of the whole fleet is divided."""
        return max(1.0, self.instance_count * self.process_count)
