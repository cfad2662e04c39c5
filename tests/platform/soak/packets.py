"""Packet format of the platform: a header of 32 bytes, then the data.

The soak implements both ends, so it uses its own checksum key. A wrong checksum means that a packet
was altered on its way.
"""

import dataclasses
import socket
import struct
import zlib

HEADER = struct.Struct("<HIIIIHIHBBI")
TARGET_PREFIX = struct.Struct(">Q")
SYN, ACK, FIN, RST, BOUNCED = 8, 2, 4, 1, 64
MAX_DATA = 1200
KEY = b"soak"


@dataclasses.dataclass
class Packet:
    """One packet. Addresses are pairs of IP string and port."""

    source: tuple
    destination: tuple
    flags: int = 0
    seq: int = 0
    ack: int = 0
    echo: int = 0
    data: bytes = b""
    checksum: int = 0

    def has(self, flag):
        return bool(self.flags & flag)

    def is_balancer_reset(self):
        return self.has(RST) and self.checksum == 0 and not self.data


def _number(ip):
    return struct.unpack("!I", socket.inet_aton(ip))[0]


def _text(number):
    return socket.inet_ntoa(struct.pack("!I", number))


def _compute_checksum(packet):
    covered = HEADER.pack(len(packet.data), packet.seq, packet.ack, 0, _number(packet.destination[0]),
                       packet.source[1], _number(packet.source[0]), packet.destination[1],
                       packet.flags & ~BOUNCED, 0, 0)
    return zlib.crc32(KEY + covered + packet.data) or 1


def encode(packet):
    """Returns a packet as bytes, with its checksum."""
    return HEADER.pack(len(packet.data), packet.seq, packet.ack, _compute_checksum(packet),
                     _number(packet.destination[0]), packet.source[1], _number(packet.source[0]),
                     packet.destination[1], packet.flags, 0, packet.echo) + packet.data


def decode(datagram):
    """Returns the packet, or None when it is malformed."""
    if len(datagram) < HEADER.size:
        return None
    length, seq, ack, checksum, to_ip, from_port, from_ip, to_port, flags, _, echo = HEADER.unpack_from(datagram)
    data = datagram[HEADER.size:]
    if length != len(data):
        return None
    return Packet((_text(from_ip), from_port), (_text(to_ip), to_port), flags, seq, ack, echo, data, checksum)


def has_valid_checksum(packet):
    """True when an endpoint of the flow wrote the packet and nothing altered it."""
    return packet.checksum == _compute_checksum(packet)
