"""Requests and answers inside flows: a line of JSON that says how many octets of body follow, then the body.

Bodies are made of the request's identity, so that each end can tell whether it got the whole of the right one.
"""

import json
import zlib

LINE_END = b"\n"


def body_of(request_id, size):
    """The body of this length that belongs to a request."""
    pattern = request_id.encode() + b";"
    return (pattern * (size // len(pattern) + 1))[:size]


def digest(body):
    return zlib.crc32(body)


def encode(head, body):
    return json.dumps(dict(head, octets=len(body))).encode() + LINE_END + body


def take(receiver):
    """The next whole message of a stream as head and body; None while some of it is missing."""
    line_end = receiver.stream.find(LINE_END)
    if line_end < 0:
        return None
    head = json.loads(receiver.stream[:line_end])
    if len(receiver.stream) < line_end + 1 + head["octets"]:
        return None
    receiver.take(line_end + 1)
    return head, receiver.take(head["octets"])
