"""Opens flows at each balancer on routes that were recently added or removed, and checks the
outcome against the configuration versions that may be applied there. Ordinary clients use routes
that never change."""

import asyncio

import packets
from packets import RST, SYN, Packet
from promises import now

INTERVAL = 0.12
# When a probe sends its SYN and the retransmissions, in seconds.
SEND_TIMES = (0.0, 0.2, 0.6)
OPENING_TIMEOUT = 1.4
# How many of the routes that were added last are probed.
RECENT_ROUTES = 6
FIRST_PORT = 20000
PORTS = 40000


class RouteProbes(asyncio.DatagramProtocol):
    """A client that opens flows, records the outcome, and drops them."""

    def __init__(self, world, ip):
        self.world = world
        self.ip = ip
        self.transport = None
        self.port = FIRST_PORT
        self.outcomes = {}

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.world.datagram_port))

    def datagram_received(self, datagram, _):
        packet = packets.decode(datagram)
        if packet is None:
            return
        outcome = self.outcomes.get(packet.destination[1])
        if outcome is None or outcome.done():
            return
        if packet.has(RST) and packet.is_balancer_reset():
            outcome.set_result("refused")
        elif packet.has(SYN):
            target = self.target_of(packet)
            outcome.set_result(target.service if target else None)

    def target_of(self, packet):
        """Returns the target that replied, and removes the flow from it."""
        return self.world.holder_of_opening((packet.destination, packet.source))

    async def probe_routes_forever(self, machine):
        """Probes one balancer until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL * self.world.interval_factor * (0.5 + self.world.random.random()))
            routes = self.world.operator.recent_routes(RECENT_ROUTES)
            if routes and self.world.router.is_in_rotation(machine):
                self.world.spawn(self.probe_route(machine, self.world.random.choice(routes)))

    async def probe_route(self, machine, frontend):
        self.port = FIRST_PORT + (self.port + 1 - FIRST_PORT) % PORTS
        source, port = (self.ip, self.port), self.port
        outcome = asyncio.get_running_loop().create_future()
        self.outcomes[port] = outcome
        started_at = now()
        for number, at in enumerate(SEND_TIMES):
            await asyncio.wait({outcome}, timeout=max(0.0, started_at + at - now()))
            if outcome.done():
                break
            packet = Packet(source, frontend, SYN, self.world.random.randrange(1 << 30), number)
            self.transport.sendto(packets.encode(packet), (machine.ip, self.world.datagram_port))
        await asyncio.wait({outcome}, timeout=max(0.0, started_at + OPENING_TIMEOUT - now()))
        del self.outcomes[port]
        if outcome.done() and outcome.result() is not None:
            self.world.promises.on_probe(machine.name, frontend, started_at, outcome.result())
