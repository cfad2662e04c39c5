"""Packet format of the platform: a head of 32 bytes, then up to 1,200 bytes of data."""

import socket
import struct
import zlib

HEAD = struct.Struct("<HIIIIHIHBBI")
TARGET_ID = struct.Struct(">Q")
SYN, ACK, FIN, RST, BOUNCED = 8, 2, 4, 1, 64
KEY = b"review"


class Packet:
    """One packet. `source` and `destination` are pairs of an IP address and a port."""

    def __init__(self, source, destination, flags=0, seq=0, ack=0, echo=0, data=b"", checksum=None):
        self.source = source
        self.destination = destination
        self.flags = flags
        self.seq = seq & 0xFFFFFFFF
        self.ack = ack & 0xFFFFFFFF
        self.echo = echo
        self.data = data
        self.checksum = self.compute_checksum() if checksum is None else checksum

    def compute_checksum(self):
        """Keyed sum over everything except `echo`, `pad` and BOUNCED."""
        covered = _pack(self, 0, self.flags & ~BOUNCED, 0)
        return zlib.crc32(KEY + covered + self.data) or 1

    def encode(self):
        return _pack(self, self.checksum, self.flags, self.echo) + self.data

    @property
    def flow(self):
        """The client's and the frontend's end, in that order, for a packet of a client."""
        return self.source, self.destination

    def describe(self):
        names = [name for name, bit in (("SYN", SYN), ("ACK", ACK), ("FIN", FIN), ("RST", RST)) if self.flags & bit]
        return f"{'+'.join(names) or '-'} seq={self.seq} ack={self.ack} echo={self.echo} len={len(self.data)}"


def _pack(packet, checksum, flags, echo):
    return HEAD.pack(len(packet.data), packet.seq, packet.ack, checksum, _number(packet.destination[0]),
                     packet.source[1], _number(packet.source[0]), packet.destination[1], flags, 0, echo)


def _number(ip):
    return struct.unpack("!I", socket.inet_aton(ip))[0]


def _text(number):
    return socket.inet_ntoa(struct.pack("!I", number))


def decode(datagram):
    """Returns the packet, or None when the datagram is malformed."""
    if len(datagram) < HEAD.size:
        return None
    length, seq, ack, checksum, to_ip, from_port, from_ip, to_port, flags, _, echo = HEAD.unpack_from(datagram)
    data = datagram[HEAD.size:]
    if length != len(data):
        return None
    return Packet((_text(from_ip), from_port), (_text(to_ip), to_port), flags, seq, ack, echo, data, checksum)
