"""The sockets of a target: UDP with receive timestamps, and TCP for probes of balancers."""

import asyncio
import socket
import struct
import time

import source_filter
from promises import now

BACKLOG = 128
MAX_DATAGRAM = 2048
# Kernel receive timestamps: the link shaper needs exact times although this program may read late.
SO_TIMESTAMPNS = 35
TIMESTAMP = struct.Struct("qq")
NANOSECONDS = 1e9


class TargetSockets:
    """Both sockets at one address. `on_datagram` takes data, sender IP and receive time."""

    def __init__(self, address, on_datagram):
        self.on_datagram = on_datagram
        self.blocked_ips = []
        self.loop = asyncio.get_running_loop()
        self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.datagrams.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        for sock in (self.datagrams, self.listener):
            sock.bind(address)
            sock.setblocking(False)
        self.listener.listen(BACKLOG)
        self.loop.add_reader(self.datagrams, self._on_readable)
        self.loop.add_reader(self.listener, self._on_connection)

    def send(self, datagram, address):
        try:
            self.datagrams.sendto(datagram, address)
        except BlockingIOError:
            # The send buffer is full: the datagram is lost, and the client retransmits.
            pass

    def block_sources(self, ips):
        """Drops connections from these addresses; an empty list accepts all."""
        if ips or self.blocked_ips:
            source_filter.block_sources(self.listener, ips)
        self.blocked_ips = ips

    def close(self):
        for sock in (self.datagrams, self.listener):
            self.loop.remove_reader(sock)
            sock.close()

    def _on_readable(self):
        try:
            datagram, ancillary, _, sender = self.datagrams.recvmsg(MAX_DATAGRAM, socket.CMSG_SPACE(TIMESTAMP.size))
        except BlockingIOError:
            return
        self.on_datagram(datagram, sender[0], self._arrived_at(ancillary))

    @staticmethod
    def _arrived_at(ancillary):
        for level, kind, value in ancillary:
            if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS:
                seconds, nanoseconds = TIMESTAMP.unpack(value)
                return now() - max(0.0, time.time() - seconds - nanoseconds / NANOSECONDS)
        return now()

    def _on_connection(self):
        try:
            connection, _ = self.listener.accept()
        except OSError:
            return
        connection.close()
