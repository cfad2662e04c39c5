"""Stand-ins for targets, clients, routers and the operator. They do what the platform's pages say of
a sound one."""

import hashlib
import http.client
import itertools
import json
import random
import selectors
import socket
import threading
import time

import packets2 as packets
from deployment2 import CONTROL_PORT, DATAGRAM_PORT, READINESS_PORT, now
from packets2 import ACK, FIN, RST, SYN

_ids = itertools.count(1)
OPENING_TIMES = (0.0, 0.2, 0.6)
OPENING_TIMEOUT = 1.4
RETRANSMISSION = (0.2, 0.6, 1.4)
REQUEST_TIMEOUT = 2.0


def call(addresses, method, path, body="", timeout=1.0):
    """Calls one control machine after the other until one answers clearly; follows redirects twice.
    Returns (status, body), or (0, "") if none answered."""
    for address in addresses:
        host, target = address, path
        for _ in range(3):
            try:
                connection = http.client.HTTPConnection(host, CONTROL_PORT, timeout=timeout)
                connection.request(method, target, body, {"Content-Type": "application/json"})
                response = connection.getresponse()
                text = response.read().decode()
                status, location = response.status, response.getheader("Location", "")
                connection.close()
            except (OSError, http.client.HTTPException):
                break
            if status == 307:
                host = location.split("/")[2].split(":")[0]
                target = "/" + location.split("/", 3)[3]
                continue
            if status in (408, 429) or status >= 500:
                break
            return status, text
    return 0, ""


class Operator:
    """Sends an order again, unchanged, until it is acknowledged."""

    def __init__(self, deployment, record):
        self.addresses = [machine.ip for machine in deployment.controls]
        self.record = record

    def order(self, method, path, body="", limit=20.0):
        """Returns the time of the acknowledgement, or None."""
        self.record(f"operator sends {method} {path} {body}")
        deadline = now() + limit
        while now() < deadline:
            status, text = call(random.sample(self.addresses, len(self.addresses)), method, path, body)
            if status:
                self.record(f"operator got {status} {text[:80]} for {method} {path}")
                return now() if status == 200 else None
            time.sleep(0.2)
        return None


class Router(threading.Thread):
    """Asks each balancer twice a second whether it is ready; two misses take it out. Flows go to a
    balancer of the client's zone by a steady hash of the four addresses and ports."""

    def __init__(self, deployment):
        super().__init__(daemon=True)
        self.balancers = deployment.balancers
        self.misses = {machine.ip: 2 for machine in self.balancers}
        self.is_running = True

    def run(self):
        while self.is_running:
            for machine in self.balancers:
                try:
                    connection = http.client.HTTPConnection(machine.ip, READINESS_PORT, timeout=0.3)
                    connection.request("GET", "/-/ready")
                    is_ready = connection.getresponse().status == 200
                    connection.close()
                except (OSError, http.client.HTTPException):
                    is_ready = False
                self.misses[machine.ip] = 0 if is_ready else self.misses[machine.ip] + 1
            time.sleep(0.5)

    def ready(self):
        return [machine for machine in self.balancers if self.misses[machine.ip] < 2]

    def choose(self, zone, source, destination):
        local = [machine for machine in self.balancers if machine.zone == zone]
        ready = [machine for machine in local if self.misses[machine.ip] < 2]
        if 2 * len(ready) < len(local):
            ready = local
        key = f"{source}{destination}"
        return max(ready, key=lambda one: hashlib.md5(f"{key}{one.ip}".encode()).digest()).ip


