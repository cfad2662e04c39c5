"""Callers: long feeds, updates that may run once, downloads on a flow each. What they get is checked."""

import asyncio
import dataclasses
import itertools
import json

import packets
from packets import ACK, FIN, RST, SYN, Packet
from promises import now

OPENING_COPIES = (0.0, 0.2, 0.6)
OPENING_TIME = 1.4
FIRST_RESEND = 0.2
LAST_RESEND = 1.6
MAX_TRIES = 3


@dataclasses.dataclass(frozen=True)
class Kind:
    """What one kind of caller asks for."""

    name: str
    once: bool
    keeps_flow: bool
    size: int
    work: float
    deadline: float
    pause: float


FEED = Kind("feed", False, True, 2000, 0.02, 2.0, 0.4)
UPDATE = Kind("update", True, True, 600, 0.03, 2.5, 0.4)
DOWNLOAD = Kind("download", False, False, 40000, 0.005, 8.0, 0.6)


class CallerFlow:
    """The caller's end of one flow."""

    def __init__(self, caller, frontend):
        self.caller = caller
        self.frontend = frontend
        self.source = (caller.ip, caller.next_port())
        self.key = (self.source, frontend)
        self.sent = caller.world.random.randrange(1 << 30)
        self.received = 0
        self.acknowledged = self.sent
        self.echo = 0
        self.opened = asyncio.get_running_loop().create_future()
        self.ended = asyncio.get_running_loop().create_future()
        self.early = {}
        self.stream = b""
        self.arrived = asyncio.Event()
        self.unacknowledged = 0

    def write(self, flags, data=b"", seq=None, ack=None):
        seq = self.sent if seq is None else seq
        ack = self.received if ack is None else ack
        self.caller.send(Packet(self.source, self.frontend, flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF,
                                self.echo, data))

    async def open(self):
        """True when a target answered; sends copies of the opening packet meanwhile."""
        begun = now()
        self.caller.world.opened_at[self.key] = begun
        for number, at in enumerate(OPENING_COPIES):
            wait = begun + at - now()
            if wait > 0:
                await asyncio.wait({self.opened, self.ended}, timeout=wait,
                                   return_when=asyncio.FIRST_COMPLETED)
            if self.opened.done() or self.ended.done():
                break
            self.write(SYN, ack=number)
        await asyncio.wait({self.opened, self.ended}, timeout=max(0.0, begun + OPENING_TIME - now()),
                           return_when=asyncio.FIRST_COMPLETED)
        if self.ended.done() and not self.opened.done() and self.ended.result() == "system":
            self.caller.world.promises.on_refused_route(self.frontend, begun)
        return self.opened.done() and not self.ended.done()

    def on_packet(self, packet):
        if packet.has(RST):
            self.on_reset(packet)
            return
        self.echo = packet.echo
        if packet.has(SYN):
            if not self.opened.done():
                self.received = packet.seq
                self.opened.set_result(True)
            if packet.seq == self.received:
                self.write(ACK)
            return
        self.acknowledged = max(self.acknowledged, packet.ack)
        if packet.data:
            self.on_data(packet)

    def on_reset(self, packet):
        by_system = packet.is_reset_of_the_system()
        if by_system and self.opened.done() and not self.ended.done():
            world = self.caller.world
            world.promises.on_caller_reset(self.key, self.frontend, world.holder_of(self.key))
        if not self.ended.done():
            self.ended.set_result("system" if by_system else "target")
        self.arrived.set()

    def on_data(self, packet):
        if packet.seq >= self.received:
            self.early[packet.seq] = packet.data
        while self.received in self.early:
            data = self.early.pop(self.received)
            self.received += len(data)
            self.stream += data
            self.unacknowledged += 1
        is_old = packet.seq < self.received and self.unacknowledged == 0
        if self.unacknowledged >= 2 or is_old or len(packet.data) < packets.MAX_DATA:
            self.write(ACK)
            self.unacknowledged = 0
        self.arrived.set()

    async def ask(self, request, deadline):
        """The head of the answer and its body; None when it did not come in time."""
        data = json.dumps(request).encode()
        seq = self.sent
        self.sent += len(data)
        delay = FIRST_RESEND
        self.write(ACK, data, seq)
        resend_at = now() + delay
        while now() < deadline and not self.ended.done():
            answer = self.take_answer()
            if answer is not None:
                self.write(ACK)
                return answer
            self.arrived.clear()
            try:
                await asyncio.wait_for(self.arrived.wait(), max(0.001, min(resend_at, deadline) - now()))
            except asyncio.TimeoutError:
                if now() >= resend_at and self.acknowledged < self.sent:
                    self.write(ACK, data, seq)
                delay = min(2 * delay, LAST_RESEND)
                resend_at = now() + delay
        return None

    def take_answer(self):
        if len(self.stream) < packets.MAX_DATA:
            return None
        head = json.loads(self.stream[:packets.MAX_DATA])
        end = packets.MAX_DATA + head["size"]
        if len(self.stream) < end:
            return None
        body, self.stream = self.stream[packets.MAX_DATA:end], self.stream[end:]
        return head, body

    def close(self):
        if self.opened.done() and not self.ended.done():
            self.write(FIN | ACK)
        self.caller.flows.pop(self.source[1], None)


