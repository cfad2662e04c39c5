"""A client: opens flows through balancers and sends requests on them."""

import itertools
import random
import socket
import threading
import time

import packets
from deployment import DATAGRAM_PORT
from packets import ACK, FIN, RST, SYN, Packet
from target import signature

OPENING_COPIES_AT = (0.2, 0.6)
OPENING_TIMEOUT = 1.4
INITIAL_RTO = 0.2
MAX_RTO = 1.6
_request_numbers = itertools.count(1)


class Client:
    """All flows of one client address."""

    def __init__(self, deployment, ip, name="client"):
        self.deployment = deployment
        self.record = deployment.record
        self.ip = ip
        self.name = name
        self.flows = {}
        self.ports = itertools.count(random.randrange(20000, 40000))
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, DATAGRAM_PORT))
        self.socket.settimeout(0.1)
        self.is_running = True
        # The first answers to the opening packet of each flow that are lost on their way.
        self.lose_opening_answers = 0
        threading.Thread(target=self.receive_forever, daemon=True).start()

    def close(self):
        self.is_running = False
        self.socket.close()

    def receive_forever(self):
        while self.is_running:
            try:
                datagram, sender = self.socket.recvfrom(2048)
            except OSError:
                continue
            packet = packets.decode(datagram)
            flow = self.flows.get((packet.destination, packet.source)) if packet is not None else None
            if flow is not None:
                flow.on_packet(packet, sender[0])

    def open(self, balancer, frontend):
        """Opens a flow through a balancer. Returns it, open or not."""
        flow = ClientFlow(self, balancer, (self.ip, next(self.ports)), frontend)
        self.flows[(flow.source, frontend)] = flow
        flow.open()
        return flow


class ClientFlow:
    def __init__(self, client, balancer, source, frontend):
        self.client = client
        self.record = client.record
        self.balancer = balancer
        self.source = source
        self.frontend = frontend
        self.name = f"{client.name}:{source[1]}"
        self.state = "opening"
        self.reset_by = None
        self.answers_to_lose = client.lose_opening_answers
        self.echo = 0
        self.send_next = random.randrange(1 << 30)
        self.receive_next = 0
        self.acknowledged = self.send_next
        self.received = b""
        self.changed = threading.Condition()

    def send(self, flags, data=b"", seq=None, ack=None, echo=None):
        packet = Packet(self.source, self.frontend, flags, self.send_next if seq is None else seq,
                        self.receive_next if ack is None else ack, self.echo if echo is None else echo, data)
        self.client.socket.sendto(packet.encode(), (self.balancer.ip, DATAGRAM_PORT))

    def open(self):
        with self.changed:
            self.record.write(self.name, f"SYN to {self.frontend[1]} through {self.balancer.name}")
            began = time.monotonic()
            for copies, until in enumerate((*OPENING_COPIES_AT, OPENING_TIMEOUT)):
                self.send(SYN, ack=copies, echo=0)
                self.changed.wait_for(lambda: self.state != "opening", began + until - time.monotonic())
                if self.state != "opening":
                    break
            if self.state == "opening":
                self.state = "unopened"
            self.record.write(self.name, f"is {self.state}")

    def on_packet(self, packet, sender):
        with self.changed:
            if packet.flags & SYN and self.answers_to_lose > 0:
                self.answers_to_lose -= 1
                self.record.write(self.name, f"the SYN+ACK from {sender} is lost on its way")
            elif packet.flags & RST:
                self.on_reset(packet, sender)
            elif packet.flags & SYN and self.state == "opening":
                self.receive_next = packet.seq
                self.echo = packet.echo
                self.state = "open"
                self.send(ACK)
            elif self.state == "open":
                self.echo = packet.echo
                self.acknowledged = max(self.acknowledged, packet.ack)
                if packet.data and packet.seq == self.receive_next & 0xFFFFFFFF:
                    self.received += packet.data
                    self.receive_next += len(packet.data)
                    self.send(ACK)
                if packet.flags & FIN:
                    self.state = "closed"
            self.changed.notify_all()

    def on_reset(self, packet, sender):
        # A reset of the system has no data and the sum 0; one of a target has its keyed sum.
        by_system = packet.checksum == 0
        in_window = abs(((packet.seq - self.receive_next) & 0xFFFFFFFF ^ 0x80000000) - 0x80000000) <= 76800
        if by_system and self.state == "open" and not in_window:
            self.record.write(self.name, f"ignored a reset outside of its window from {sender}")
            return
        self.reset_by = "system" if by_system else "target"
        was = self.state
        self.state = "reset"
        self.record.write(self.name, f"RST from {sender}, written by the {self.reset_by}; the flow was {was}")

    def request(self, seconds=2.0):
        """Sends one request. Returns "answered", or what happened instead."""
        with self.changed:
            if self.state != "open":
                return self.state
            request_id = f"r{next(_request_numbers)}-{random.randrange(1 << 32):08x}"
            data = f"GET /feed HTTP/1.1\r\nHost: {self.frontend[0]}\r\nRequest-Id: {request_id}\r\n\r\n".encode()
            self.record.write(self.name, f"request {request_id} through {self.balancer.name}")
            seq = self.send_next
            self.send_next += len(data)
            before = len(self.received)
            deadline = time.monotonic() + seconds
            rto = INITIAL_RTO
            while self.state == "open" and time.monotonic() < deadline:
                if self.acknowledged < self.send_next:
                    self.send(ACK, data, seq)
                if self.changed.wait_for(lambda: self.state != "open" or len(self.received) > before,
                                         min(rto, deadline - time.monotonic())):
                    break
                rto = min(2 * rto, MAX_RTO)
            outcome = self.check_answer(request_id, self.received[before:]) if len(self.received) > before else (
                "no answer" if self.state == "open" else self.state)
            self.record.write(self.name, f"request {request_id}: {outcome}")
            return outcome

    @staticmethod
    def check_answer(request_id, data):
        head, _, body = data.decode().partition("\r\n\r\n")
        return "answered" if f"Response-Signature: {signature(request_id, body)}" in head else "wrong answer"

    def close(self):
        with self.changed:
            if self.state == "open":
                self.send(FIN | ACK)
                self.changed.wait_for(lambda: self.state != "open", 1.0)
                if self.state == "open":
                    self.state = "closed"