class Target:
    """One incarnation of a target."""

    def __init__(self, world, service, ip, zone, warm_up_s=0.0):
        self.world, self.service, self.zone = world, service, zone
        self.address = (ip, 9000)
        self.number = next(_ids) << 32 | random.getrandbits(31)
        self.name = f"i-{self.number:x}"
        self.flows = {}
        self.state = "ready"
        self.seq = 0
        self.warm_at = now() + warm_up_s
        self.born = int(time.time() * 1000)
        self.is_running = True
        self.is_cut = False
        self.fillers = []
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.setblocking(False)
        self.udp.bind(self.address)
        self.tcp = socket.socket()
        self.tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.tcp.bind(self.address)
        self.tcp.listen(128)
        self.tcp.setblocking(False)
        world.add_target(self)
        self.announcer = threading.Thread(target=self._announce, daemon=True)
        self.announcer.start()

    def announce(self):
        self.seq += 1
        left = max(0, int(1000 * (self.warm_at - now())))
        body = {"service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
                "version": "v1", "slots": 2, "state": self.state, "warmup_left_ms": left, "seq": self.seq,
                "born": self.born}
        addresses = random.sample(self.world.control_addresses, len(self.world.control_addresses))
        status, _ = call(addresses, "PUT", f"/-/instances/{self.name}", json.dumps(body))
        self.world.record(f"target {self.name} of {self.service} in {self.zone} announced {self.state}, "
                          f"seq {self.seq}: {status}")
        return status == 200

    def _announce(self):
        while self.is_running:
            if not self.is_cut:
                self.announce()
            time.sleep(1.2)

    def cut(self):
        """Loses the path to all machines, silently: packets and beats are lost, connections hang."""
        self.is_cut = True
        self.world.changes.append((self.tcp, "pause"))
        self.tcp.listen(0)
        # A full queue of connections that nobody accepts drops further ones without a reset.
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)
        self.world.record(f"target {self.name} is cut off from all machines")

    def heal(self):
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.tcp.listen(128)
        self.world.changes.append((self.tcp, self))
        self.is_cut = False
        self.world.record(f"target {self.name} reaches all machines again")

    def end(self):
        """Ends at once, as a crash does."""
        self.is_running = False
        self.world.remove_target(self)
        self.world.record(f"target {self.name} ended")

    def on_datagram(self, datagram, at):
        if self.is_cut:
            return
        number, = packets.TARGET_PREFIX.unpack_from(datagram)
        packet = packets.decode(datagram[packets.TARGET_PREFIX.size:])
        if packet is None or not packets.is_intact(packet):
            self.world.record(f"UNASKED: {self.name} got a packet that nobody wrote")
            return
        if number not in (0, self.number):
            return
        key = (packet.source, packet.destination)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                seq = random.getrandbits(30)
                flow = self.flows[key] = {"seq": seq, "send": seq + 1, "expected": packet.seq + 1, "last": None}
                self.world.on_opening(self, key, at)
            self._send(packet, SYN | ACK, flow["seq"], packet.seq + 1)
        elif flow is None:
            if not packet.flags & RST:
                self._send(packet, RST, packet.ack, packet.seq)
        elif packet.flags & RST:
            self.flows.pop(key)
        elif packet.flags & FIN:
            self._send(packet, FIN | ACK, packet.ack, packet.seq + 1)
            self.flows.pop(key)
        elif packet.data:
            self._on_data(flow, key, packet, at)

    def _on_data(self, flow, key, packet, at):
        """Runs the next request of a flow; answers a repeated one again."""
        if packet.seq == flow["expected"]:
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
            flow["last"] = (packet.seq, flow["send"], answer)
            flow["expected"] += len(packet.data)
            flow["send"] += len(answer)
            self.world.on_run(self, key, packet.data, at)
        if flow["last"] and flow["last"][0] == packet.seq:
            self._send(packet, ACK, flow["last"][1], flow["expected"], flow["last"][2])

    def _send(self, packet, flags, seq, ack, data=b""):
        out = packets.encode(packet.destination, packet.source, flags, seq, ack, packet.echo, data)
        try:
            self.udp.sendto(out, (packet.source[0], DATAGRAM_PORT))
        except OSError:
            pass


class Flow:
    """A client's flow with one request; one try of it."""

    def __init__(self, client, route, request):
        self.client, self.route, self.request = client, route, request
        self.source = client.next_source()
        self.began_at = now()
        self.seq = random.getrandbits(30)
        self.target_seq = None
        self.echo = 0
        self.sent = 0
        self.data_sent_at = None
        self.data_sends = 0
        self.result = None


class Client:
    """Clients of one zone, at one address. `on_result(flow)` is called at the end of each try."""

    def __init__(self, world, ip, zone, on_result):
        self.world, self.ip, self.zone, self.on_result = world, ip, zone, on_result
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        self.udp.setblocking(False)
        self.udp.bind((ip, DATAGRAM_PORT))
        self.ports = itertools.count(20000)
        self.flows = {}
        self.lock = threading.Lock()

    def next_source(self):
        return (self.ip, next(self.ports))

    def request(self, route, number):
        flow = Flow(self, route, number)
        with self.lock:
            self.flows[(flow.source, route)] = flow
        self.step(flow, now())

    def send(self, flow, flags, seq, ack, data=b""):
        balancer = self.world.router.choose(self.zone, flow.source, flow.route)
        self.udp.sendto(packets.encode(flow.source, flow.route, flags, seq, ack, flow.echo, data),
                        (balancer, DATAGRAM_PORT))

    def _end(self, flow, result):
        flow.result = result
        with self.lock:
            self.flows.pop((flow.source, flow.route), None)
        self.on_result(flow)

    def step(self, flow, at):
        """Sends what is due."""
        age = at - flow.began_at
        if flow.target_seq is None:
            if age >= OPENING_TIMEOUT:
                self._end(flow, "no answer")
            elif flow.sent < len(OPENING_TIMES) and age >= OPENING_TIMES[flow.sent]:
                flow.sent += 1
                self.send(flow, SYN, flow.seq, flow.sent - 1)
        elif isinstance(flow, LongFlow):
            flow.step_open(at)
        elif age >= REQUEST_TIMEOUT:
            self._end(flow, "deadline")
        elif flow.data_sends <= len(RETRANSMISSION) and (
                flow.data_sends == 0 or at - flow.data_sent_at >= RETRANSMISSION[flow.data_sends - 1]):
            flow.data_sends += 1
            flow.data_sent_at = flow.data_sent_at or at
            text = f"GET /x HTTP/1.1\r\nHost: x\r\nRequest-Id: {flow.request}\r\n\r\n".encode()
            self.send(flow, ACK, flow.seq + 1, flow.target_seq + 1, text)

    def on_datagram(self, datagram):
        packet = packets.decode(datagram)
        flow = self.flows.get((packet.destination, packet.source)) if packet else None
        if flow is None:
            return
        if packet.flags & RST:
            by_system = packet.checksum == 0
            flow.ended_at = now()
            self._end(flow, "reset by the system" if by_system else "reset by a target")
        elif packet.flags & SYN:
            if flow.target_seq is None:
                flow.target_seq = packet.seq
            if packet.seq == flow.target_seq:
                flow.echo = packet.echo
                if isinstance(flow, LongFlow):
                    flow.on_packet(packet)
                self.step(flow, now())
        elif isinstance(flow, LongFlow):
            flow.on_packet(packet)
        elif packet.data and flow.target_seq is not None:
            flow.echo = packet.echo
            self.send(flow, FIN | ACK, packet.ack, packet.seq + len(packet.data))
            self._end(flow, "answered")


