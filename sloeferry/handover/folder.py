"""The folder that a proxy's processes share: what the one before knew, and who is there beside this one.

A process shows itself by a file that it keeps locked: the kernel lets go of the lock however the process ends, so
nobody is taken for alive who is not.  What is known is written beside it and put in place whole; whoever reads it
checks all of it, and does without what is not as it should be.
"""

import contextlib
import fcntl
import hashlib
import json
import os
import secrets

VERSION = 2
LARGEST = 4 << 20  # bytes of a snapshot; more is neither written nor read
OLDEST = 60_000.0  # ms: what is older tells nothing of a minute that is gone


def boot():
    """What tells this run of the machine from others; wall clocks may be stepped meanwhile.  Empty where nothing does."""
    try:
        with open("/proc/sys/kernel/random/boot_id", encoding="ascii") as file:
            return file.read().strip()
    except OSError:
        return ""


class Folder:
    def __init__(self, path, name, site):
        """`name` of the proxy and `site`, a digest of what its settings call by place: others' files are not ours."""
        self.path = os.path.join(path, "sloeferry-" + hashlib.sha256(f"{name} {site}".encode()).hexdigest()[:16])
        self.name, self.site = name, site
        os.makedirs(self.path, exist_ok=True)
        self.ident = secrets.token_hex(8)  # not the process's number: that may be another's in the next room
        self.fault = None  # why the last snapshot could not be written
        self.boot = boot()  # the monotonic clock goes on from process to process, until the machine starts anew
        self.own, self.shown = os.path.join(self.path, f"process-{self.ident}"), None
        self.lock = self.locked()

    def locked(self):
        while True:
            fd = os.open(self.own, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(fd, fcntl.LOCK_EX)
            # Between the two calls another may have found it unlocked, and taken it for one left by the dead.
            if os.path.exists(self.own) and os.path.samestat(os.fstat(fd), os.stat(self.own)):
                return fd
            os.close(fd)

    def show(self, ready):
        """Tells the others whether this process serves."""
        if ready != self.shown:
            os.pwrite(self.lock, b"ready" if ready else b"apart", 0)
            self.shown = ready

    def mates(self):
        """The other processes of this proxy that live, and how many of them serve."""
        alive = ready = 0
        for entry in os.listdir(self.path):
            path = os.path.join(self.path, entry)
            if not entry.startswith("process-") or path == self.own:
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
                ready += os.pread(fd, 5, 0) == b"ready"
            except OSError:
                pass
            finally:
                os.close(fd)
        return alive, ready

    def write(self, now, known, memory):
        """A snapshot, whole or not at all; whether it is there.  `now` in ms of the machine's monotonic clock."""
        ours = f"{self.path}/snapshot-{self.ident}"
        try:
            text = json.dumps(
                {
                    "v": VERSION,
                    "name": self.name,
                    "site": self.site,
                    "now": now,
                    "boot": self.boot,
                    "known": known,
                    "memory": memory,
                },
                allow_nan=False,
            ).encode()
            if len(text) > LARGEST:
                raise ValueError(f"{len(text)} bytes, {LARGEST} at most")
            with open(ours, "wb") as file:
                file.write(hashlib.sha256(text).hexdigest().encode() + b"\n" + text)
            os.replace(ours, f"{self.path}/snapshot")
            self.fault = None
        except (OSError, ValueError) as fault:
            self.fault = fault
            with contextlib.suppress(OSError):  # a full disk is not to be filled by what is of no use
                os.unlink(ours)
        return self.fault is None

    def read(self, now):
        """The snapshot's list and memory; a text that says why there is none."""
        try:
            with open(f"{self.path}/snapshot", "rb") as file:
                digest, _, text = file.read(LARGEST + 66).partition(b"\n")
        except OSError as fault:
            return fault.strerror
        if hashlib.sha256(text).hexdigest().encode() != digest:
            return "cut short or changed"
        said = json.loads(text)  # it is what its writer wrote
        if (said["v"], said["name"], said["site"]) != (VERSION, self.name, self.site):
            return "of another version or proxy"
        if said["boot"] != self.boot or not 0 <= now - said["now"] < OLDEST:
            return "too old, or from another boot"
        return said["known"], said["memory"]

    def close(self):
        try:
            os.unlink(self.own)
        except OSError:
            pass
        os.close(self.lock)
