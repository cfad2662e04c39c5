"""Proxy between the processes of the system that injects network faults.

Each process binds a private address and is reached at its public one, where the proxy listens. TCP
frames and UDP messages contain their sender (see src/codec/envelope.h), so the proxy knows both
ends of each message. A cut silently drops messages in one or both directions while connections stay
open. TCP frames can also be delayed, and connections reset.
"""

import collections
import heapq
import itertools
import random
import selectors
import socket
import struct
import threading
import time

FRAME_LENGTH = 4
SENDER_OFFSET = 6
SEND_TIMEOUT = 0.5


def parse_address(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def sender_of(message):
    """Returns the sender in an authenticated message as "ip:port"; None for other datagrams."""
    if len(message) < 36 or not message.startswith(b"GVM"):
        return None
    port = struct.unpack("!H", message[SENDER_OFFSET + 4:SENDER_OFFSET + 6])[0]
    return socket.inet_ntoa(message[SENDER_OFFSET:SENDER_OFFSET + 4]) + f":{port}"


class FaultProxy:
    """Forwards the traffic of all processes in one thread."""

    def __init__(self, seed=1):
        self.selector = selectors.DefaultSelector()
        self.random = random.Random(seed)
        # Number of cuts per (sender, receiver). Replaced, never modified: two threads use it.
        self.cuts = collections.Counter()
        self.delay = 0.0
        self.delayed = []
        self.delay_sequence = itertools.count()
        self.pairs = []
        self.datagram_loss = 0.0
        self.datagram_duplication = 0.0
        self.dropped = 0
        self.running = True
        self.sockets = []
        self.thread = threading.Thread(target=self._run, daemon=True)

    def forward_tcp(self, public, private):
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(parse_address(public))
        listener.listen(64)
        listener.setblocking(False)
        self._watch(listener, lambda: self._accept(listener, public, private))

    def forward_udp(self, public, private):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(parse_address(public))
        sock.setblocking(False)
        self._watch(sock, lambda: self._forward_datagram(sock, public, private))

    def start(self):
        self.thread.start()

    def stop(self):
        self.running = False
        self.thread.join(5)
        for sock in self.sockets:
            sock.close()

    def cut(self, group, others):
        """Drops all messages between two groups of public addresses. Returns the cut for `heal`."""
        return self.cut_one_way(group, others) + self.cut_one_way(others, group)

    def cut_one_way(self, senders, receivers):
        """Like `cut`, but only for messages from `senders` to `receivers`."""
        cut = collections.Counter((a, b) for a in senders for b in receivers)
        self.cuts = self.cuts + cut
        return cut

    def reset_connections(self, addresses):
        """Resets all TCP connections to and from processes with these public addresses."""
        for connection in list(self.pairs):
            if connection.public in addresses or connection.client_address in addresses:
                connection.reset_requested = True

    def silence_connections(self, share, direction):
        """Drops all further data of a random share of the open connections, which stay open. The
        direction is `up` (from the client), `down` or `both`."""
        for connection in list(self.pairs):
            if self.random.random() < share:
                connection.silenced_directions = {"up", "down"} if direction == "both" else {direction}

    def heal(self, cut=None):
        """Ends one cut, or all of them."""
        self.cuts = self.cuts - cut if cut is not None else collections.Counter()

    def _watch(self, sock, action):
        self.sockets.append(sock)
        self.selector.register(sock, selectors.EVENT_READ, action)

    def _is_cut(self, sender, receiver):
        return self.cuts[sender, receiver] > 0

    def _forward_datagram(self, sock, public, private):
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
            sock.sendto(data, parse_address(private))

    def _accept(self, listener, public, private):
        try:
            client, _ = listener.accept()
        except OSError:
            return
        try:
            server = socket.create_connection(parse_address(private), timeout=1)
        except OSError:
            client.close()
            return
        connection = Pair(self, client, server, public)
        self.pairs.append(connection)
        for sock in (client, server):
            sock.setblocking(False)
            self._watch(sock, lambda sock=sock, connection=connection: connection.on_readable(sock))

    def close_socket(self, sock):
        try:
            self.selector.unregister(sock)
        except (KeyError, ValueError):
            pass
        sock.close()

    def schedule(self, action):
        """Runs an action after the current delay, in order."""
        heapq.heappush(self.delayed, (time.monotonic() + self.delay, next(self.delay_sequence), action))

    def _run_delayed(self):
        while self.delayed and self.delayed[0][0] <= time.monotonic():
            heapq.heappop(self.delayed)[2]()

    def _run(self):
        while self.running:
            wait = min(0.1, max(0.0, self.delayed[0][0] - time.monotonic())) if self.delayed else 0.1
            for key, _ in self.selector.select(wait):
                key.data()
            self._run_delayed()
            for connection in [connection for connection in self.pairs if connection.reset_requested]:
                connection.reset()


class Pair:
    """A connection from a client to one process, forwarded frame by frame."""

    def __init__(self, proxy, client, server, public):
        self.proxy = proxy
        self.public = public
        self.client_address = None
        self.reset_requested = False
        self.silenced_directions = set()
        self.closed = False
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
            self.client_address = sender_of(frame[FRAME_LENGTH:])
        endpoints = (self.client_address, self.public)
        sender, receiver = endpoints if sock is self.client else reversed(endpoints)
        direction = "up" if sock is self.client else "down"
        if direction in self.silenced_directions or self.proxy._is_cut(sender, receiver):
            self.proxy.dropped += 1
            return True
        if self.proxy.delay > 0 or self.proxy.delayed:
            self.proxy.schedule(lambda: self._send(sock, frame))
            return True
        return self._send(sock, frame)

    def _send(self, sock, frame):
        if self.closed:
            return False
        try:
            # Closes the connection to a peer that does not read, so that others are not blocked.
            self.peer[sock].settimeout(SEND_TIMEOUT)
            self.peer[sock].sendall(frame)
            self.peer[sock].setblocking(False)
        except OSError:
            self.close()
            return False
        return True

    def reset(self):
        """Resets the connections to both sides."""
        for sock in self.peer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()

    def close(self):
        self.closed = True
        if self in self.proxy.pairs:
            self.proxy.pairs.remove(self)
        for sock in self.peer:
            self.proxy.close_socket(sock)
