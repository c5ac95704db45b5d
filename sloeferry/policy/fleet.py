"""An instance's place in the fleet, and its part of what all proxies together may do."""

from sloeferry.config.settings import Settings

GOLDEN_RATIO = 0.618034  # its multiples lie evenly spread between 0 and 1


class FleetShare:
    """Of how many instances this is which."""

    def __init__(self, settings: Settings):
        self.instance_count = settings.instance_count
        self.instance_index = settings.instance_index
        self.zone = settings.zone
        self.process_count = 1  # processes that are this one instance, while one takes over from another
        self.phase_ratio = self.instance_index * GOLDEN_RATIO % 1  # 0 to 1, spread over the fleet

    def budget_divisor(self) -> float:
        """Into how many parts a budget of the whole fleet is divided."""
        return max(1.0, self.instance_count * self.process_count)
