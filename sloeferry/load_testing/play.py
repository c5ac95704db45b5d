"""One play: stand-ins, daemons and callers together, from start to figures."""

import json
import os
import pathlib
import signal
import subprocess
import sys
from dataclasses import dataclass
from time import monotonic, sleep

from sloeferry.load_testing.plan import LoadPlanError, Plan
from sloeferry.load_testing.proxies import Daemon, workshop
from sloeferry.load_testing.tally import Tally
from sloeferry.stand_ins.processes import free_ports

LEAD = 1.0  # seconds for the workers to start before the first arrival
HOST = "127.0.0.1"


@dataclass(frozen=True)
class Rig:
    """What a plan is played on.  `cores` None: unthrottled; `target` host:port of a proxy that runs already."""

    cores: float | None = 0.7
    daemons: int = 1
    workers: int = 2
    backends: int = 12
    backend_cores: int = 4
    queue: int = 40
    work_ms: float = 4.0
    body: int = 512
    sockets: int = 1024
    memory: int = 128
    tree: str | None = None
    target: str | None = None
    troubles: tuple[tuple[int, str, float, float], ...] = ()  # backend, silent or errs, from, to in seconds
    shares: tuple[tuple[float, float], ...] = ()  # at this second the daemons get so much of a core
    stalls: tuple[tuple[float, float], ...] = ()  # at this second they stand still for so long
    restart: float | None = None  # at this second they are killed and started anew
    keep_logs: str | None = None


def root():
    return str(pathlib.Path(__file__).resolve().parents[2])


def cores_for(rig):
    """Which core each process gets: daemons one each, the rest share what is left; None where there are too few."""
    have = sorted(os.sched_getaffinity(0))
    if len(have) < rig.daemons + 2:
        return [None] * rig.daemons, None
    return have[-rig.daemons :], set(have[: -rig.daemons])


def start(module, told, cores):
    process = subprocess.Popen(
        [sys.executable, "-m", module], cwd=root(), stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    if cores:
        os.sched_setaffinity(process.pid, cores)
    process.stdin.write(json.dumps(told))
    process.stdin.close()
    process.stdin = None  # communicate would flush it again
    return process


def play(plan: Plan, rig: Rig) -> dict:
    """Plays a plan once; the figures, with `by_second` for whoever wants the course.

    Raises Fault where a daemon doesn't come up or the callers could not keep up with their own plan.
    """
    own, others = cores_for(rig)
    with workshop() as folder:
        ports = free_ports(HOST, rig.backends + 1 + rig.daemons)
        places = [f"{HOST}:{port}" for port in ports[: rig.backends]]
        discovery = f"{HOST}:{ports[rig.backends]}"
        addresses = [(HOST, port) for port in ports[rig.backends + 1 :]]
        begin = monotonic() + 1.5 + LEAD
        standins, daemons, workers = None, [], []
        try:
            if rig.target:
                host, _, port = rig.target.rpartition(":")
                addresses = [(host, int(port))]
            else:
                standins = start(
                    "sloeferry.load_testing.stand_in_processes",
                    {
                        "places": places,
                        "discovery": discovery,
                        "cores": rig.backend_cores,
                        "queue": rig.queue,
                        "work_ms": rig.work_ms,
                        "body": rig.body,
                        "seed": plan.seed,
                        "at_most": plan.seconds() + 60,
                        "troubles": {str(at): (what, begin + since, begin + until) for at, what, since, until in rig.troubles},
                    },
                    others,
                )
                if standins.stdout.readline().strip() != "ready":
                    raise LoadPlanError("stand-ins: did not come up")

                def daemon(at):
                    return Daemon(
                        rig.tree or root(),
                        folder,
                        f"n{at}",
                        addresses[at],
                        discovery,
                        plan,
                        rig.cores,
                        own[at],
                        rig.sockets,
                        rig.memory,
                        at,
                        rig.daemons,
                    )

                daemons = [daemon(at) for at in range(rig.daemons)]
                for one in daemons:
                    one.ready()
            begin = max(begin, monotonic() + LEAD)
            for at in range(rig.workers):
                address = addresses[at % len(addresses)]
                workers.append(
                    start(
                        "sloeferry.load_testing.clients",
                        {"plan": plan.part(at, rig.workers).as_json(), "address": address, "start": begin},
                        others,
                    )
                )
            before = watch(plan, rig, begin, daemons, daemon if daemons else None)
            tally, late = Tally(), 0.0
            for worker in workers:
                text = worker.communicate(timeout=plan.seconds() + 60)[0]
                if worker.returncode:
                    raise LoadPlanError("callers: a worker failed")
                told = json.loads(text)
                tally.add(told)
                late = max(late, told["late"])
            return figures(plan, rig, begin, tally, late, daemons, before, standins)
        finally:
            for one in daemons:
                one.end()
                if rig.keep_logs:
                    pathlib.Path(rig.keep_logs, f"{one.name}.log").write_bytes(one.log.read_bytes())
            for process in (*workers, standins):
                if process and process.poll() is None:
                    process.kill()
                    process.wait()


def watch(plan, rig, begin, daemons, again):
    """Lets the play run, with what befalls the daemons on the way; their CPU seconds before and after."""
    events = [(at, "share", share) for at, share in rig.shares] + [(at, "stall", s) for at, s in rig.stalls]
    events += [(rig.restart, "restart", 0.0)] if rig.restart is not None else []
    sleep(max(0.0, begin - monotonic()))
    used = [one.throttle.cpu_seconds() for one in daemons]
    for at, what, figure in sorted(events):
        sleep(max(0.0, begin + at - monotonic()))
        for place, one in enumerate(daemons):
            if what == "share":
                one.throttle.share = figure
            elif what == "stall":
                one.throttle.pause(figure)
            else:
                spent = one.throttle.cpu_seconds()
                one.process.kill()
                one.end()
                daemons[place] = again(place)
                daemons[place].ready()
                used[place] -= spent
    sleep(max(0.0, begin + plan.seconds() - monotonic()))
    return used, [one.throttle.cpu_seconds() for one in daemons]


def figures(plan, rig, begin, tally, late, daemons, before, standins):
    # The first second warms up: connections are opened, the decisions know nothing yet.
    since = 1.0 if plan.seconds() > 2 else 0.0
    said = tally.figures(since, plan.seconds())
    said["late_callers_ms"] = late * 1000
    if daemons:
        used, after = before
        spent = sum(after) - sum(used)
        txns = tally.offered(0, plan.seconds())
        lags = sorted(ms for one in daemons for at, ms in one.lag.seen if begin + since <= at < begin + plan.seconds())
        said.update(
            cpu_us=spent * 1e6 / max(1, txns),
            cpu_us_served=spent * 1e6 / max(1, tally.total("in_time")),
            cpu=spent / plan.seconds() / rig.daemons,
            memory_mb=max(one.memory() for one in daemons),
            lag_p50=lags[len(lags) // 2] if lags else float("nan"),
            lag_p99=lags[int(len(lags) * 0.99)] if lags else float("nan"),
        )
        said["undecided"] = sum(one.log.read_text().count("no answer decided in time") for one in daemons)
    if standins:
        standins.send_signal(signal.SIGTERM)
        said["backends"] = json.loads(standins.communicate(timeout=10)[0])
    return dict(said, by_second=tally.as_json()["by_second"], recovered=tally.recovered)
