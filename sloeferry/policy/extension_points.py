"""Where other subsystems' decisions join the policy's: free of I/O, asked in the order in which they were installed."""

from typing import Any

from sloeferry.policy.interface import ExtensionPoint


class ExtensionPoints:
    """All that are installed, as one `ExtensionPoint`.  With none installed every answer is the policy's own."""

    def __init__(self):
        self._installed: list[ExtensionPoint] = []

    def __bool__(self) -> bool:
        """Whether any is installed."""
        return bool(self._installed)

    def install(self, extension: ExtensionPoint) -> None:
        """Appends an extension point: it is asked after those installed before."""
        self._installed.append(extension)

    def rejection_delay_ms(
        self, now: float, request_class: Any, tenant_index: int, is_retry: bool, has_waited: bool
    ) -> float | None:
        """The Retry-After of the first that rejects the request; None if none does."""
        for extension in self._installed:
            delay = extension.rejection_delay_ms(now, request_class, tenant_index, is_retry, has_waited)
            if delay is not None:
                return delay
        return None

    def may_retry(self, now: float, request: Any) -> bool:
        """Whether all of them allow another attempt; those behind one that does not are not asked."""
        return all(extension.may_retry(now, request) for extension in self._installed)

    def is_overloaded(self) -> bool:
        """Whether any of them says so."""
        return any(extension.is_overloaded() for extension in self._installed)

    def request_accepted(self, now: float, request: Any) -> None:
        """Tells all of them."""
        for extension in self._installed:
            extension.request_accepted(now, request)

    def request_ended(self, request: Any, is_served: bool) -> None:
        """Tells all of them."""
        for extension in self._installed:
            extension.request_ended(request, is_served)
