"""The folder that a proxy's processes share: what the one before had learned, and who is there beside this one.

A process shows itself by a file that it keeps locked: the kernel lets go of the lock however the process ends, so nobody is
taken for alive who is not.  A snapshot is written beside the last one and put in its place complete; whoever reads it checks
all of it, and does without what is not as it should be.
"""

import contextlib
import fcntl
import hashlib
import json
import os
import secrets
from typing import Any, NamedTuple

FORMAT_VERSION = 2
MAX_SNAPSHOT_BYTES = 4 << 20  # more is neither written nor read
DIGEST_LINE_BYTES = 66  # a SHA-256 in hexadecimal and the end of its line, rounded up
MAX_AGE_MS = 60_000.0  # an older snapshot tells nothing of a minute that is gone
PROCESS_FILE = "process-"
SNAPSHOT_FILE = "snapshot"
READY, NOT_READY = b"ready", b"apart"  # what a process's file says; of one length
BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"


class Snapshot(NamedTuple):
    """What one process left to the next."""

    endpoints: dict[str, Any]  # the endpoint list, in discovery's form
    learned: dict[str, Any]  # `lifecycle/snapshot.py`


class SnapshotError(Exception):
    """Why a snapshot cannot be used."""


class PeerProcesses(NamedTuple):
    """The other processes of this proxy."""

    alive: int
    ready: int  # of them, those that serve


def boot_id() -> str:
    """What tells this run of the machine from others; wall clocks may be stepped meanwhile.  Empty where nothing does."""
    try:
        with open(BOOT_ID_PATH, encoding="ascii") as file:
            return file.read().strip()
    except OSError:
        return ""


class SnapshotStore:
    """One process's place in the folder.  Raises OSError where the folder cannot be used."""

    def __init__(self, path: str, name: str, site: str):
        """`name` of the proxy and `site`, a digest of what its settings call by index: others' files are not its own."""
        digest = hashlib.sha256(f"{name} {site}".encode()).hexdigest()[:16]
        self.path = os.path.join(path, "sloeferry-" + digest)
        self._name = name
        self._site = site
        os.makedirs(self.path, exist_ok=True)
        self._process_id = secrets.token_hex(8)  # not the process's number: that may be another's in the next container
        self.last_error: Exception | None = None  # why the last snapshot could not be written
        # The monotonic clock goes on from process to process, until the machine starts anew.
        self._boot_id = boot_id()
        self._process_path = os.path.join(self.path, PROCESS_FILE + self._process_id)
        self._is_shown_ready: bool | None = None
        self._lock_fd = self._lock()

    def _lock(self) -> int:
        while True:
            fd = os.open(self._process_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(fd, fcntl.LOCK_EX)
            # Between the two calls another may have found it unlocked, and taken it for one left by the dead.
            exists = os.path.exists(self._process_path)
            if exists and os.path.samestat(os.fstat(fd), os.stat(self._process_path)):
                return fd
            os.close(fd)

    # Who is there

    def publish_ready(self, is_ready: bool) -> None:
        """Tells the others whether this process serves."""
        if is_ready != self._is_shown_ready:
            os.pwrite(self._lock_fd, READY if is_ready else NOT_READY, 0)
            self._is_shown_ready = is_ready

    def find_peers(self) -> PeerProcesses:
        """The other processes of this proxy that live."""
        alive = ready = 0
        for entry in os.listdir(self.path):
            path = os.path.join(self.path, entry)
            if not entry.startswith(PROCESS_FILE) or path == self._process_path:
                continue
            try:
                fd = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
            except OSError:
                continue  # it has just left
            try:
                fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
                os.unlink(path)  # nobody holds it: that process has ended
            except BlockingIOError:
                alive += 1
                ready += os.pread(fd, len(READY), 0) == READY
            except OSError:
                pass
            finally:
                os.close(fd)
        return PeerProcesses(alive, ready)

    # Snapshots

    def write(self, now: float, endpoints: dict[str, Any], learned: dict[str, Any]) -> bool:
        """A snapshot, complete or not at all; whether it is there.  `now` in ms of the machine's monotonic clock."""
        path = f"{self.path}/{SNAPSHOT_FILE}-{self._process_id}"
        try:
            text = json.dumps(
                {
                    "v": FORMAT_VERSION,
                    "name": self._name,
                    "site": self._site,
                    "now": now,
                    "boot": self._boot_id,
                    "known": endpoints,
                    "memory": learned,
                },
                allow_nan=False,
            ).encode()
            if len(text) > MAX_SNAPSHOT_BYTES:
                raise ValueError(f"{len(text)} bytes, {MAX_SNAPSHOT_BYTES} at most")
            with open(path, "wb") as file:
                file.write(hashlib.sha256(text).hexdigest().encode() + b"\n" + text)
            os.replace(path, f"{self.path}/{SNAPSHOT_FILE}")
            self.last_error = None
        except (OSError, ValueError) as error:
            self.last_error = error
            with contextlib.suppress(OSError):  # a full disk is not to be filled by what is of no use
                os.unlink(path)
        return self.last_error is None

    def read(self, now: float) -> Snapshot:
        """The snapshot of an earlier process; raises SnapshotError where there is none that can be used."""
        try:
            with open(f"{self.path}/{SNAPSHOT_FILE}", "rb") as file:
                digest, _, text = file.read(MAX_SNAPSHOT_BYTES + DIGEST_LINE_BYTES).partition(b"\n")
        except OSError as error:
            raise SnapshotError(error.strerror) from None
        if hashlib.sha256(text).hexdigest().encode() != digest:
            raise SnapshotError("cut short or changed")
        snapshot = json.loads(text)  # it is what its writer wrote
        if (snapshot["v"], snapshot["name"], snapshot["site"]) != (FORMAT_VERSION, self._name, self._site):
            raise SnapshotError("of another version or proxy")
        if snapshot["boot"] != self._boot_id or not 0 <= now - snapshot["now"] < MAX_AGE_MS:
            raise SnapshotError("too old, or from another boot")
        return Snapshot(snapshot["known"], snapshot["memory"])

    def close(self) -> None:
        """The process is there no more."""
        with contextlib.suppress(OSError):
            os.unlink(self._process_path)
        os.close(self._lock_fd)
