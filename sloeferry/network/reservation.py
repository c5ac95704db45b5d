"""Memory reserved for one message, of the account in `memory_budget.py`."""

from typing import Protocol


class ReservingAccount(Protocol):
    """The account that a reservation is charged to; bytes."""

    def release(self, size: int) -> None:
        """Release a part of a reservation."""

    def reservation_ended(self, size: int) -> None:
        """Release the rest of a reservation."""


class Reservation:
    """Memory reserved for one message; released when it is freed."""

    __slots__ = ("_account", "size")

    def __init__(self, account: ReservingAccount, size: int):
        self._account = account
        self.size = size

    def shrink(self, size: int) -> None:
        """Release all but `size` bytes."""
        if size < self.size:
            surplus, self.size = self.size - size, size
            self._account.release(surplus)

    def merge(self, other: "Reservation") -> None:
        """Take over the memory of another reservation."""
        self.size += other.size
        other.size = 0

    def __del__(self) -> None:
        self._account.reservation_ended(self.size)
