"""Remembers the ids of recent requests, so that none is served twice under one id.

An id is new with every request.  One that comes again is another client's, or that of a request whose client has left and whose
attempts may still run; the only client that may repeat an id is one whose connection ended before its request was read.

Ids are kept as 64-bit digests in two hash tables of fixed size, which are filled in turn.
"""

import sys
from hashlib import blake2b
from typing import Protocol

from sloeferry import environment

DIGEST_BYTES = 8
TABLE_COUNT = 2
EMPTY_SLOT = 0
RETENTION_MS = 60_000.0  # after which the older table is cleared, or earlier if both are full
MAX_LOAD_RATIO = 3 / 4  # of the slots of a table; more would make look-ups slow
MAX_MEMORY_RATIO = 1 / 256  # of the memory limit, for all tables


class IdStorage(Protocol):
    """Where the processes of one proxy show each other the ids that they have had."""

    def write(self, data: bytes, offset: int) -> None:
        """Write a part of this process's tables; an error is not raised."""

    def has_other(self, digest: int) -> bool:
        """Return whether another process has had the id."""


def slot_count(memory_limit_bytes: int) -> int:
    """Return the number of slots of one table, a power of two."""
    slots = int(memory_limit_bytes * MAX_MEMORY_RATIO) // (TABLE_COUNT * DIGEST_BYTES)
    return 1 << (slots.bit_length() - 1)


class RequestIds:
    """The ids of the requests that this process has read."""

    def __init__(self, slots: int):
        """Create the tables; `slots` is a power of two."""
        self._mask = slots - 1
        self._tables = [memoryview(bytearray(slots * DIGEST_BYTES)).cast("Q") for _ in range(TABLE_COUNT)]
        self._current = 0  # the table that takes new ids
        self._count = 0  # of the ids in it
        self._filling_since_ms = environment.monotonic_ms()
        self._storage: IdStorage | None = None

    def add(self, request_id: bytes) -> bool:
        """Remember an id; return False if it has come before, to this process or another one of this proxy."""
        digest = int.from_bytes(blake2b(request_id, digest_size=DIGEST_BYTES).digest(), "little") or 1
        is_full = self._count > self._mask * MAX_LOAD_RATIO
        if is_full or environment.monotonic_ms() > self._filling_since_ms + RETENTION_MS:
            self._clear_older_table()
        current, older = self._tables[self._current], self._tables[self._current - 1]
        slot = self._slot(current, digest)
        if current[slot] == digest or older[self._slot(older, digest)] == digest:
            return False
        current[slot] = digest
        self._count += 1
        if self._storage is None:
            return True
        # Written before the others are asked: if two processes get one id at the same time, one at least sees the other's.
        self._storage.write(digest.to_bytes(DIGEST_BYTES, sys.byteorder), self._current * current.nbytes + slot * DIGEST_BYTES)
        return not self._storage.has_other(digest)

    def _slot(self, table: memoryview, digest: int) -> int:
        """Return the slot that holds the digest, or the empty one where it belongs."""
        mask = self._mask
        slot = digest & mask
        while (found := table[slot]) != digest and found != EMPTY_SLOT:
            slot = (slot + 1) & mask
        return slot

    def _clear_older_table(self) -> None:
        self._current = (self._current + 1) % TABLE_COUNT
        self._count, self._filling_since_ms = 0, environment.monotonic_ms()
        table = self._tables[self._current].cast("B")
        table[:] = bytes(table.nbytes)
        if self._storage:
            self._storage.write(bytes(table), self._current * table.nbytes)

    def share(self, storage: IdStorage) -> None:
        """Write the tables to a storage, and each later change; from now on an id that another process has had is known."""
        self._storage = storage
        for number, table in enumerate(self._tables):
            storage.write(table.tobytes(), number * table.nbytes)

    def total_bytes(self) -> int:
        """Return the size of all tables."""
        return sum(table.nbytes for table in self._tables)
