"""A test target: accepts flows over UDP, executes requests, announces itself and drains."""

import asyncio
import itertools
import json
import random

import messages
import packets
from kept_connection import ControlClient
from packets import ACK, FIN, RST, SYN, Packet
from promises import DRAIN_LIMIT, SETTLE_TIME, now
from streams import Receiver, Sender
from target_sockets import TargetSockets

ANNOUNCE_INTERVAL = 1.2
MAX_RETRANSMISSIONS = 8
SLOTS = 2
_numbers = itertools.count(1)


class TargetFlow:
    """The target side of one flow."""

    def __init__(self, target, packet):
        self.target = target
        self.client = packet.source
        self.frontend = packet.destination
        self.key = (packet.source, packet.destination)
        self.is_open = False
        self.echo = packet.echo
        self.receiver = Receiver(packet.seq)
        self.sender = Sender(random.randrange(1 << 31), lambda data, seq: self.write(ACK, data, seq),
                             MAX_RETRANSMISSIONS, self.discard)

    def write(self, flags, data=b"", seq=None):
        seq = self.sender.send_next if seq is None else seq
        packet = Packet(self.frontend, self.client, flags, seq & 0xFFFFFFFF, self.receiver.receive_next & 0xFFFFFFFF,
                        self.echo, data)
        self.target.send(packet)

    def discard(self):
        self.sender.stop()
        self.target.flows.pop(self.key, None)


