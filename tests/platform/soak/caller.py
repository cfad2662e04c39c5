"""Test clients for feeds, non-idempotent updates, downloads and uploads; verify every response."""

import asyncio
import dataclasses
import itertools

import messages
import packets
from packets import ACK, FIN, RST, SYN, Packet
from promises import now
from streams import Receiver, Sender

OPENING_SEND_TIMES = (0.0, 0.2, 0.6)
OPENING_TIMEOUT = 1.4
MAX_TRIES = 3


@dataclasses.dataclass(frozen=True)
class RequestKind:
    """A kind of request: its route, its limits and its sizes."""

    name: str
    # Type, priority, and times in seconds, as in the operator's configuration.
    route_class: str
    priority: int
    aim: float
    deadline: float
    at_most_once: bool
    keeps_flow: bool
    # Bytes of the request body (minimum, maximum) and of the response body.
    upload: tuple
    size: int
    work: float
    pause: float


FEED = RequestKind("feed", "idempotent", 1, 0.4, 2.0, False, True, (0, 0), 2000, 0.02, 0.4)
UPDATE = RequestKind("update", "non_idempotent", 0, 0.4, 2.5, True, True, (900, 900), 600, 0.03, 0.4)
DOWNLOAD = RequestKind("download", "download", 2, 1.2, 8.0, False, False, (0, 0), 40000, 0.005, 0.6)
UPLOAD = RequestKind("upload", "upload", 2, 2.0, 10.0, True, False, (5000, 60000), 100, 0.005, 1.0)
REQUEST_KINDS = (FEED, UPDATE, DOWNLOAD, UPLOAD)


class ClientFlow:
    """The client side of one flow."""

    def __init__(self, client, frontend):
        self.client = client
        self.frontend = frontend
        self.source = (client.ip, client.next_port())
        self.key = (self.source, frontend)
        self.receiver = None
        self.opening_seq = None
        self.sender = Sender(client.world.random.randrange(1 << 30), lambda data, seq: self.write(ACK, data, seq))
        self.echo = 0
        self.opened = asyncio.get_running_loop().create_future()
        self.ended = asyncio.get_running_loop().create_future()
        self.arrived = asyncio.Event()

    def write(self, flags, data=b"", seq=None, ack=None):
        seq = self.sender.send_next if seq is None else seq
        ack = self.receiver.receive_next if ack is None else ack
        self.client.send(Packet(self.source, self.frontend, flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF,
                                self.echo, data))

    async def open(self):
        """Sends the SYN and its retransmissions. Returns True when a target accepted the flow."""
        started_at = now()
        self.client.world.opened_at[self.key] = started_at
        for number, at in enumerate(OPENING_SEND_TIMES):
            wait = started_at + at - now()
            if wait > 0:
                await asyncio.wait({self.opened, self.ended}, timeout=wait,
                                   return_when=asyncio.FIRST_COMPLETED)
            if self.opened.done() or self.ended.done():
                break
            self.write(SYN, ack=number)
        await asyncio.wait({self.opened, self.ended}, timeout=max(0.0, started_at + OPENING_TIMEOUT - now()),
                           return_when=asyncio.FIRST_COMPLETED)
        if self.ended.done() and not self.opened.done() and self.ended.result() == "system":
            self.client.world.promises.on_refused_route(self.frontend, started_at)
        return self.opened.done() and not self.ended.done()

    def on_packet(self, packet, sender):
        if packet.has(RST):
            self.on_reset(packet, sender)
            return
        if packet.has(SYN):
            self.on_opening_reply(packet)
        elif self.receiver is not None:
            self.echo = packet.echo
            self.sender.on_acknowledged(packet.ack)
            if packet.data and self.receiver.on_data(packet):
                self.write(ACK)
            self.arrived.set()

    def on_opening_reply(self, packet):
        """Opens the flow at the target that replies first; replies of other targets are ignored."""
        if not self.opened.done():
            self.receiver = Receiver(packet.seq)
            self.opening_seq = packet.seq
            self.opened.set_result(True)
        if packet.seq == self.opening_seq:
            self.echo = packet.echo
            self.write(ACK)

    def on_reset(self, packet, sender):
        by_balancer = packet.is_balancer_reset()
        if by_balancer and self.opened.done() and not self.ended.done():
            world = self.client.world
            holder = world.holder_of(self.key)
            if holder is None or world.paths.is_undisturbed(world.zone_of(sender), holder.zone):
                world.promises.on_client_reset(self.key, self.frontend, holder)
        if not self.ended.done():
            self.ended.set_result("system" if by_balancer else "target")
        self.sender.stop()
        self.arrived.set()

    async def send_request(self, request, body, deadline):
        """Returns the header and the body of the response, or None after the deadline."""
        self.sender.put(messages.encode(request, body))
        while now() < deadline and not self.ended.done():
            response = messages.read_message(self.receiver)
            if response is not None:
                self.write(ACK)
                return response
            self.arrived.clear()
            try:
                await asyncio.wait_for(self.arrived.wait(), max(0.001, deadline - now()))
            except asyncio.TimeoutError:
                break
        return None

    def close(self):
        if self.opened.done() and not self.ended.done():
            self.write(FIN | ACK)
        self.sender.stop()
        self.client.flows.pop(self.source[1], None)


