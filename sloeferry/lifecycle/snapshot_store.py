"""Stores snapshots and detects peer processes in a folder that all processes of a proxy share.

Each process holds a lock on a file of its own.  The kernel releases the lock however the process ends, so a dead process never
counts as alive.  A snapshot is written to a separate file that atomically replaces the last one; the reader verifies all of it
and rejects a damaged one.
"""

import contextlib
import fcntl
import hashlib
import json
import os
import secrets
from typing import Any, NamedTuple

FORMAT_VERSION = 2
MAX_SNAPSHOT_BYTES = 4 << 20  # larger snapshots are neither written nor read
DIGEST_LINE_BYTES = 66  # a hexadecimal SHA-256 and its line end, rounded up
MAX_AGE_MS = 60_000.0  # learned state older than this is obsolete
PROCESS_FILE = "process-"
SNAPSHOT_FILE = "snapshot"
# Contents of a process's file, of equal length, in the format of earlier releases.
READY, NOT_READY = b"ready", b"apart"
BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"


class Snapshot(NamedTuple):
    """State that one process passes to the next."""

    endpoints: dict[str, Any]  # the endpoint list, in discovery's format
    learned: dict[str, Any]  # see `lifecycle/snapshot.py`


class SnapshotError(Exception):
    """Raised when there is no usable snapshot."""


class PeerProcesses(NamedTuple):
    """The numbers of other processes of this proxy."""

    alive: int
    ready: int  # those of them that serve


def boot_id() -> str:
    """Return the id of the machine's current boot, or "" if it is unavailable.

    Unlike a boot time derived from the wall clock, the id cannot change while the machine runs.
    """
    try:
        with open(BOOT_ID_PATH, encoding="ascii") as file:
            return file.read().strip()
    except OSError:
        return ""


class SnapshotStore:
    """The shared folder, as one process uses it; raises OSError if the folder cannot be used."""

    def __init__(self, path: str, name: str, indexed_names_digest: str):
        """Open the subfolder for the proxy's `name` and a digest of the lists that its settings refer to by index."""
        digest = hashlib.sha256(f"{name} {indexed_names_digest}".encode()).hexdigest()[:16]
        self.path = os.path.join(path, "sloeferry-" + digest)
        self._name = name
        self._indexed_names_digest = indexed_names_digest
        os.makedirs(self.path, exist_ok=True)
        self.process_id = secrets.token_hex(8)  # not the pid, which another container may use as well
        self.last_error: Exception | None = None  # of the last write; None if it succeeded
        # Processes of the same boot share the monotonic clock; it restarts with the machine.
        self._boot_id = boot_id()
        self._process_path = os.path.join(self.path, PROCESS_FILE + self.process_id)
        self._is_shown_ready: bool | None = None
        self._lock_fd = self._lock()

    def _lock(self) -> int:
        while True:
            fd = os.open(self._process_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(fd, fcntl.LOCK_EX)
            # Between the two calls a peer may have found the file unlocked, and deleted it as a leftover of a dead process.
            exists = os.path.exists(self._process_path)
            if exists and os.path.samestat(os.fstat(fd), os.stat(self._process_path)):
                return fd
            os.close(fd)

    # Peers

    def publish_ready(self, is_ready: bool) -> None:
        """Publish to the peers whether this process serves."""
        if is_ready != self._is_shown_ready:
            os.pwrite(self._lock_fd, READY if is_ready else NOT_READY, 0)
            self._is_shown_ready = is_ready

    def find_peers(self) -> PeerProcesses:
        """Count the other live processes of this proxy, and delete the files of dead ones."""
        alive = ready = 0
        for entry in os.listdir(self.path):
            path = os.path.join(self.path, entry)
            if not entry.startswith(PROCESS_FILE) or path == self._process_path:
                continue
            try:
                fd = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
            except OSError:
                continue  # its process has just ended
            try:
                fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
                os.unlink(path)  # no lock is held, so its process has ended
            except BlockingIOError:
                alive += 1
                ready += os.pread(fd, len(READY), 0) == READY
            except OSError:
                pass
            finally:
                os.close(fd)
        return PeerProcesses(alive, ready)

    def has_process(self, process_id: str) -> bool:
        """Return whether a process is alive, as far as the last call of `find_peers` has shown."""
        return os.path.exists(os.path.join(self.path, PROCESS_FILE + process_id))

    # Snapshots

    def write(self, now: float, endpoints: dict[str, Any], learned: dict[str, Any]) -> bool:
        """Write a snapshot atomically and return whether it succeeded; `now` in ms of the machine's monotonic clock."""
        path = f"{self.path}/{SNAPSHOT_FILE}-{self.process_id}"
        try:
            text = json.dumps(
                {
                    "v": FORMAT_VERSION,
                    "name": self._name,
                    "site": self._indexed_names_digest,
                    "now": now,
                    "boot": self._boot_id,
                    "known": endpoints,
                    "memory": learned,
                },
                allow_nan=False,
            ).encode()
            if len(text) > MAX_SNAPSHOT_BYTES:
                raise ValueError(f"{len(text)} bytes exceed the limit of {MAX_SNAPSHOT_BYTES} bytes")
            with open(path, "wb") as file:
                file.write(hashlib.sha256(text).hexdigest().encode() + b"\n" + text)
            os.replace(path, f"{self.path}/{SNAPSHOT_FILE}")
            self.last_error = None
        except (OSError, ValueError) as error:
            self.last_error = error
            with contextlib.suppress(OSError):  # a partial file would only occupy a full disk
                os.unlink(path)
        return self.last_error is None

    def read(self, now: float) -> Snapshot:
        """Return the snapshot of an earlier process; raise SnapshotError if there is no usable one."""
        try:
            with open(f"{self.path}/{SNAPSHOT_FILE}", "rb") as file:
                digest, _, text = file.read(MAX_SNAPSHOT_BYTES + DIGEST_LINE_BYTES).partition(b"\n")
        except OSError as error:
            raise SnapshotError(error.strerror) from None
        if hashlib.sha256(text).hexdigest().encode() != digest:
            raise SnapshotError("cut short or changed")
        snapshot = json.loads(text)  # the digest matches, so it is valid JSON
        if (snapshot["v"], snapshot["name"], snapshot["site"]) != (FORMAT_VERSION, self._name, self._indexed_names_digest):
            raise SnapshotError("of another version or proxy")
        if snapshot["boot"] != self._boot_id or not 0 <= now - snapshot["now"] < MAX_AGE_MS:
            raise SnapshotError("too old, or from another boot")
        return Snapshot(snapshot["known"], snapshot["memory"])

    def close(self) -> None:
        """Delete this process's file and release its lock."""
        with contextlib.suppress(OSError):
            os.unlink(self._process_path)
        os.close(self._lock_fd)
