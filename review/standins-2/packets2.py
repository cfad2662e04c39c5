"""Packets of the platform's protocol page: a head of 32 bytes, then the data."""

import collections
import socket
import struct
import zlib

HEAD = struct.Struct("<HIIIIHIHBBI")
TARGET_PREFIX = struct.Struct(">Q")
SYN, ACK, FIN, RST, BOUNCED = 8, 2, 4, 1, 64

Packet = collections.namedtuple("Packet", "source destination flags seq ack echo data checksum")


def _number(ip):
    return struct.unpack("!I", socket.inet_aton(ip))[0]


def _text(number):
    return socket.inet_ntoa(struct.pack("!I", number))


def _checksum(source, destination, flags, seq, ack, data):
    head = HEAD.pack(len(data), seq, ack, 0, _number(destination[0]), source[1], _number(source[0]),
                     destination[1], flags & ~BOUNCED, 0, 0)
    return zlib.crc32(b"stand-in" + head + data) or 1


def encode(source, destination, flags, seq, ack, echo, data=b""):
    """Returns a packet of an endpoint, with its checksum."""
    seq &= 0xFFFFFFFF
    ack &= 0xFFFFFFFF
    return HEAD.pack(len(data), seq, ack, _checksum(source, destination, flags, seq, ack, data),
                     _number(destination[0]), source[1], _number(source[0]), destination[1], flags, 0,
                     echo) + data


def decode(datagram):
    """Returns the packet, or None if it is malformed."""
    if len(datagram) < HEAD.size:
        return None
    (length, seq, ack, checksum, to_ip, from_port, from_ip, to_port, flags, _,
     echo) = HEAD.unpack_from(datagram)
    data = datagram[HEAD.size:]
    if length != len(data):
        return None
    return Packet((_text(from_ip), from_port), (_text(to_ip), to_port), flags, seq, ack, echo, data, checksum)


def is_intact(packet):
    """True if an endpoint wrote the packet and nothing changed it."""
    return packet.checksum == _checksum(*packet[:5], packet.data)