class Caller(asyncio.DatagramProtocol):
    """One machine of callers: an address with many ports."""

    _requests = itertools.count(1)

    def __init__(self, world, ip, zone):
        self.world = world
        self.ip = ip
        self.zone = zone
        self.flows = {}
        self.ports = itertools.cycle(range(20000, 60000))
        self.transport = None

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.world.datagram_port))

    def next_port(self):
        return next(self.ports)

    def send(self, packet):
        node = self.world.router.choose(self.zone, packet.source, packet.destination)
        if node is not None and not self.world.is_lost():
            self.transport.sendto(packets.encode(packet), (node, self.world.datagram_port))

    def datagram_received(self, octets, _):
        if self.world.is_lost():
            return
        packet = packets.decode(octets)
        if packet is None:
            self.world.promises.on_changed_packet(self.ip, packet)
            return
        if not packet.is_reset_of_the_system() and not packets.is_as_written(packet):
            self.world.promises.on_changed_packet(self.ip, packet)
            return
        flow = self.flows.get(packet.destination[1])
        if flow is not None and packet.source == flow.frontend:
            flow.on_packet(packet)

    async def open(self, frontend):
        flow = CallerFlow(self, frontend)
        self.flows[flow.source[1]] = flow
        if await flow.open():
            return flow
        flow.close()
        return None

    # Users.
    async def use_forever(self, kind, frontend):
        """One user of a kind: request after request, with pauses."""
        flow = None
        await asyncio.sleep(self.world.random.random() * kind.pause)
        while True:
            flow = await self.request(kind, frontend, flow)
            if flow is not None and not kind.keeps_flow:
                flow.close()
                flow = None
            await asyncio.sleep(kind.pause * (0.5 + self.world.random.random()))

    async def request(self, kind, frontend, flow):
        """One request with its further tries; gives the flow back when it can be used again."""
        begun = now()
        for _ in range(MAX_TRIES):
            if flow is None or flow.ended.done():
                if flow is not None:
                    flow.close()
                flow = await self.open(frontend)
            if flow is not None:
                done, flow = await self.attempt(kind, flow, begun)
                if done or kind.once:
                    self.note(kind, done, begun)
                    return flow
            if now() - begun > kind.deadline:
                break
        self.note(kind, False, begun)
        return flow

    async def attempt(self, kind, flow, begun):
        identity = f"{kind.name}-{next(self._requests)}"
        request = {"id": identity, "once": kind.once, "work": kind.work, "size": kind.size}
        answer = await flow.ask(request, begun + kind.deadline)
        if answer is None:
            flow.close()
            return False, None
        head, body = answer
        if head["id"] != identity or body != b"x" * kind.size:
            self.world.promises.violate("MIXED", f"{identity} got the answer of {head['id']}")
        if head["closes"]:
            flow.close()
            flow = None
        return True, flow

    def note(self, kind, done, begun):
        self.world.promises.counts[f"{kind.name} {'served' if done else 'failed'}"] += 1
        if not done:
            self.world.failures.append((begun, now(), kind.name))
