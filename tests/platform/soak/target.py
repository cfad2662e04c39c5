"""A target: takes flows at a UDP address, runs requests, announces itself, drains, ends, crashes."""

import asyncio
import itertools
import json
import random

import http_call
import packets
from packets import ACK, FIN, RST, SYN, Packet
from promises import DRAIN, now

ANNOUNCE_INTERVAL = 1.2
FIRST_RESEND = 0.2
LAST_RESEND = 1.6
MAX_RESENDS = 8
WINDOW = 16
SLOTS = 2
_numbers = itertools.count(1)


class TargetFlow:
    """The target's end of one flow."""

    def __init__(self, target, packet):
        self.target = target
        self.caller = packet.source
        self.frontend = packet.destination
        self.key = (packet.source, packet.destination)
        self.received = packet.seq
        self.sent = random.randrange(1 << 31)
        self.acknowledged = self.sent
        self.is_open = False
        self.echo = packet.echo
        self.unsent = []
        self.under_way = []
        self.resends = 0
        self.timer = None

    def write(self, flags, data=b"", seq=None):
        seq = self.sent if seq is None else seq
        packet = Packet(self.frontend, self.caller, flags, seq & 0xFFFFFFFF, self.received & 0xFFFFFFFF,
                        self.echo, data)
        self.target.send(packet)

    def answer(self, body):
        self.unsent += [body[i:i + packets.MAX_DATA] for i in range(0, len(body), packets.MAX_DATA)]
        self.push()

    def push(self):
        while self.unsent and len(self.under_way) < WINDOW:
            data = self.unsent.pop(0)
            self.write(ACK, data)
            self.under_way.append((self.sent, data))
            self.sent += len(data)
        self.arm(FIRST_RESEND)

    def arm(self, delay):
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None
        if self.under_way:
            self.timer = asyncio.get_running_loop().call_later(delay, self.resend, delay)

    def resend(self, delay):
        self.resends += 1
        if self.resends > MAX_RESENDS or not self.target.is_running:
            self.target.flows.pop(self.key, None)
            return
        for seq, data in self.under_way[:WINDOW]:
            self.write(ACK, data, seq)
        self.arm(min(2 * delay, LAST_RESEND))

    def on_acknowledged(self, ack):
        if ack <= self.acknowledged:
            return
        self.acknowledged = ack
        self.under_way = [(seq, data) for seq, data in self.under_way if seq + len(data) > ack]
        self.resends = 0
        self.push()


class Target(asyncio.DatagramProtocol):
    """One life of a target."""

    def __init__(self, world, service, address, zone):
        self.world = world
        self.promises = world.promises
        self.service = service
        self.address = address
        self.zone = zone
        self.number = next(_numbers) | (world.random.getrandbits(31) << 8)
        self.name = f"i-{self.number:010x}"
        self.flows = {}
        self.seq = 0
        self.state = "ready"
        self.is_running = False
        self.leave_acknowledged = None
        self.slowness = 1.0
        self.slots = asyncio.Semaphore(SLOTS)
        self.transport = None
        self.announcer = None

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.address)
        self.is_running = True
        self.announcer = asyncio.create_task(self.announce_forever())

    # Life.
    async def announce_forever(self):
        while True:
            await self.announce()
            await asyncio.sleep(ANNOUNCE_INTERVAL)

    async def announce(self):
        """Tells the system of itself, node after node; True when it was acknowledged."""
        self.seq += 1
        body = json.dumps({"service": self.service, "address": f"{self.address[0]}:{self.address[1]}",
                           "zone": self.zone, "version": "v1", "slots": SLOTS, "state": self.state,
                           "warmup_left_ms": 0, "seq": self.seq})
        return await self.call("PUT", body)

    async def call(self, method, body=""):
        return await http_call.at_any(self.world.control_addresses(), method,
                                      f"/-/instances/{self.name}", body, self.world.random)

    async def leave(self, says_draining=True, grace=1.0):
        """A planned end. Gives up asking after some seconds, as the platform does."""
        self.announcer.cancel()
        self.state = "draining"
        for _ in range(6):
            done = await (self.announce() if says_draining else self.call("DELETE"))
            if done:
                self.leave_acknowledged = now()
                break
        await asyncio.sleep(DRAIN + grace)
        if says_draining:
            await self.call("DELETE")
        self.end()

    def end(self):
        """Ends at once, as a crash does; nothing is said."""
        if self.is_running:
            self.is_running = False
            self.announcer.cancel()
            self.transport.close()
            self.world.on_target_ended(self)

    # Packets.
    def send(self, packet):
        if self.is_running:
            self.transport.sendto(packets.encode(packet), (packet.destination[0], self.world.datagram_port))

    def datagram_received(self, octets, _):
        if self.world.is_lost():
            return
        number, = packets.TARGET_PREFIX.unpack_from(octets)
        packet = packets.decode(octets[packets.TARGET_PREFIX.size:])
        if packet is None or not packets.is_as_written(packet):
            self.promises.on_changed_packet(self.name, packet)
            return
        key = (packet.source, packet.destination)
        if number != self.number:
            self.promises.on_misrouted(key, self.world.holder_of(key))
            return
        flow = self.flows.get(key)
        if packet.has(SYN):
            self.on_opening(flow, packet)
        elif flow is None or not (flow.is_open or packet.ack == flow.sent):
            self.on_stray(key, packet)
        else:
            self.promises.on_own_packet(key)
            self.on_packet(flow, packet)

    def on_opening(self, flow, packet):
        if flow is None:
            flow = self.flows[(packet.source, packet.destination)] = TargetFlow(self, packet)
            self.promises.on_opened(self, packet.destination, self.world.opened_at.get(flow.key, now()))
        flow.write(SYN | ACK)

    def on_stray(self, key, packet):
        self.promises.on_misrouted(key, self.world.holder_of(key))
        if not packet.has(RST):
            self.send(Packet(packet.destination, packet.source, RST, packet.ack, packet.seq, packet.echo))

    def on_packet(self, flow, packet):
        flow.echo = packet.echo
        if packet.has(RST):
            self.flows.pop(flow.key, None)
            return
        flow.is_open = True
        flow.on_acknowledged(packet.ack)
        if packet.data and packet.seq == flow.received:
            flow.received += len(packet.data)
            asyncio.create_task(self.run(flow, json.loads(packet.data)))
        if packet.has(FIN):
            flow.write(FIN | ACK)
            self.flows.pop(flow.key, None)
        elif packet.data:
            flow.write(ACK)

    async def run(self, flow, request):
        """Works on a request; a target that leaves closes the flow after its next answer."""
        async with self.slots:
            if not self.is_running:
                return
            self.promises.on_run(request["id"], request["once"], self)
            await asyncio.sleep(request["work"] * self.slowness)
            if self.is_running:
                head = json.dumps({"id": request["id"], "size": request["size"],
                                   "closes": self.state == "draining"}).encode()
                flow.answer(head.ljust(packets.MAX_DATA) + b"x" * request["size"])
