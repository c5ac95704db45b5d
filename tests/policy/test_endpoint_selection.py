"""Which endpoint a request goes to where the least loaded one is the wrong one."""

from sloeferry.policy.interface import AttemptOutcome, EndpointEntry, EndpointState, ListScope
from tests.support.golden import GoldenFiles
from tests.support.policy_recorder import PolicyRecorder

HOME, OTHER = ("h1", "h2"), ("w1", "w2")  # endpoints of two zones


def test_zone_out_of_reach_for_this_proxy(golden: GoldenFiles):
    """The home zone serves others and reports itself idle, but two in three of this proxy's requests are lost on the way there.
    The other zone, busier and dearer, gets them, one now and then tries the way, and all are at home again after its end."""
    recorder = PolicyRecorder(tariffs__cross_zone=0.03, load_info__via="probe", limits__probing=False)
    recorder.publish_endpoints(*((name, 0) for name in HOME), *((name, 1) for name in OTHER))
    sent: list[tuple[int, str]] = []  # when, to which endpoint
    lost: list[tuple[int, int]] = []  # times out at, request id
    for request_id, at in enumerate(range(0, 28000, 40)):
        recorder.advance_to(float(at))
        for name in HOME + OTHER:
            recorder.report_load(name, 0 if name in HOME else 1)
        while lost and lost[0][0] <= at:
            _, lost_id = lost.pop(0)
            recorder.end_attempt(lost_id, 0, AttemptOutcome.TIMED_OUT, is_answered=False, took_ms=1000.0)
        recorder.request(request_id, class_index=2)
        if not recorder.was_sent(request_id):
            continue
        endpoint_id = next(line for line in reversed(recorder.lines) if f"post {request_id}/0" in line).split()[-1]
        sent.append((at, endpoint_id))
        if endpoint_id in HOME and 4000 <= at < 14000 and request_id % 3:
            lost.append((at + 1000, request_id))
        else:
            recorder.end_attempt(request_id, 0, AttemptOutcome.SERVED, took_ms=150.0)
    recorder.lines = []
    for begin in range(0, 28000, 4000):
        endpoints = [endpoint_id for at, endpoint_id in sent if begin <= at < begin + 4000]
        to_other = sum(endpoint_id in OTHER for endpoint_id in endpoints)
        recorder.lines.append(f"{begin // 1000:2d} to {begin // 1000 + 4} s: {len(endpoints)} sent, {to_other} to the other zone")
    ejected = [each.endpoint_id for each in recorder.policy.table.ready if each.ejected_until > recorder.now]
    recorder.record(f"backends that rest: {ejected}")
    golden.check(recorder.lines, "blame_way")


def test_endpoints_without_room_for_connections(golden: GoldenFiles):
    """Endpoint a takes one connection and no second, b to d take none at all.  The open one is used though a holds more than
    the others report, and a is not ejected for the connection that it refuses."""
    recorder = PolicyRecorder(tariffs__probe=0.0)
    recorder.publish_endpoints("a", "b", "c", "d")
    attempted: list[str] = []
    for request_id in range(60):
        recorder.request(request_id, class_index=2)
        attempted += end_attempts(recorder, request_id)
        recorder.advance_by(50.0)
    recorder.request(100)
    first = recorder.last_endpoint_id()
    recorder.request(101)
    is_also_at_a = recorder.last_endpoint_id() == "a"
    shares = [attempted[begin : begin + 10].count("a") for begin in range(0, len(attempted) - 9, 10)]
    recorder.lines = [f"of each ten postings to a: {shares}"]
    recorder.record(f"then to {first}, and while that is out to {'a' if is_also_at_a else 'another or none'}")
    if is_also_at_a:
        recorder.end_attempt(101, 0, AttemptOutcome.UNREACHABLE, is_answered=False)
    recorder.record(f"a rests: {recorder.policy.table.by_id['a'].ejected_until > recorder.now}")
    golden.check(recorder.lines, "blame_seat")


def end_attempts(recorder: PolicyRecorder, request_id: int) -> list[str]:
    """Endpoint a serves, others cannot be reached, until the request is sent nowhere else; where its attempts went."""
    attempted: list[str] = []
    while recorder.was_sent(request_id):
        attempt_number = recorder.last_attempt[request_id]
        attempted.append(recorder.last_endpoint_id())
        if attempted[-1] == "a":
            recorder.end_attempt(request_id, attempt_number, AttemptOutcome.SERVED, 2, took_ms=40.0)
            break
        recorder.end_attempt(request_id, attempt_number, AttemptOutcome.UNREACHABLE, is_answered=False)
        if recorder.last_attempt[request_id] == attempt_number:
            break
    return attempted


def test_machine_kind_and_heavy_requests(golden: GoldenFiles):
    """One of two kinds of machine is far faster.  What few responses taught of it is believed of all its kind; a request whose
    hint says that it takes most of its latency objective goes there though it holds more, a light one does not."""
    recorder = PolicyRecorder(load_info__via="answers")
    policy = recorder.policy
    fast, slow = ("q1", "q2", "q3"), ("s1", "s2", "s3")
    unheard = "q3"  # its kind alone speaks for it
    entries = [EndpointEntry(name, 0, int(name in slow), 0, EndpointState.READY, 0.0) for name in fast + slow]
    policy.endpoints_listed(0.0, ListScope.COMPLETE, entries)
    for request_id in range(60):
        policy.request_arrived(recorder.now, request_id, 0, 0, 0, 1000.0, 100.0, False)
        endpoint_id = recorder.last_endpoint_id()
        if endpoint_id == unheard:
            recorder.end_attempt(request_id, 0, AttemptOutcome.UNKNOWN, is_answered=True)
        else:
            recorder.end_attempt(request_id, 0, AttemptOutcome.SERVED, 0, took_ms=50.0 if endpoint_id in fast else 90.0)
        recorder.advance_by(20.0)
    recorder.lines = []
    slowdowns = [f"{each.endpoint_id}={policy.latency.slowdown(each, recorder.now):.2f}" for each in policy.table.ready]
    recorder.record("paces " + " ".join(slowdowns))
    for name in fast + slow:
        policy.feedback.load_reported(policy.table.by_id[name], recorder.now, (2.0 if name in fast else 1.0,))
    policy.table.candidates_chosen_at = -1.0
    policy.latency.level_slowdowns[1:3] = (1.1, 1.2)
    for request_id, cost_ms in ((100, 100.0), (101, 500.0)):
        policy.request_arrived(recorder.now, request_id, 0, 0, 0, 1000.0, cost_ms, False)
    golden.check(recorder.lines, "blame_make")