class LongFlow(Flow):
    """A flow that a client keeps for several requests, one at a time."""

    def __init__(self, client, route, source=None):
        super().__init__(client, route, None)
        self.source = source or self.source
        self.send_next = self.seq + 1
        self.receive_next = None
        self.pending = None
        self.answers = 0
        self.ended_at = None
        with client.lock:
            client.flows[(self.source, route)] = self
        client.step(self, now())

    def is_open(self):
        return self.target_seq is not None and self.result is None

    def send_request(self, text):
        self.pending = f"GET /x HTTP/1.1\r\nHost: x\r\nRequest-Id: {text}\r\n\r\n".encode()
        self.data_sends = 0
        self.data_sent_at = None

    def step_open(self, at):
        if self.pending is None or self.data_sends > len(RETRANSMISSION):
            return
        if self.data_sends == 0 or at - self.data_sent_at >= RETRANSMISSION[self.data_sends - 1]:
            self.data_sends += 1
            self.data_sent_at = self.data_sent_at or at
            self.client.send(self, ACK, self.send_next, self.receive_next, self.pending)

    def on_packet(self, packet):
        if packet.flags & SYN:
            self.receive_next = packet.seq + 1
            self.client.send(self, ACK, self.send_next, self.receive_next)
        elif packet.data and packet.seq == self.receive_next and self.pending:
            self.echo = packet.echo
            self.receive_next += len(packet.data)
            self.send_next += len(self.pending)
            self.pending = None
            self.answers += 1
            self.client.send(self, ACK, self.send_next, self.receive_next)


class World(threading.Thread):
    """Moves packets for all targets and clients. Hooks: on_opening(target, flow key, time) for the
    first opening packet that a target takes, on_run(target, flow key, data, time)."""

    def __init__(self, deployment, record):
        super().__init__(daemon=True)
        self.deployment, self.record = deployment, record
        self.control_addresses = [machine.ip for machine in deployment.controls]
        self.router = Router(deployment)
        self.selector = selectors.DefaultSelector()
        self.clients, self.targets = [], []
        self.changes = []
        self.is_running = True
        self.on_opening = lambda target, key, at: None
        self.on_run = lambda target, key, data, at: None

    def add_client(self, client):
        self.clients.append(client)
        self.changes.append((client.udp, client.on_datagram))

    def add_target(self, target):
        self.targets.append(target)
        self.changes.append((target.udp, lambda datagram: target.on_datagram(datagram, now())))
        self.changes.append((target.tcp, target))

    def remove_target(self, target):
        self.targets.remove(target)
        self.changes += [(target.udp, None), (target.tcp, None)]

    def run(self):
        self.router.start()
        while self.is_running:
            while self.changes:
                sock, handler = self.changes.pop(0)
                if handler is None:
                    self.selector.unregister(sock)
                    sock.close()
                elif handler == "pause":
                    self.selector.unregister(sock)
                else:
                    self.selector.register(sock, selectors.EVENT_READ, handler)
            for key, _ in self.selector.select(0.005):
                self._read(key)
            at = now()
            for client in self.clients:
                with client.lock:
                    flows = list(client.flows.values())
                for flow in flows:
                    client.step(flow, at)

    def _read(self, key):
        if isinstance(key.data, Target):
            try:
                connection, _ = key.fileobj.accept()
                threading.Thread(target=answer_health_check, args=(connection,), daemon=True).start()
            except OSError:
                pass
            return
        for _ in range(200):
            try:
                datagram = key.fileobj.recv(2048)
            except OSError:
                return
            key.data(datagram)

    def close(self):
        self.is_running = False
        self.router.is_running = False
        for target in list(self.targets):
            target.is_running = False
        self.join(5)


def answer_health_check(connection):
    """Answers a health check over TCP; a connection that sends nothing is closed."""
    with connection:
        try:
            connection.settimeout(1)
            if connection.recv(2048):
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        except OSError:
            pass


def wait_until(condition, limit):
    deadline = now() + limit
    while not condition():
        if now() > deadline:
            return False
        time.sleep(0.05)
    return True
