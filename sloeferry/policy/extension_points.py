"""Calls the extension points by which other subsystems take part in the policy's decisions.  Free of I/O."""

from typing import Any

from sloeferry.policy.interface import ExtensionPoint


class ExtensionPoints:
    """Combines the installed extension points into one `ExtensionPoint`; without any, the policy decides alone."""

    def __init__(self):
        self._installed: list[ExtensionPoint] = []

    def __bool__(self) -> bool:
        """Return whether any extension point is installed."""
        return bool(self._installed)

    def install(self, extension: ExtensionPoint) -> None:
        """Install an extension point; it is called after those installed earlier."""
        self._installed.append(extension)

    def retry_after_if_rejected_ms(
        self, now: float, request_class: Any, tenant_index: int, is_retry: bool, has_waited: bool
    ) -> float | None:
        """Return the Retry-After of the first extension point that rejects the request, or None to accept it.

        0.0 rejects the request without a Retry-After.
        """
        for extension in self._installed:
            delay_ms = extension.retry_after_if_rejected_ms(now, request_class, tenant_index, is_retry, has_waited)
            if delay_ms is not None:
                return delay_ms
        return None

    def may_retry(self, now: float, request: Any) -> bool:
        """Return whether all extension points allow another attempt; the first refusal ends the search."""
        return all(extension.may_retry(now, request) for extension in self._installed)

    def is_overloaded(self) -> bool:
        """Return whether any extension point reports this proxy as overloaded."""
        return any(extension.is_overloaded() for extension in self._installed)

    def request_accepted(self, now: float, request: Any) -> None:
        """Notify all extension points."""
        for extension in self._installed:
            extension.request_accepted(now, request)

    def request_ended(self, request: Any, is_served: bool) -> None:
        """Notify all extension points."""
        for extension in self._installed:
            extension.request_ended(request, is_served)
