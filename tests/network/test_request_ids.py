"""Request ids are remembered, in a bounded memory, also by the processes of one proxy together."""

import os
from pathlib import Path
from unittest import mock

import pytest

from sloeferry import environment
from sloeferry.lifecycle.request_id_files import RequestIdFolder
from sloeferry.network.request_ids import MAX_LOAD_RATIO, RETENTION_MS, RequestIds, slot_count

SLOTS = 64


def make_id(number: int) -> bytes:
    return b"%016x" % number


def shared_ids(folder: Path, name: str, alive: set[str]) -> tuple[RequestIds, RequestIdFolder]:
    """Return the ids of one of several processes that share a folder."""
    ids = RequestIds(SLOTS)
    id_folder = RequestIdFolder(str(folder), name, ids.total_bytes(), alive.__contains__)
    ids.share(id_folder)
    return ids, id_folder


def test_repeated_id_is_known():
    """Guards against a request that runs twice; each new id, also beside many others, is taken once."""
    ids = RequestIds(slot_count(1 << 25))
    assert all(ids.add(make_id(number)) for number in range(5000))
    assert not any(ids.add(make_id(number)) for number in range(5000))


def test_last_ids_are_known_however_many_come():
    """Memory does not grow under ever new ids, and the last ones of a table's size are known at any time."""
    ids = RequestIds(SLOTS)
    last_count = int(SLOTS * MAX_LOAD_RATIO)
    for number in range(20 * SLOTS):
        assert ids.add(make_id(number))
        assert not ids.add(make_id(max(0, number - last_count + 1)))
    assert ids.total_bytes() == 2 * 8 * SLOTS


def test_id_is_known_for_its_retention():
    """An id is known for as long as it is to be kept, and need not be after two such times."""
    now_ms = 1000.0
    with mock.patch.object(environment, "monotonic_ms", lambda: now_ms):
        ids = RequestIds(SLOTS)
        assert ids.add(b"a")
        now_ms += RETENTION_MS - 1
        assert not ids.add(b"a")
        now_ms += RETENTION_MS + 2
        assert ids.add(b"b")
        now_ms += RETENTION_MS + 2
        assert ids.add(b"a")


@pytest.mark.parametrize("starts_after", [False, True], ids=["before", "after"])
def test_id_of_another_process_is_known(starts_after: bool, tmp_path: Path):
    """Guards against a request that runs twice across an upgrade; also if the other process starts after it, or has ended."""
    alive = {"first", "second"}
    first, first_folder = shared_ids(tmp_path, "first", alive)
    second, _ = shared_ids(tmp_path, "second", alive) if not starts_after else (None, None)
    assert all(first.add(make_id(number)) for number in range(3 * SLOTS))
    if second is None:
        second, _ = shared_ids(tmp_path, "second", alive)
    assert not second.add(make_id(3 * SLOTS - 1))
    alive.remove("first")
    first_folder.close()
    assert not second.add(make_id(3 * SLOTS - 2))
    assert second.add(b"new") and not second.add(b"new")


def test_files_of_ended_processes_are_deleted_after_the_retention(tmp_path: Path):
    """Files of ended processes count as memory, and are deleted once their ids are no longer kept; that of a live one stays."""
    now_ms = 1000.0
    with mock.patch.object(environment, "monotonic_ms", lambda: now_ms):
        alive = {"live", "own"}
        for name in ("live", "ended"):
            shared_ids(tmp_path, name, alive)
        _, own_folder = shared_ids(tmp_path, "own", alive)
        own_folder.refresh()
        now_ms += RETENTION_MS + 1
        own_folder.refresh()
    assert sorted(path.name for path in tmp_path.iterdir()) == ["request-ids-live", "request-ids-own"]


def test_failing_disk_leaves_own_ids_known(tmp_path: Path):
    """On a disk that fails each process knows its own ids; on a full one the folder is refused, and no file is left."""
    ids, _ = shared_ids(tmp_path, "own", {"own"})
    with (
        mock.patch.object(os, "pwrite", side_effect=OSError(5, "EIO")),
        mock.patch.object(os, "stat", side_effect=OSError(5, "EIO")),
    ):
        assert ids.add(b"a") and not ids.add(b"a")
    with mock.patch.object(os, "posix_fallocate", side_effect=OSError(28, "ENOSPC")), pytest.raises(OSError, match="ENOSPC"):
        shared_ids(tmp_path, "other", set())
    assert [path.name for path in tmp_path.iterdir()] == ["request-ids-own"]
