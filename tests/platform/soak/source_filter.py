"""Socket filter (classic BPF) that silently drops connections from given addresses."""

import ctypes
import socket
import struct

SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27
INSTRUCTION = struct.Struct("HBBI")
PROGRAM = struct.Struct("HL")
# Opcodes: load a word, jump if equal, return. SOURCE_ADDRESS is the offset in the IPv4 header.
LOAD, JUMP_IF_EQUAL, RETURN = 0x20, 0x15, 0x06
SOURCE_ADDRESS = 0xFFF00000 + 12
ACCEPT, DROP = 0xFFFFFFFF, 0


def block_sources(listener, ips):
    """Drops connections from these addresses; an empty list removes the filter."""
    if not ips:
        listener.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
        return
    program = [(LOAD, 0, 0, SOURCE_ADDRESS)]
    for i, ip in enumerate(ips):
        number, = struct.unpack("!I", socket.inet_aton(ip))
        program.append((JUMP_IF_EQUAL, len(ips) - i, 0, number))
    program += [(RETURN, 0, 0, ACCEPT), (RETURN, 0, 0, DROP)]
    instructions = ctypes.create_string_buffer(b"".join(INSTRUCTION.pack(*instruction) for instruction in program))
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER,
                        PROGRAM.pack(len(program), ctypes.addressof(instructions)))
