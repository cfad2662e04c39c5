"""Injected faults on the links of a running deployment."""

import asyncio
import contextlib

from contact import Disturbances

RATE_REDUCTION = 0.4


class LinkFaults:
    """Actions on one deployment, each a coroutine without arguments that reverts what it did."""

    def __init__(self, world):
        self.world = world
        self.random = world.random
        # Held while a replica is wiped or replaced, or a zone is isolated.
        self.control_lock = asyncio.Lock()

    @contextlib.contextmanager
    def disturbed(self, name):
        """Marks a machine, the core or all machines as disturbed."""
        self.world.disturbances.begin(name)
        try:
            yield
        finally:
            self.world.disturbances.end(name)

    async def wait_random_time(self):
        await asyncio.sleep(self.random.uniform(1, 6))

    def split_off_control(self):
        one = self.random.choice(self.world.controls)
        return [one.internal_address], [m.internal_address for m in self.world.controls if m is not one]

    async def cut_control(self):
        with self.disturbed(Disturbances.CORE):
            cut = self.world.proxy.cut(*self.split_off_control())
            await self.wait_random_time()
            self.world.proxy.heal(cut)

    async def cut_control_one_way(self):
        one, others = self.split_off_control()
        directions = (one, others) if self.random.random() < 0.5 else (others, one)
        with self.disturbed(Disturbances.CORE):
            cut = self.world.proxy.cut_one_way(*directions)
            await self.wait_random_time()
            self.world.proxy.heal(cut)

    async def cut_balancer(self):
        machine = self.random.choice(self.world.balancers)
        with self.disturbed(machine.name):
            cut = self.world.proxy.cut([machine.peer_address], self.control_peers())
            await self.wait_random_time()
            self.world.proxy.heal(cut)

    async def cut_balancer_one_way(self):
        """Drops all messages either from a balancer or to it; connections stay open."""
        machine = self.random.choice(self.world.balancers)
        directions = [[machine.peer_address], self.control_peers()]
        self.random.shuffle(directions)
        with self.disturbed(machine.name):
            cut = self.world.proxy.cut_one_way(*directions)
            await self.wait_random_time()
            self.world.proxy.heal(cut)

    def control_peers(self):
        return [machine.internal_address for machine in self.world.controls]

    async def cut_zone(self):
        """Isolates a zone: its machines and targets reach no other zone, its clients still reach
        its balancers. Not combined with a lost disk: the fault model excludes both at once."""
        zone = self.random.choice(self.world.zones)
        async with self.control_lock:
            with contextlib.ExitStack() as stack:
                for name in [Disturbances.CORE] + [m.name for m in self.world.balancers if m.zone == zone]:
                    stack.enter_context(self.disturbed(name))
                cut = self.world.begin_cut(zone)
                await asyncio.sleep(self.random.uniform(2, 8))
                self.world.end_cut(zone, cut)

    async def narrow_link(self):
        """Lowers the bandwidth of one balancer's link below the configured rate."""
        machine = self.random.choice(self.world.balancers)
        link = self.world.links[machine.ip]
        with self.disturbed(machine.name):
            link.mbit_per_s *= RATE_REDUCTION
            await self.wait_random_time()
            link.mbit_per_s /= RATE_REDUCTION

    async def silence_connections(self):
        """Some connections drop all further data in one or both directions, and stay open."""
        self.world.disturbances.record(Disturbances.ALL)
        self.world.proxy.silence_connections(self.random.uniform(0.2, 1.0), self.random.choice(("both", "up", "down")))

    async def delay_messages(self):
        with self.disturbed(Disturbances.ALL):
            self.world.proxy.delay = self.random.uniform(0.02, 0.12)
            await self.wait_random_time()
            self.world.proxy.delay = 0.0

    async def reset_connections(self):
        machine = self.random.choice(self.world.controls)
        for _ in range(3):
            self.world.disturbances.record(Disturbances.ALL)
            self.world.proxy.reset_connections([machine.internal_address])
            await asyncio.sleep(0.3)

    async def lose_packets(self):
        with self.disturbed(Disturbances.ALL):
            self.world.loss = self.random.uniform(0.005, 0.04)
            await self.wait_random_time()
            self.world.loss = 0.0
