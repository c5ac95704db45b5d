"""One play in virtual time: the daemon's own code, as many proxies as the scenario says, and everybody else."""

import signal
import sys
import tempfile

from loguru import logger

from sloeferry import environment
from sloeferry.config.instance import read_instance_config
from sloeferry.lifecycle.proxy_process import serve
from sloeferry.rehearsal import baselines
from sloeferry.rehearsal.network import Epoll, Host, Net
from sloeferry.rehearsal.proxy_fleet import LONGEST, READY, Bank, Berth
from sloeferry.rehearsal.scenario import moment
from sloeferry.rehearsal.virtual_time import BEGIN, Process, World

EPOCH = 1767225600.0  # Unix time at the start where the scenario says none
CALLS = {"read": 2, "write": 2, "dial": 3, "accept": 2}  # what calls cost, in parts of a txn's four calls


class Virtual:
    """The house of a play in virtual time (bank.House)."""

    def __init__(self, scenario, seed, folder, policy, chance):
        epoch = moment(scenario.clock, ValueError) if scenario.clock else EPOCH
        self.world, self.folder, self.policy, net = World(seed, epoch, chance), folder, policy, scenario.network
        self.net = Net(self.world, net.same_ms / 1000, net.cross_ms / 1000, net.client_ms / 1000, net.jitter, net.pieces)
        self.loop = Process(self.world, Host(self.net, "127.1.0.1", None), "troubles")
        self.hosts, self.rng, self.unix = {}, self.world.rng, self.world.unix

    def host(self, address, zone):
        if address[0] not in self.hosts:
            self.hosts[address[0]] = Host(self.net, address[0], zone)
        return self.hosts[address[0]]

    def place(self, name, address, zone):
        return Process(self.world, self.host(address, zone), name)

    def cut(self, address, so):
        self.hosts[address[0]].cut = so

    def proxy(self, bank, at):
        return Proxy(self, bank, at)


class Proxy(Berth):
    """One proxy: a process that runs `serve`, and its lives."""

    def __init__(self, house, bank, at):
        super().__init__(house, bank, at)
        unit = bank.scenario.bank.txn_us / 1e6 / 8
        self.costs = {call: parts * unit for call, parts in CALLS.items()} if unit else {}

    def start(self):
        if self.process and not self.process.dead:
            return
        self.write()
        environ = {"BALANCER_CONFIG": str(self.path)}
        self.leaving = False
        host = self.house.host(self.address, self.zone)
        process = self.process = Process(self.house.world, host, self.name, self.costs)
        process.share = self.share
        work = serve(read_instance_config(environ), environ, lambda dispatcher: baselines.install(dispatcher, self.house.policy))
        process.main(work, self.over)
        self.bank.front.started(self.name)

    def over(self, process):
        """It ended by itself: as it was told to, or not."""
        if process is not self.process:
            return
        if not self.leaving:
            self.bank.front.ended(self.name, self.bank.scenario.front.notice_s)
            self.bank.judge.crashed(self.name, self.house.world.now, process.left)
        else:
            self.house.world.after(0.2, self.start)

    def kill(self):
        if self.process.dead:
            return
        self.bank.judge.was_killed(self.name, self.house.world.now)
        self.process.kill()
        self.bank.front.ended(self.name, self.bank.scenario.front.notice_s)

    def leave(self):
        """A planned restart."""
        if self.process.dead or self.leaving:
            return
        self.leaving, process = True, self.process
        process.signal(signal.SIGTERM)
        self.bank.front.ended(self.name, self.bank.scenario.front.entry_s)
        self.house.world.after(LONGEST, self.overdue, process)

    def overdue(self, process):
        if not process.dead and process is self.process:
            process.kill()  # what it still had is lost, and counts as lost
            self.start()

    def stop(self, seconds):
        self.bank.judge.stopped(self.name, self.house.world.now, self.house.world.now + seconds)
        self.process.halt(seconds)

    def starve(self, share):
        self.share = self.process.share = share

    def renew(self):
        """SIGHUP, with a file written anew."""
        if not self.process.dead:
            self.write()
            self.process.signal(signal.SIGHUP)


class Log:
    """The daemon's log, counted; its words go to `show` if any."""

    def __init__(self, show):
        self.show, self.count = show, {}

    def __call__(self, message):
        record = message.record
        level = record["level"].name
        self.count[level] = self.count.get(level, 0) + 1
        if self.show:
            self.show(f"{environment.monotonic() - BEGIN:9.4f} {level} {record['message']}")


def play(scenario, seed, policy="design", progress=None, show=None, chance=0):
    """Plays it; the record.  `progress` is called each virtual second.  Another `chance` is the same day, with the same
    txns and troubles, drawn anew in what its network and its proxies leave to luck."""
    with tempfile.TemporaryDirectory(prefix="rehearsal-") as folder:
        house = Virtual(scenario, seed, folder, policy, chance)
        world, log = house.world, Log(show)
        logger.remove()
        logger.add(log, level="INFO", format="{message}", catch=False)
        real = environment.replace(
            monotonic=world.monotonic,
            unix_time=world.unix,
            tcp_socket=house.net.sock,
            epoll=lambda: Epoll(house.net),
            has_peer_ended=lambda sock: sock.closed or sock.eof or bool(sock.fault),
        )
        try:
            bank = Bank(scenario, house)
            house.loop.create_task(bank.open())
            world.run(world.now + 0.1)
            for proxy in bank.proxies:
                proxy.start()
            begun = world.now
            while not all(bank.front.alive.values()) and world.now < begun + READY:
                world.run(world.now + 0.1)
            begun = world.now
            bank.begin(begun)
            last = begun + scenario.seconds
            while world.now < last or bank.busy() and world.now < last + bank.longest():
                world.run(min(world.now + 1.0, last + bank.longest()))
                if progress:
                    progress(world.now - begun, bank)
            record = bank.record(world.now)
            record["seed"], record["policy"], record["chance"] = seed, policy, chance
            record["log"] = dict(sorted(log.count.items()))
            record["faults"] = world.faults[:20]
            record["world"] = {"seconds": round(world.now - begun, 6), "events": world.events, "bytes": house.net.bytes}
            return record
        finally:
            world.end()
            environment.replace(**real)
            logger.remove()
            logger.add(sys.stderr, level="WARNING")
