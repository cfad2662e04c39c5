"""A target: holds flows, runs requests, answers health checks, and announces itself."""

import hashlib
import json
import random
import socket
import threading
import time

import packets
from deployment import DATAGRAM_PORT, HEARTBEAT_S, call_any
from packets import ACK, FIN, RST, SYN, Packet


def signature(request_id, body):
    return hashlib.sha256(f"{request_id}:{body}".encode()).hexdigest()[:16]


class Flow:
    """A target's end of a flow."""

    def __init__(self, packet):
        self.is_open = False
        self.echo = packet.echo
        self.receive_next = packet.seq
        self.start = random.randrange(1 << 30)
        self.send_next = self.start
        self.last_answer = None


class Target:
    """One incarnation of a target. `work_s` is how long it works on a request."""

    def __init__(self, deployment, name, service, address, zone, work_s=0.02, number=None, born=None):
        self.deployment = deployment
        self.record = deployment.record
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.work_s = work_s
        self.number = number or random.randrange(1 << 32, 1 << 40)
        self.id = f"i-{self.number:010x}"
        self.born = born
        self.state = "ready"
        self.sequence = 0
        self.acknowledged_at = None
        self.flows = {}
        self.openings = []
        self.is_running = True
        self.lock = threading.RLock()
        self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.datagrams.bind(address)
        self.datagrams.settimeout(0.1)
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(64)
        self.listener.settimeout(0.1)
        self.record.write(self.name, f"started as {self.id} of {service} at {address[0]}:{address[1]}")
        for loop in (self.receive_forever, self.answer_health_checks, self.announce_forever):
            threading.Thread(target=loop, daemon=True).start()

    # Registration.
    def body(self):
        self.sequence += 1
        body = {"service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
                "version": "v1", "slots": 2, "state": self.state, "warmup_left_ms": 0, "seq": self.sequence}
        return json.dumps(body if self.born is None else body | {"born": self.born})

    def announce(self):
        with self.lock:
            state, body = self.state, self.body()
        status, node = call_any(self.deployment, "PUT", f"/-/instances/{self.id}", body, 1.0)
        if state == "draining" and 200 <= status < 300 and self.acknowledged_at is None:
            self.acknowledged_at = time.monotonic()
        if self.sequence == 1 or state == "draining":
            self.record.write(self.name, f"PUT {state}, seq {self.sequence}: {status} from {node.name}")
        return status

    def announce_forever(self):
        while self.is_running and self.state != "ended":
            self.announce()
            time.sleep(HEARTBEAT_S)

    def drain(self):
        """Says that it drains, at once."""
        with self.lock:
            self.state = "draining"
        return self.announce()

    def deregister(self):
        """Sends the DELETE. The target serves on until `end` is called."""
        with self.lock:
            self.state = "ended"
        status, node = call_any(self.deployment, "DELETE", f"/-/instances/{self.id}", None, 1.0)
        self.record.write(self.name, f"DELETE: {status} from {node.name}")
        if 200 <= status < 300:
            self.acknowledged_at = time.monotonic()
        return status

    def end(self, how="ended"):
        """Ends without a word."""
        if self.is_running:
            self.is_running = False
            self.datagrams.close()
            self.listener.close()
            self.record.write(self.name, how)

    # Health checks. A connection without a request is a probe of the path.
    def answer_health_checks(self):
        while self.is_running:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                continue
            threading.Thread(target=self.answer_health_check, args=(connection,), daemon=True).start()

    def answer_health_check(self, connection):
        with connection:
            connection.settimeout(1)
            try:
                if connection.recv(4096):
                    status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
                    connection.sendall(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
            except OSError:
                pass

    # Packets.
    def send(self, packet):
        try:
            self.datagrams.sendto(packet.encode(), (packet.destination[0], DATAGRAM_PORT))
        except OSError:
            pass

    def receive_forever(self):
        while self.is_running:
            try:
                datagram, sender = self.datagrams.recvfrom(2048)
            except OSError:
                continue
            if len(datagram) < 8 + packets.HEAD.size:
                continue
            number, = packets.TARGET_ID.unpack_from(datagram)
            packet = packets.decode(datagram[8:])
            if packet is None or packet.checksum != packet.compute_checksum():
                self.record.write(self.name, f"received an altered packet from {sender[0]}")
                continue
            if number not in (0, self.number):
                # Meant for another target: stays silent.
                continue
            with self.lock:
                self.on_packet(packet, sender[0])

    def on_packet(self, packet, sender):
        flow = self.flows.get(packet.flow)
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[packet.flow] = Flow(packet)
                self.openings.append(time.monotonic())
                self.record.write(self.name, f"took the opening packet of {packet.source[0]}:{packet.source[1]} "
                                             f"from {sender}")
            self.reply(packet, flow, SYN | ACK, flow.start)
            return
        if flow is None or not (flow.is_open or packet.ack == flow.start & 0xFFFFFFFF):
            if not packet.flags & RST:
                self.record.write(self.name, f"RST: unknown flow, {packet.describe()} from {sender}")
                self.send(Packet(packet.destination, packet.source, RST, packet.ack, packet.seq, packet.echo))
            return
        flow.is_open = True
        flow.echo = packet.echo
        if packet.flags & RST:
            self.flows.pop(packet.flow)
        elif packet.flags & FIN:
            self.reply(packet, flow, FIN | ACK, flow.send_next)
            self.flows.pop(packet.flow)
        elif packet.data:
            self.on_data(packet, flow, sender)

    def on_data(self, packet, flow, sender):
        if packet.seq != flow.receive_next & 0xFFFFFFFF:
            # A copy: the answer, if there is one, is sent again.
            if flow.last_answer is not None:
                self.send(flow.last_answer)
            return
        flow.receive_next += len(packet.data)
        flow.last_answer = None
        request_id = packet.data.split(b"Request-Id: ", 1)[1].split(b"\r\n", 1)[0].decode()
        self.record.write(self.name, f"runs request {request_id}, which came through {sender}")
        threading.Timer(self.work_s, self.answer, (packet, flow, request_id)).start()

    def answer(self, packet, flow, request_id):
        with self.lock:
            if not self.is_running or self.flows.get(packet.flow) is not flow:
                return
            body = f"answer of {self.name} to {request_id}"
            head = (f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
                    f"Response-Signature: {signature(request_id, body)}\r\n\r\n")
            data = (head + body).encode()
            flow.last_answer = Packet(packet.destination, packet.source, ACK, flow.send_next, flow.receive_next,
                                      flow.echo, data)
            flow.send_next += len(data)
            self.send(flow.last_answer)

    def reply(self, packet, flow, flags, seq):
        self.send(Packet(packet.destination, packet.source, flags, seq, flow.receive_next, flow.echo))
