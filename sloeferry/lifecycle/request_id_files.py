"""The request ids that the processes of one proxy have had, in the folder that they share.

Each process has a file with its tables (`network/request_ids.py`).  It stays when the process ends, for as long as ids are kept:
a request whose client left the earlier process may come again to this one.
"""

import contextlib
import os
from array import array
from collections.abc import Callable

from sloeferry import environment
from sloeferry.network.limited_log import warn
from sloeferry.network.request_ids import DIGEST_BYTES, EMPTY_SLOT, RETENTION_MS, TABLE_COUNT

FILE_PREFIX = "request-ids-"
SLOTS_PER_READ = 16


class RequestIdFile:
    """The tables of another process, which may have ended."""

    def __init__(self, path: str):
        """Open the file; raises OSError."""
        self._descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        self._slots = os.fstat(self._descriptor).st_size // (TABLE_COUNT * DIGEST_BYTES)
        self.ended_at_ms: float | None = None  # when its process was first found to have ended

    def contains(self, digest: int) -> bool:
        """Return whether the process has had the id; raises OSError."""
        return any(self._table_contains(number * self._slots, digest) for number in range(TABLE_COUNT))

    def _table_contains(self, first_slot: int, digest: int) -> bool:
        slot = digest % self._slots if self._slots else 0
        for _ in range(0, self._slots, SLOTS_PER_READ):
            length = min(SLOTS_PER_READ, self._slots - slot)
            data = os.pread(self._descriptor, length * DIGEST_BYTES, (first_slot + slot) * DIGEST_BYTES)
            for word in array("Q", data):
                if word in (digest, EMPTY_SLOT):
                    return word == digest
            slot = (slot + length) % self._slots
        return False

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)


class RequestIdFolder:
    """The files of this process and of the others, as one storage of request ids (`request_ids.IdStorage`)."""

    def __init__(self, path: str, process_id: str, size: int, is_process_alive: Callable[[str], bool]):
        """Create a file of `size` bytes in the folder `path`; raises OSError.

        `is_process_alive` tells it of another process by its id.
        """
        self._path = path
        self._own_name = FILE_PREFIX + process_id
        self._is_process_alive = is_process_alive
        self._others: dict[str, RequestIdFile] = {}  # by file name
        self._listed_at_ns = 0  # the time at which the folder had changed when it was last listed
        # Under another name until it has its full size, which tells the others where its tables begin.
        new_path = os.path.join(path, f"new-{process_id}")
        self._descriptor = os.open(new_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            os.posix_fallocate(self._descriptor, 0, size)
            os.replace(new_path, os.path.join(path, self._own_name))
        except OSError:
            os.close(self._descriptor)
            with contextlib.suppress(OSError):
                os.unlink(new_path)
            raise

    def write(self, data: bytes, offset: int) -> None:
        """Write a part of this process's tables; an error is logged."""
        try:
            os.pwrite(self._descriptor, data, offset)
        except OSError as error:
            warn("request ids not written", "error={!r}", error)

    def has_other(self, digest: int) -> bool:
        """Return whether another process has had the id; one whose file cannot be read is left out."""
        try:
            changed_at_ns = os.stat(self._path).st_mtime_ns
            if changed_at_ns != self._listed_at_ns:
                self._listed_at_ns = changed_at_ns
                self.refresh()
            return any(each.contains(digest) for each in self._others.values())
        except OSError as error:
            warn("request ids not read", "error={!r}", error)
            return False

    def refresh(self) -> None:
        """Open the files of new processes, and delete those of processes that ended long ago; raises OSError."""
        names = {name for name in os.listdir(self._path) if name.startswith(FILE_PREFIX) and name != self._own_name}
        for name in names - self._others.keys():
            with contextlib.suppress(FileNotFoundError):  # another process has deleted it
                self._others[name] = RequestIdFile(os.path.join(self._path, name))
        now = environment.monotonic_ms()
        for name, file in list(self._others.items()):
            if name not in names:
                self._forget(name)
            elif self._is_process_alive(name.removeprefix(FILE_PREFIX)):
                file.ended_at_ms = None
            elif file.ended_at_ms is None:
                file.ended_at_ms = now
            elif now > file.ended_at_ms + RETENTION_MS:
                self._forget(name)
                with contextlib.suppress(FileNotFoundError):  # another process has deleted it
                    os.unlink(os.path.join(self._path, name))

    def _forget(self, name: str) -> None:
        self._others.pop(name).close()

    def close(self) -> None:
        """Close all files; this process's own stays for the others."""
        for name in list(self._others):
            self._forget(name)
        os.close(self._descriptor)
