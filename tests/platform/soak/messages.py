"""Framing of requests and responses in a flow: a line of JSON with the body size, then the body.

Bodies are derived from the request id, so that both sides can verify them.
"""

import json
import zlib

LINE_END = b"\n"


def body_of(request_id, size):
    """Returns the body of the given size in bytes for a request."""
    pattern = request_id.encode() + b";"
    return (pattern * (size // len(pattern) + 1))[:size]


def digest(body):
    return zlib.crc32(body)


def encode(head, body):
    return json.dumps(dict(head, octets=len(body))).encode() + LINE_END + body


def read_message(receiver):
    """Returns the header and body of the next complete message, or None when it is incomplete."""
    line_end = receiver.stream.find(LINE_END)
    if line_end < 0:
        return None
    head = json.loads(receiver.stream[:line_end])
    if len(receiver.stream) < line_end + 1 + head["octets"]:
        return None
    receiver.take(line_end + 1)
    return head, receiver.take(head["octets"])