class Client(asyncio.DatagramProtocol):
    """A client machine: one address, many ports."""

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
        if node is not None and not self.world.drops_packet() and self.is_path_open(node):
            self.transport.sendto(packets.encode(packet), (node, self.world.datagram_port))

    def is_path_open(self, ip):
        return self.world.paths.is_open(self.zone, self.world.zone_of(ip))

    def datagram_received(self, datagram, address):
        sender = address[0]
        if self.world.drops_packet() or not self.is_path_open(sender):
            return
        packet = packets.decode(datagram)
        if packet is None:
            self.world.promises.on_corrupted_packet(self.ip, packet)
            return
        if not packet.is_balancer_reset() and not packets.has_valid_checksum(packet):
            self.world.promises.on_corrupted_packet(self.ip, packet)
            return
        flow = self.flows.get(packet.destination[1])
        if flow is not None and packet.source == flow.frontend:
            flow.on_packet(packet, sender)

    async def open(self, frontend):
        flow = ClientFlow(self, frontend)
        self.flows[flow.source[1]] = flow
        if await flow.open():
            return flow
        flow.close()
        return None

    # Requests.
    async def run_user(self, kind, frontend):
        """Sends requests of one kind, with pauses between them."""
        flow = None
        await asyncio.sleep(self.world.random.random() * kind.pause)
        while True:
            flow = await self.request(kind, frontend, flow)
            if flow is not None and not kind.keeps_flow:
                flow.close()
                flow = None
            await asyncio.sleep(kind.pause * (0.5 + self.world.random.random()))

    async def request(self, kind, frontend, flow):
        """Sends one request with retries. Returns the flow if it can be reused."""
        started_at = now()
        flows = []
        for _ in range(MAX_TRIES):
            if flow is None or flow.ended.done():
                if flow is not None:
                    flow.close()
                flow = await self.open(frontend)
            if flow is not None:
                flows.append(flow.key)
                done, flow = await self.attempt(kind, flow, started_at)
                if done or kind.at_most_once:
                    self.record_result(kind, done, started_at, flows)
                    return flow
            if now() - started_at > kind.deadline:
                break
        self.record_result(kind, False, started_at, flows)
        return flow

    async def attempt(self, kind, flow, started_at):
        request_id = f"{kind.name}-{next(self._requests)}"
        body = messages.body_of(request_id, self.world.random.randint(*kind.upload))
        request = {"id": request_id, "once": kind.at_most_once, "work": kind.work, "size": kind.size}
        response = await flow.send_request(request, body, started_at + kind.deadline)
        if response is None:
            flow.close()
            return False, None
        head, response_body = response
        if head["id"] != request_id or response_body != messages.body_of(request_id, kind.size):
            self.world.promises.report("MIXED", f"{request_id} got the response to {head['id']}")
        if (head["got"], head["digest"]) != (len(body), messages.digest(body)):
            self.world.promises.report("MIXED", f"{request_id} sent {len(body)} bytes, "
                                                f"the target received {head['got']}")
        if head["closes"]:
            flow.close()
            flow = None
        return True, flow

    def record_result(self, kind, done, started_at, flows):
        """Records the outcome of a request; for a failed one, also packet drops on its flows."""
        self.world.promises.counts[f"{kind.name} {'served' if done else 'failed'}"] += 1
        if done:
            self.world.paths.on_served(self.zone)
            return
        drops = {flow[0]: [f"{at - started_at:.2f}" for at in self.world.link_drops.get(flow, ())
                           if at >= started_at]
                 for flow in flows}
        self.world.failures.append((started_at, f"{now() - started_at:.2f} s", kind.name,
                                    "dropped by links after (s)", drops))
