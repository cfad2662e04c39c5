"""Stands between the system's own processes and puts faults on the way.

Every process binds a private address and is known by its public one; the proxy listens on the public
addresses. TCP frames and UDP messages name their sender inside (see src/codec/envelope.h), so the proxy
knows both ends of each message. A cut drops messages in silence; connections stay open.
"""

import random
import selectors
import socket
import struct
import threading

FRAME_LENGTH = 4
SENDER_OFFSET = 6


def parse(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def sender_of(message):
    """The sender that a sealed message names, as "ip:port"; None for other datagrams."""
    if len(message) < 36 or not message.startswith(b"GVM"):
        return None
    port = struct.unpack("!H", message[SENDER_OFFSET + 4:SENDER_OFFSET + 6])[0]
    return socket.inet_ntoa(message[SENDER_OFFSET:SENDER_OFFSET + 4]) + f":{port}"


class FaultProxy:
    """One thread that forwards for all processes."""

    def __init__(self, seed=1):
        self.selector = selectors.DefaultSelector()
        self.random = random.Random(seed)
        self.cuts = set()
        self.datagram_loss = 0.0
        self.datagram_duplication = 0.0
        self.dropped = 0
        self.running = True
        self.sockets = []
        self.thread = threading.Thread(target=self._run, daemon=True)

    def forward_tcp(self, public, private):
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(parse(public))
        listener.listen(64)
        listener.setblocking(False)
        self._watch(listener, lambda: self._accept(listener, public, private))

    def forward_udp(self, public, private):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(parse(public))
        sock.setblocking(False)
        self._watch(sock, lambda: self._datagram(sock, public, private))

    def start(self):
        self.thread.start()

    def stop(self):
        self.running = False
        self.thread.join(5)
        for sock in self.sockets:
            sock.close()

    def cut(self, group, others):
        """Drops all messages between two groups of public addresses, both ways."""
        self.cuts = self.cuts | {frozenset((a, b)) for a in group for b in others}

    def heal(self):
        self.cuts = set()

    def _watch(self, sock, action):
        self.sockets.append(sock)
        self.selector.register(sock, selectors.EVENT_READ, action)

    def _is_cut(self, a, b):
        return a is not None and frozenset((a, b)) in self.cuts

    def _datagram(self, sock, public, private):
        try:
            data, _ = sock.recvfrom(65536)
        except OSError:
            return
        lost = self._is_cut(sender_of(data), public) or self.random.random() < self.datagram_loss
        if lost:
            self.dropped += 1
            return
        copies = 2 if self.random.random() < self.datagram_duplication else 1
        for _ in range(copies):
            sock.sendto(data, parse(private))

    def _accept(self, listener, public, private):
        try:
            client, _ = listener.accept()
        except OSError:
            return
        try:
            server = socket.create_connection(parse(private), timeout=1)
        except OSError:
            client.close()
            return
        pair = Pair(self, client, server, public)
        for sock in (client, server):
            sock.setblocking(False)
            self._watch(sock, lambda sock=sock, pair=pair: pair.on_readable(sock))

    def forget(self, sock):
        try:
            self.selector.unregister(sock)
        except (KeyError, ValueError):
            pass
        sock.close()

    def _run(self):
        while self.running:
            for key, _ in self.selector.select(0.1):
                key.data()


class Pair:
    """A connection from a client to one process, frame by frame."""

    def __init__(self, proxy, client, server, public):
        self.proxy = proxy
        self.public = public
        self.client_name = None
        self.peer = {client: server, server: client}
        self.client = client
        self.buffers = {client: b"", server: b""}

    def on_readable(self, sock):
        try:
            data = sock.recv(262144)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            return
        self.buffers[sock] += data
        while self._forward_frame(sock):
            pass

    def _forward_frame(self, sock):
        buffer = self.buffers[sock]
        if len(buffer) < FRAME_LENGTH:
            return False
        size = FRAME_LENGTH + struct.unpack("!I", buffer[:FRAME_LENGTH])[0]
        if len(buffer) < size:
            return False
        frame, self.buffers[sock] = buffer[:size], buffer[size:]
        if sock is self.client:
            self.client_name = sender_of(frame[FRAME_LENGTH:])
        if self.proxy._is_cut(self.client_name, self.public):
            self.proxy.dropped += 1
            return True
        try:
            self.peer[sock].setblocking(True)
            self.peer[sock].sendall(frame)
            self.peer[sock].setblocking(False)
        except OSError:
            self.close()
            return False
        return True

    def close(self):
        for sock in self.peer:
            self.proxy.forget(sock)