class Target:
    """One incarnation of a target."""

    def __init__(self, world, service, address, zone):
        self.world = world
        self.checker = world.promises
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
        self.is_cut = False
        self.cut_ended_at = None
        self.control = ControlClient(world.control_addresses, world.random, self.is_reachable)
        self.sockets = None
        self.announcer = None

    def start(self):
        self.sockets = TargetSockets(self.address, self.on_datagram)
        self.is_running = True
        self.announcer = asyncio.create_task(self.announce_forever())

    # Cuts of this target from all machines; those of its zone are in ZonePaths.
    def begin_cut(self):
        self.is_cut = True
        self.update_filter()

    def end_cut(self):
        self.is_cut = False
        self.cut_ended_at = now()
        if self.is_running:
            self.update_filter()

    def was_cut(self):
        """True during a cut of this target and for SETTLE_TIME after it."""
        return self.is_cut or (self.cut_ended_at is not None and now() - self.cut_ended_at < SETTLE_TIME)

    def is_reachable(self, control_address):
        return not self.is_cut and self.world.is_reachable(self.zone, control_address)

    def update_filter(self):
        """Drops connections from balancers that can't reach the target."""
        blocked = [machine.ip for machine in self.world.balancers] if self.is_cut else \
            self.world.unreachable_balancers(self.zone)
        self.sockets.block_sources(blocked)

    # Announcements and shutdown.
    async def announce_forever(self):
        # Also checks the state: wait_for loses a cancellation that coincides with its completion.
        while self.state == "ready":
            await self.announce()
            await asyncio.sleep(ANNOUNCE_INTERVAL)

    async def announce(self):
        """Announces the target to a control node. Returns True when it was acknowledged."""
        self.seq += 1
        body = json.dumps({"service": self.service, "address": f"{self.address[0]}:{self.address[1]}",
                           "zone": self.zone, "version": "v1", "slots": SLOTS, "state": self.state,
                           "warmup_left_ms": 0, "seq": self.seq})
        return await self.call("PUT", body)

    async def call(self, method, body=""):
        return await self.control.call(method, f"/-/instances/{self.name}", body)

    async def leave(self, announce_draining=True, grace=1.0):
        """Drains, deregisters and stops. The number of attempts is limited, as on the platform."""
        self.announcer.cancel()
        self.state = "draining"
        for _ in range(6):
            done = await (self.announce() if announce_draining else self.call("DELETE"))
            if done:
                self.leave_acknowledged = now()
                break
        await asyncio.sleep(DRAIN_LIMIT + grace)
        if announce_draining:
            await self.call("DELETE")
        self.end()

    def end(self):
        """Stops at once without notice, as after a crash."""
        if self.is_running:
            self.is_running = False
            self.announcer.cancel()
            self.control.close()
            self.sockets.close()
            for flow in self.flows.values():
                flow.sender.stop()
            self.world.on_target_ended(self)

    # Packets.
    def send(self, packet):
        if self.is_running and not self.is_cut:
            self.sockets.send(packets.encode(packet), (packet.destination[0], self.world.datagram_port))

    def on_datagram(self, datagram, sender, at):
        """Passes a datagram through the link of its balancer, or drops it."""
        if self.is_cut:
            return
        zone = self.world.zone_of(sender)
        if not self.world.paths.is_open(zone, self.zone):
            packet = packets.decode(datagram[packets.TARGET_PREFIX.size:])
            if packet is not None and packet.has(SYN):
                self.world.paths.on_lost_opening(zone, self.zone)
            return
        if self.world.drops_packet():
            return
        link = self.world.links.get(sender)
        departure = at if link is None else link.departure(len(datagram), at)
        if departure is None:
            self.world.record_link_drop(datagram[packets.TARGET_PREFIX.size:])
            return
        wait = departure - now()
        if wait <= 0:
            self.on_arrival(datagram, sender, departure)
        else:
            asyncio.get_running_loop().call_later(wait, self.on_arrival, datagram, sender, departure)

    def on_arrival(self, datagram, sender, at):
        if not self.is_running:
            return
        number, = packets.TARGET_PREFIX.unpack_from(datagram)
        packet = packets.decode(datagram[packets.TARGET_PREFIX.size:])
        if packet is None or not packets.has_valid_checksum(packet):
            self.checker.on_corrupted_packet(self.name, packet)
            return
        key = (packet.source, packet.destination)
        if number != self.number:
            self.on_misrouted(key, sender)
            return
        flow = self.flows.get(key)
        if packet.has(SYN):
            self.on_opening(flow, packet, sender, at)
        elif flow is None or not (flow.is_open or packet.ack == flow.sender.send_next):
            self.on_unknown_flow(key, packet, sender)
        else:
            self.checker.on_own_packet(key)
            self.on_packet(flow, packet)

    def on_opening(self, flow, packet, sender, at):
        self.world.evacuations.on_opening(self, self.world.balancer_at(sender), at)
        if flow is None:
            flow = self.flows[(packet.source, packet.destination)] = TargetFlow(self, packet)
            self.checker.on_opened(self, packet.destination, self.world.opened_at.get(flow.key, now()))
        flow.write(SYN | ACK)

    def on_misrouted(self, key, sender):
        holder = self.world.holder_of(key)
        if holder is not None and not self.world.paths.is_undisturbed(self.world.zone_of(sender), holder.zone):
            holder = None
        self.checker.on_misrouted(key, holder)

    def on_unknown_flow(self, key, packet, sender):
        self.on_misrouted(key, sender)
        if not packet.has(RST):
            self.send(Packet(packet.destination, packet.source, RST, packet.ack, packet.seq, packet.echo))

    def on_packet(self, flow, packet):
        flow.echo = packet.echo
        if packet.has(RST):
            flow.discard()
            return
        flow.is_open = True
        flow.sender.on_acknowledged(packet.ack)
        if packet.data and flow.receiver.on_data(packet):
            flow.write(ACK)
        while message := messages.read_message(flow.receiver):
            asyncio.create_task(self.run(flow, *message))
        if packet.has(FIN):
            flow.write(FIN | ACK)
            flow.discard()

    async def run(self, flow, request, body):
        """Executes a request. The response of a draining target asks to close the flow."""
        request_id = request["id"]
        if body != messages.body_of(request_id, len(body)):
            self.checker.report("UNASKED", f"the body of {request_id} was altered before it reached {self.name}")
        async with self.slots:
            if not self.is_running:
                return
            self.checker.on_executed(request_id, request["once"], self)
            await asyncio.sleep(request["work"] * self.slowness)
            if self.is_running and self.flows.get(flow.key) is flow:
                head = {"id": request_id, "got": len(body), "digest": messages.digest(body),
                        "closes": self.state == "draining"}
                flow.sender.put(messages.encode(head, messages.body_of(request_id, request["size"])))
