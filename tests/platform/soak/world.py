"""Everything that takes part in one run: machines of the system, targets, callers, routers, the operator."""

import asyncio
import collections
import itertools
import random

import http_call
import packets
from contact import STALL, Contact
from caller import DOWNLOAD, FEED, UPDATE, UPLOAD, Caller
from evacuations import Evacuations
from machine import INTERNAL_PORT, Machine
from narrow_link import NarrowLink
from operator_calls import Operator
from promises import Promises, now
from route_probes import RouteProbes
from router import Router
from target import Target
from version_watch import VersionWatch
from zone_paths import ZonePaths

ZONES = ("zone-a", "zone-b", "zone-c")
BALANCERS_PER_ZONE = 2
TARGETS_PER_ZONE = {"main": 2, "archive": 1}
CALLERS_PER_ZONE = 2
USERS_PER_CALLER = {FEED: 4, UPDATE: 3, DOWNLOAD: 1, UPLOAD: 1}
# What a balancer's link takes, as its settings say.
LINK_RATES = ("2.0", "1.0", "0.5")
TARGET_PORT = 8261
SEEDS = 3


class World:
    """One deployment on a loopback network of its own, 127.`network`.0.0/16."""

    datagram_port = 8172
    readiness_port = 8167
    control_port = 8166

    def __init__(self, seed, folder, build, network, proxy, controls, balancers_per_zone=BALANCERS_PER_ZONE):
        self.random = random.Random(seed)
        self.folder = folder
        self.build = build
        self.network = network
        self.proxy = proxy
        self.zones = ZONES
        self.contact = Contact()
        self.promises = Promises(self.contact)
        self.router = Router(self)
        self.operator = Operator(self)
        self.evacuations = Evacuations(self)
        self.paths = ZonePaths()
        self.loss = 0.0
        self.targets = []
        self.callers = []
        self.opened_at = {}
        self.failures = []
        # When a narrow link dropped packets, by flow.
        self.link_drops = collections.defaultdict(list)
        # Names of actions that are not played.
        self.left_out = set()
        self.tasks = []
        self.numbers = itertools.count(1)
        self.frontends = {("198.18.0.1", 443): (FEED, {"main", "archive"}),
                          ("198.18.0.1", 8080): (UPDATE, {"main"}),
                          ("198.18.0.2", 443): (DOWNLOAD, {"archive"}),
                          ("198.18.0.2", 8443): (UPLOAD, {"archive"})}
        self.zones_by_ip = {}
        self.link_rate = self.random.choice(LINK_RATES)
        self.all_machines = []
        self.controls = [self.make_control(ZONES[i % len(ZONES)]) for i in range(controls)]
        self.balancers = [Machine(self, "balancer", f"balancer-{zone[-1]}-{i}", zone, self.ip(10, next(self.numbers)))
                          for zone in ZONES for i in range(balancers_per_zone)]
        self.all_machines += self.balancers
        self.zones_by_ip.update({machine.ip: machine.zone for machine in self.balancers})
        self.links = {machine.ip: NarrowLink(float(self.link_rate)) for machine in self.balancers}
        # What is asked of each balancer goes more slowly where there are more: this program has one thread.
        self.slowness = balancers_per_zone / BALANCERS_PER_ZONE
        self.version_watches = [VersionWatch(self, machine) for machine in self.balancers]

    def ip(self, group, number):
        return f"127.{self.network}.{group}.{number}"

    def make_control(self, zone):
        """A machine that is known by one address and binds its internal port at another; the proxy between."""
        number = next(self.numbers)
        machine = Machine(self, "control", f"control-{number}", zone, self.ip(21, number), self.ip(20, number))
        self.all_machines.append(machine)
        self.zones_by_ip[machine.ip] = zone
        self.proxy.forward_tcp(machine.internal_address, f"{machine.listen_ip}:{INTERNAL_PORT}")
        return machine

    def seeds(self):
        return self.controls[:SEEDS]

    @property
    def machines(self):
        return self.controls + self.balancers

    def zone_of(self, ip):
        """None for what is in no zone."""
        return self.zones_by_ip.get(ip)

    def balancer_at(self, ip):
        return next((machine for machine in self.balancers if machine.ip == ip), None)

    def is_reachable(self, zone, address):
        """True when something in a zone reaches this address."""
        return self.paths.is_open(zone, self.zone_of(address.rsplit(":", 1)[0]))

    def balancers_beyond_a_cut(self, zone):
        return [machine.ip for machine in self.balancers if not self.paths.is_open(zone, machine.zone)]

    def begin_cut(self, zone):
        """Drops datagrams and messages between a zone and the others. Gives what `end_cut` takes."""
        sides = ([], [])
        for machine in self.machines:
            sides[machine.zone != zone].append(machine.message_address)
        self.paths.begin_cut(zone)
        self.apply_cuts_to_targets()
        return self.proxy.cut(*sides)

    def end_cut(self, zone, cut):
        print(f"{now() - self.began:7.1f} s  {self.paths.end_cut(zone)}", flush=True)
        self.apply_cuts_to_targets()
        self.proxy.heal(cut)

    def apply_cuts_to_targets(self):
        for target in self.targets:
            target.sockets.leave_silent(self.balancers_beyond_a_cut(target.zone))

    def control_addresses(self):
        return [machine.control_address for machine in self.controls]

    def is_lost(self):
        return self.loss > 0 and self.random.random() < self.loss

    def note_link_drop(self, octets):
        packet = packets.decode(octets)
        if packet is not None:
            self.link_drops[packet.source, packet.destination].append(now())

    def holder_of(self, key):
        """The living target where a flow is open."""
        return next((t for t in self.targets if t.is_running and key in t.flows and t.flows[key].is_open), None)

    def holder_of_opening(self, key):
        """The living target that took the opening packet of a flow, which it forgets."""
        for target in self.targets:
            if target.is_running and target.flows.pop(key, None) is not None:
                return target
        return None

    def on_target_ended(self, target):
        self.targets.remove(target)

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    # Targets.
    def start_target(self, service, zone, address=None):
        address = address or (self.ip(40, next(self.numbers)), TARGET_PORT)
        self.zones_by_ip[address[0]] = zone
        target = Target(self, service, address, zone)
        target.start()
        target.sockets.leave_silent(self.balancers_beyond_a_cut(zone))
        self.targets.append(target)
        return target

    # The whole.
    async def start(self):
        for machine in self.machines:
            machine.start(first_start=True)
        self.operator.change()
        if not await self.operator.submit():
            raise RuntimeError("the first configuration was not taken")
        for machine in self.balancers:
            self.spawn(self.router.probe_forever(machine))
        for zone in ZONES:
            for service, count in TARGETS_PER_ZONE.items():
                for _ in range(count):
                    self.start_target(service, zone)
        await self.wait_ready()
        await self.start_callers()
        await self.start_route_probes()
        for watch in self.version_watches:
            self.spawn(watch.run_forever())
        self.spawn(self.operator.read_forever())
        self.spawn(self.watch_own_stalls())
        self.spawn(self.watch_ends())

    async def start_callers(self):
        for zone in ZONES:
            for _ in range(CALLERS_PER_ZONE):
                caller = Caller(self, self.ip(30, next(self.numbers)), zone)
                self.zones_by_ip[caller.ip] = zone
                await caller.start()
                self.callers.append(caller)
                for frontend, (kind, _) in self.frontends.items():
                    for _ in range(USERS_PER_CALLER[kind]):
                        self.spawn(caller.use_forever(kind, frontend))

    async def start_route_probes(self):
        probes = RouteProbes(self, self.ip(31, next(self.numbers)))
        await probes.start()
        for machine in self.balancers:
            self.spawn(probes.ask_forever(machine))

    async def watch_own_stalls(self, interval=0.05):
        """Where this program itself had to wait, nothing is judged by time."""
        while True:
            begun = now()
            await asyncio.sleep(interval)
            if now() - begun > interval + STALL:
                self.promises.counts["own stalls"] += 1
                self.contact.note(Contact.ALL)

    async def wait_ready(self, patience=20.0):
        begun = now()
        while not all(self.router.is_in(machine) for machine in self.balancers):
            if now() - begun > patience:
                raise RuntimeError("the balancers did not become ready")
            await asyncio.sleep(0.1)

    async def watch_ends(self):
        """No process ends by itself."""
        while True:
            for machine in self.machines:
                if machine.ended_by_itself():
                    self.promises.violate("FAULT", f"{machine.name} ended with {machine.popen.returncode}")
                    machine.start()
            await asyncio.sleep(0.2)

    async def is_serving(self, address):
        answer = await http_call.following(address, "GET", "/-/config")
        return answer is not None and answer[0] == 200

    async def wait_control(self, patience):
        """Waits until each control process answers reads; False when one does not in time."""
        begun = now()
        while now() - begun < patience:
            if all([await self.is_serving(address) for address in self.control_addresses()]):
                return True
            await asyncio.sleep(0.2)
        return False

    @staticmethod
    async def end_tasks(patience=0.5):
        """Cancels until all tasks have ended: a cancellation that meets the end of an awaited call within
        `asyncio.wait_for` is lost, and loops that call for ever would go on."""
        while tasks := asyncio.all_tasks() - {asyncio.current_task()}:
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks, timeout=patience)

    async def stop(self):
        for target in list(self.targets):
            target.end()
        await self.end_tasks()
        for machine in self.all_machines:
            if machine.popen is not None:
                machine.thaw()
                machine.kill()
