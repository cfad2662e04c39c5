"""The deployment under test: machines of the system, targets, clients, router and operator."""

import asyncio
import collections
import itertools
import random

import http_call
import packets
from contact import MAX_LOOP_STALL, Disturbances
from caller import DOWNLOAD, FEED, UPDATE, UPLOAD, Client
from evacuations import Evacuations
from machine import INTERNAL_PORT, Machine
from narrow_link import LinkShaper
from operator_calls import Operator
from promises import RuleChecker, now
from route_probes import RouteProbes
from router import Router
from target import Target
from version_watch import VersionWatch
from zone_paths import ZonePaths

ZONES = ("zone-a", "zone-b", "zone-c")
BALANCERS_PER_ZONE = 2
TARGETS_PER_ZONE = {"main": 2, "archive": 1}
CLIENTS_PER_ZONE = 2
USERS_PER_CLIENT = {FEED: 4, UPDATE: 3, DOWNLOAD: 1, UPLOAD: 1}
# Configured rates of a balancer's link, in Mbit/s.
LINK_RATES = ("2.0", "1.0", "0.5")
TARGET_PORT = 8261
SEEDS = 3


class World:
    """One deployment on its own loopback network, 127.`network`.0.0/16."""

    datagram_port = 8172
    readiness_port = 8167
    control_port = 8166

    def __init__(self, seed, directory, build, network, proxy, controls, balancers_per_zone=BALANCERS_PER_ZONE):
        self.seed = seed
        self.random = random.Random(seed)
        self.directory = directory
        self.build = build
        self.network = network
        self.proxy = proxy
        self.zones = ZONES
        self.disturbances = Disturbances()
        self.promises = RuleChecker(self.disturbances)
        self.router = Router(self)
        self.operator = Operator(self)
        self.evacuations = Evacuations(self)
        self.paths = ZonePaths()
        self.loss = 0.0
        self.targets = []
        self.clients = []
        self.opened_at = {}
        self.failures = []
        # Times of packets that a link dropped, by flow.
        self.link_drops = collections.defaultdict(list)
        # Names of actions that are skipped.
        self.excluded_actions = set()
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
        self.links = {machine.ip: LinkShaper(float(self.link_rate)) for machine in self.balancers}
        # Scales the polling intervals with the number of balancers: one thread polls all of them.
        self.interval_factor = balancers_per_zone / BALANCERS_PER_ZONE
        self.version_watches = [VersionWatch(self, machine) for machine in self.balancers]

    def ip(self, group, number):
        return f"127.{self.network}.{group}.{number}"

    def make_control(self, zone):
        """Creates a replica whose internal port is behind the fault proxy."""
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
        """Returns the zone of an address; None outside of all zones."""
        return self.zones_by_ip.get(ip)

    def balancer_at(self, ip):
        return next((machine for machine in self.balancers if machine.ip == ip), None)

    def is_reachable(self, zone, address):
        """True when this address is reachable from a zone."""
        return self.paths.is_open(zone, self.zone_of(address.rsplit(":", 1)[0]))

    def unreachable_balancers(self, zone):
        return [machine.ip for machine in self.balancers if not self.paths.is_open(zone, machine.zone)]

    def begin_cut(self, zone):
        """Isolates a zone from the others. Returns the cut for `end_cut`."""
        sides = ([], [])
        for machine in self.machines:
            sides[machine.zone != zone].append(machine.message_address)
        self.paths.begin_cut(zone)
        self.update_target_filters()
        return self.proxy.cut(*sides)

    def end_cut(self, zone, cut):
        print(f"{now() - self.began:7.1f} s  {self.paths.end_cut(zone)}", flush=True)
        self.update_target_filters()
        self.proxy.heal(cut)

    def update_target_filters(self):
        for target in self.targets:
            target.update_filter()

    def control_addresses(self):
        return [machine.control_address for machine in self.controls]

    def drops_packet(self):
        return self.loss > 0 and self.random.random() < self.loss

    def record_link_drop(self, datagram):
        packet = packets.decode(datagram)
        if packet is not None:
            self.link_drops[packet.source, packet.destination].append(now())

    def holder_of(self, key):
        """Returns the running target where a flow is open."""
        return next((t for t in self.targets if t.is_running and key in t.flows and t.flows[key].is_open), None)

    def holder_of_opening(self, key):
        """Returns the running target that accepted a flow, and removes the flow from it."""
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
        target.update_filter()
        self.targets.append(target)
        return target

    # Start, monitoring and stop.
    async def start(self):
        for machine in self.machines:
            machine.start(first_start=True)
        self.operator.change()
        if not await self.operator.submit():
            raise RuntimeError("the first configuration was not acknowledged")
        for machine in self.balancers:
            self.spawn(self.router.probe_forever(machine))
        for zone in ZONES:
            for service, count in TARGETS_PER_ZONE.items():
                for _ in range(count):
                    self.start_target(service, zone)
        await self.wait_ready()
        await self.start_clients()
        await self.start_route_probes()
        for watch in self.version_watches:
            self.spawn(watch.run_forever())
        self.spawn(self.operator.read_forever())
        self.spawn(self.watch_event_loop())
        self.spawn(self.watch_exits())

    async def start_clients(self):
        for zone in ZONES:
            for _ in range(CLIENTS_PER_ZONE):
                client = Client(self, self.ip(30, next(self.numbers)), zone)
                self.zones_by_ip[client.ip] = zone
                await client.start()
                self.clients.append(client)
                for frontend, (kind, _) in self.frontends.items():
                    for _ in range(USERS_PER_CLIENT[kind]):
                        self.spawn(client.run_user(kind, frontend))

    async def start_route_probes(self):
        probes = RouteProbes(self, self.ip(31, next(self.numbers)))
        await probes.start()
        for machine in self.balancers:
            self.spawn(probes.probe_routes_forever(machine))

    async def watch_event_loop(self, interval=0.05):
        """Disables rules with a time limit after a stall of this program's event loop."""
        while True:
            started_at = now()
            await asyncio.sleep(interval)
            if now() - started_at > interval + MAX_LOOP_STALL:
                self.promises.counts["event loop stalls"] += 1
                self.disturbances.record(Disturbances.ALL)

    async def wait_ready(self, time_limit=20.0):
        started_at = now()
        while not all(self.router.is_in_rotation(machine) for machine in self.balancers):
            if now() - started_at > time_limit:
                raise RuntimeError("not all balancers became ready in time")
            await asyncio.sleep(0.1)

    async def watch_exits(self):
        """Reports and restarts processes that exited unexpectedly."""
        while True:
            for machine in self.machines:
                if machine.exited_unexpectedly():
                    self.promises.report("FAULT", f"{machine.name} exited unexpectedly "
                                                  f"with code {machine.popen.returncode}")
                    machine.start()
            await asyncio.sleep(0.2)

    async def is_serving(self, address):
        response = await http_call.following(address, "GET", "/-/config")
        return response is not None and response[0] == 200

    async def wait_control_ready(self, time_limit):
        """Waits until every replica serves reads. Returns False after `time_limit` seconds."""
        started_at = now()
        while now() - started_at < time_limit:
            if all([await self.is_serving(address) for address in self.control_addresses()]):
                return True
            await asyncio.sleep(0.2)
        return False

    @staticmethod
    async def cancel_tasks(time_limit=0.5):
        """Cancels repeatedly until all tasks have ended: `asyncio.wait_for` loses a cancellation
        that coincides with its completion."""
        while tasks := asyncio.all_tasks() - {asyncio.current_task()}:
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks, timeout=time_limit)

    async def stop(self):
        for target in list(self.targets):
            target.end()
        await self.cancel_tasks()
        for machine in self.all_machines:
            if machine.popen is not None:
                machine.thaw()
                machine.kill()
