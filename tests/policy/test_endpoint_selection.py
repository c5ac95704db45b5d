"""Endpoint selection where the endpoint with the lowest load estimate is not the best one."""

from sloeferry.policy.interface import AttemptOutcome, EndpointEntry, EndpointState, ListScope
from tests.support.golden import GoldenFiles
from tests.support.policy_recorder import PolicyRecorder

LOCAL, REMOTE = ("h1", "h2"), ("w1", "w2")  # endpoint ids of the local and of a remote zone


def test_zone_behind_a_bad_path(golden: GoldenFiles):
    """Guards against a bad path that no load report shows: the local zone serves other proxies and reports itself idle, but two
    in three of this proxy's requests to it are lost.  They go to the remote zone, which is busier and more expensive, except for
    occasional attempts on the bad path, and all return to the local zone once the path has recovered."""
    recorder = PolicyRecorder(tariffs__cross_zone=0.03, load_info__via="probe", limits__probing=False)
    recorder.publish_endpoints(*((name, 0) for name in LOCAL), *((name, 1) for name in REMOTE))
    sent: list[tuple[int, str]] = []  # (sent at, endpoint id)
    lost: list[tuple[int, int]] = []  # (times out at, request id)
    for request_id, at in enumerate(range(0, 28000, 40)):
        recorder.advance_to(float(at))
        for name in LOCAL + REMOTE:
            recorder.report_load(name, 0 if name in LOCAL else 1)
        while lost and lost[0][0] <= at:
            _, lost_id = lost.pop(0)
            recorder.end_attempt(lost_id, 0, AttemptOutcome.TIMED_OUT, is_answered=False, took_ms=1000.0)
        recorder.request(request_id, class_index=2)
        if not recorder.was_sent(request_id):
            continue
        endpoint_id = next(line for line in reversed(recorder.lines) if f"post {request_id}/0" in line).split()[-1]
        sent.append((at, endpoint_id))
        if endpoint_id in LOCAL and 4000 <= at < 14000 and request_id % 3:
            lost.append((at + 1000, request_id))
        else:
            recorder.end_attempt(request_id, 0, AttemptOutcome.SERVED, took_ms=150.0)
    recorder.lines = []
    for start in range(0, 28000, 4000):
        endpoints = [endpoint_id for at, endpoint_id in sent if start <= at < start + 4000]
        to_remote = sum(endpoint_id in REMOTE for endpoint_id in endpoints)
        recorder.lines.append(
            f"{start // 1000:2d} to {start // 1000 + 4} s: {len(endpoints)} sent, {to_remote} to the other zone"
        )
    ejected = [each.endpoint_id for each in recorder.policy.table.ready if each.ejected_until > recorder.now]
    recorder.record(f"backends that rest: {ejected}")
    golden.check(recorder.lines, "path_loss_to_local_zone")


def test_endpoint_at_its_connection_limit(golden: GoldenFiles):
    """Guards against ejecting an endpoint at its connection limit: a accepts one connection and refuses a second, b to d refuse
    all.  The open connection is used although a has more requests in flight than the others report, and a is not ejected."""
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
    shares = [attempted[start : start + 10].count("a") for start in range(0, len(attempted) - 9, 10)]
    recorder.lines = [f"of each ten postings to a: {shares}"]
    recorder.record(f"then to {first}, and while that is out to {'a' if is_also_at_a else 'another or none'}")
    if is_also_at_a:
        recorder.end_attempt(101, 0, AttemptOutcome.UNREACHABLE, is_answered=False)
    recorder.record(f"a rests: {recorder.policy.table.by_id['a'].ejected_until > recorder.now}")
    golden.check(recorder.lines, "open_connections_preferred")


def end_attempts(recorder: PolicyRecorder, request_id: int) -> list[str]:
    """End the request's attempts, served at endpoint a and unreachable elsewhere, and return the endpoints they went to."""
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


def test_machine_kind_and_long_requests(golden: GoldenFiles):
    """Guards against ignoring the machine kind: one of two kinds is far faster, which a few responses show for all endpoints of
    that kind.  A request whose cost hint is most of its latency objective goes to one of them even at a higher load, a short one
    doesn't."""
    recorder = PolicyRecorder(load_info__via="answers")
    policy = recorder.policy
    fast, slow = ("q1", "q2", "q3"), ("s1", "s2", "s3")
    without_report = "q3"  # its slowdown comes from its machine kind alone
    entries = [EndpointEntry(name, 0, int(name in slow), 0, EndpointState.READY, 0.0) for name in fast + slow]
    policy.endpoints_listed(0.0, ListScope.COMPLETE, entries)
    for request_id in range(60):
        policy.request_arrived(recorder.now, request_id, 0, 0, 0, 1000.0, 100.0, False)
        endpoint_id = recorder.last_endpoint_id()
        if endpoint_id == without_report:
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
    golden.check(recorder.lines, "machine_kind_and_long_requests")
