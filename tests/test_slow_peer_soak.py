"""A short soak with slow peers and small buffers, from fixed seeds; many seeds are run by hand (fault-testing.md)."""

import json
from collections import Counter
from random import Random

import pytest

from sloeferry.fault_testing.plan import read_plan
from sloeferry.fault_testing.plan_faults import MisbehavingClients, Termination, Uploads
from sloeferry.fault_testing.record_judge import EndedUpload, RecordJudge
from sloeferry.rehearsal.arrivals import plan_requests
from sloeferry.stand_ins.rules import Rule
from sloeferry.stand_ins.upload_client import UploadRecord
from sloeferry.stand_ins.upload_plays import AnswerKind, BackendPlay, draw_play
from tests import test_rig

# Whether small requests are answered within 50 ms of their time depends on the machine; the soak by hand judges that, too.
JUDGED_RULES = [rule for rule in Rule if rule is not Rule.ONE_ANSWER]
SEEDS_OF_INPUTS = range(1, 51)


@pytest.mark.parametrize("seed", [2, 4])
def test_no_rule_is_broken_beside_slow_peers(seed: int):
    """Guards against uploads that are answered late or never, long answers that are cut off, and the other rules."""
    _, text = test_rig.Processes.run_plan([f"slow-{seed}", "--json"])
    record = json.loads(text)
    assert record["void"] or {rule: record["rules"][rule] for rule in JUDGED_RULES} == dict.fromkeys(JUDGED_RULES, 0), record[
        "evidence"
    ]
    assert record["figures"]["uploads"] > 10


def test_soak_plays_slow_peers_small_buffers_signals_and_crowds():
    """The seeds that are run by hand have uploads in each plan, and small buffers, signals in series and crowds in many."""
    kinds: Counter[str] = Counter()
    for seed in SEEDS_OF_INPUTS:
        plan = read_plan(f"slow-{seed}")
        kinds["uploads"] += any(isinstance(fault, Uploads) for fault in plan.process_faults)
        kinds["small buffers"] += bool(plan.proxies.buffer_bytes and plan.backends[0].buffer_bytes)
        kinds["system's buffers"] += not plan.proxies.buffer_bytes
        kinds["series"] += sum(isinstance(fault, Termination) for fault in plan.process_faults) > 1
        kinds["crowd"] += any(
            isinstance(fault, MisbehavingClients) and fault.client_count >= 150 for fault in plan.process_faults
        )
    assert kinds["uploads"] == len(SEEDS_OF_INPUTS)
    assert min(kinds["small buffers"], kinds["system's buffers"], kinds["series"], kinds["crowd"]) > 5


def test_uploads_are_slow_on_each_side_and_answered_in_each_way():
    """Each kind of pace and answer is drawn, and a backend reads it from the request as the client meant it."""
    rng = Random(1)
    plays = [draw_play(rng) for _ in range(200)]
    assert {play.backend.answer for play in plays} == set(AnswerKind)
    assert len({(play.client_pace.pause_seconds, play.client_pace.bytes_per_second) for play in plays}) == 4
    assert {play.is_chunked for play in plays} == {True, False}
    for play in plays:
        assert BackendPlay.from_head(f"POST {play.backend.target()} HTTP/1.1\r\n".encode()) == play.backend
    assert BackendPlay.from_head(b"POST /api HTTP/1.1\r\n") is None


SERVED = {"status": 200, "is_whole": True}


@pytest.mark.parametrize(
    ("record", "expected"),
    [
        ({**SERVED, "written_at": 10.0, "answered_at": 11.2}, 0),
        ({**SERVED, "written_at": 10.0, "answered_at": 11.4}, 1),
        ({**SERVED, "written_at": None, "answered_at": 14.0}, 0),
        ({"written_at": 10.0}, 1),
        ({"written_at": None}, 0),
        ({"status": 200, "written_at": 10.0, "answered_at": 10.1}, 1),
    ],
    ids=["in time", "late", "before its last byte", "never", "not written", "cut off"],
)
def test_upload_is_judged_from_its_last_byte(record: dict, expected: int):
    """An upload is due from its last byte, with the half second after which its answer counts as none."""
    plan = read_plan("slow-1")
    judge = RecordJudge(plan, plan_requests(plan, Random("1/arrivals")))
    judge.uploads.append(EndedUpload("upload-1", "p0", 0.8, UploadRecord(began_at=9.0, **record), 15.0))
    judge.judge_uploads()
    assert judge.violation_counts[Rule.UPLOAD] == expected


@pytest.mark.parametrize(("is_answered", "expected"), [(True, 0), (False, 1)], ids=["cut off", "never answered"])
def test_sigkill_excuses_an_answer_that_had_begun_alone(is_answered: bool, expected: int):
    """A process that is ended after SIGTERM may cut off a long answer, but has to answer each upload before that."""
    plan = read_plan("slow-1")
    judge = RecordJudge(plan, plan_requests(plan, Random("1/arrivals")))
    record = UploadRecord(began_at=9.0, written_at=10.0)
    if is_answered:
        record.status, record.answered_at = 200, 10.2
    judge.uploads.append(EndedUpload("upload-1", "p0", 0.8, record, 11.0))
    judge.proxy_started("p0", 11.1)
    judge.judge_uploads()
    assert judge.violation_counts[Rule.UPLOAD] == expected


@pytest.mark.parametrize(("started_at", "expected"), [(0.0, 2), (4.0, 0)], ids=["same process", "next process"])
def test_repeated_id_at_the_next_process_is_no_attempt_of_the_first_request(started_at: float, expected: int):
    """An attempt after a request's answer breaks rule 1, unless the process that made it cannot have had that request."""
    plan = read_plan("slow-1")
    judge = RecordJudge(plan, plan_requests(plan, Random("1/arrivals")))
    judge.proxy_zones = {"p0": "a"}
    request_id = b"0000000000010000"
    judge.request_started(request_id, judge.planned_requests[1], "p0", 1.0, 2.0)
    judge.request_written(request_id, 1.0, 2.0)
    judge.tries[request_id].answered_at = 1.5
    judge.proxy_started("p0", started_at)
    judge.attempt_received("s-0001", "a", request_id, 5.0)
    assert judge.violation_counts[Rule.ONE_ANSWER] == expected
