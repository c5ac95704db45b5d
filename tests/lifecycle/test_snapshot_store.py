"""Peer detection and atomic snapshots in the folder that a proxy's processes share."""

import errno
import json
import os
from pathlib import Path
from typing import Any
from unittest import mock

from sloeferry.lifecycle.snapshot_store import SnapshotError, SnapshotStore
from tests.support.golden import GoldenFiles


def read(store: SnapshotStore, now: float) -> tuple[Any, ...] | str:
    """Return the stored list and learned state, or the error."""
    try:
        return tuple(store.read(now))
    except SnapshotError as error:
        return str(error)


def test_peers_and_snapshots(golden: GoldenFiles, tmp_path: Path):
    """A live process is detected by its lock, however it ends; damaged, foreign and outdated snapshots are rejected."""
    lines: list[str] = []
    folder = str(tmp_path)
    first, second, other = (SnapshotStore(folder, name, "s") for name in ("n", "n", "m"))
    second.publish_ready(True)
    lines.append(f"others: {tuple(first.find_peers())}, {tuple(second.find_peers())}, {tuple(other.find_peers())}")
    os.close(second._lock_fd)  # as if killed: its file is not deleted
    lines.append(f"after one was killed: {tuple(first.find_peers())}")
    lines.append(f"nothing yet: {read(first, 0.0)}")
    first.write(100.0, {"revision": 1}, {"x": [1.5]})
    third = SnapshotStore(folder, "n", "s")
    for now in (200.0, 99.0, 1e6):
        lines.append(f"at {now:.0f}: {read(third, now)}")
    with mock.patch.object(third, "_boot_id", "another"):
        lines.append(f"at 200, the machine started anew: {read(third, 200.0)}")
    file = Path(third.path, "snapshot")
    complete = file.read_bytes()
    for damage, data in (
        ("cut", complete[:-1]),
        ("changed", complete.replace(b"1.5", b"2.5")),
        ("empty", b""),
        ("of another", complete.replace(b'"n"', b'"k"')),
    ):
        file.write_bytes(data)
        lines.append(f"{damage}: {read(third, 200.0)}")
    lines.append(f"no number: {third.write(1.0, {}, {'x': float('nan')})}")
    for store in (first, third, other):
        store.close()
    golden.check(lines, "peers_and_snapshots")


def test_failed_write_keeps_a_complete_snapshot(golden: GoldenFiles, tmp_path: Path):
    """After ENOSPC or EIO at any step of a write the old snapshot remains; a file cut after any byte is rejected."""
    lines: list[str] = []
    store = SnapshotStore(str(tmp_path), "n", "s")
    store.write(100.0, {"revision": 1}, {})
    file = Path(store.path, "snapshot")
    complete = file.read_bytes()
    for number in (errno.ENOSPC, errno.EIO):
        for step in ("builtins.open", "os.replace"):
            with mock.patch(step, side_effect=OSError(number, os.strerror(number))):
                is_written = store.write(200.0, {"revision": 2}, {})
            lines.append(f"{errno.errorcode[number]} at {step}: written {is_written}, stands {read(store, 300.0)}")
    results: set[str] = set()
    for length in range(len(complete)):  # as if the machine crashed during the write
        file.write_bytes(complete[:length])
        results.add(json.dumps(read(store, 300.0)))
    lines.append(f"cut after each byte: {results}")
    left = sorted(name.partition("-")[0] for name in os.listdir(store.path))
    lines.append(f"in the folder: {left}")
    store.close()
    golden.check(lines, "snapshot_write_failures")
