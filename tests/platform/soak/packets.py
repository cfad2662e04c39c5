"""Packets of flows as the platform writes them: a head of 32 octets before the data. Both ends are ours
here, so the keyed sum has a key of our own; a sum that does not match shows that somebody changed a packet.
"""

import dataclasses
import socket
import struct
import zlib

HEAD = struct.Struct("<HIIIIHIHBBI")
TARGET_PREFIX = struct.Struct(">Q")
SYN, ACK, FIN, RST, BOUNCED = 8, 2, 4, 1, 64
MAX_DATA = 1200
KEY = b"soak"


@dataclasses.dataclass
class Packet:
    """One packet. Addresses are pairs of IP text and port."""

    source: tuple
    destination: tuple
    flags: int = 0
    seq: int = 0
    ack: int = 0
    echo: int = 0
    data: bytes = b""
    total: int = 0

    def has(self, flag):
        return bool(self.flags & flag)

    def is_reset_of_the_system(self):
        return self.has(RST) and self.total == 0 and not self.data


def _number(ip):
    return struct.unpack("!I", socket.inet_aton(ip))[0]


def _text(number):
    return socket.inet_ntoa(struct.pack("!I", number))


def _keyed_sum(packet):
    signed = HEAD.pack(len(packet.data), packet.seq, packet.ack, 0, _number(packet.destination[0]),
                       packet.source[1], _number(packet.source[0]), packet.destination[1],
                       packet.flags & ~BOUNCED, 0, 0)
    return zlib.crc32(KEY + signed + packet.data) or 1


def encode(packet):
    """The octets of a packet, with its sum."""
    return HEAD.pack(len(packet.data), packet.seq, packet.ack, _keyed_sum(packet),
                     _number(packet.destination[0]), packet.source[1], _number(packet.source[0]),
                     packet.destination[1], packet.flags, 0, packet.echo) + packet.data


def decode(octets):
    """The packet; None when it is malformed."""
    if len(octets) < HEAD.size:
        return None
    length, seq, ack, total, to_ip, from_port, from_ip, to_port, flags, _, echo = HEAD.unpack_from(octets)
    data = octets[HEAD.size:]
    if length != len(data):
        return None
    return Packet((_text(from_ip), from_port), (_text(to_ip), to_port), flags, seq, ack, echo, data, total)


def is_as_written(packet):
    """True when the sum shows that an end of the flow wrote the packet this way."""
    return packet.total == _keyed_sum(packet)
