"""HTTP requests to control processes, as targets and operators of the platform send them."""

import asyncio

TIMEOUT = 1.0
MAX_REDIRECTS = 2


async def once(address, method, path, body="", timeout=TIMEOUT, answer_is_lost=False):
    """Returns status, Location and body; None on an error, a timeout or a malformed response."""
    try:
        return await asyncio.wait_for(_call(address, method, path, body, answer_is_lost), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return None


async def _call(address, method, path, body, answer_is_lost):
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        raw = body.encode()
        head = (f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(raw)}\r\nConnection: close\r\n\r\n")
        writer.write(head.encode() + raw)
        await writer.drain()
        response = await reader.read()
        if answer_is_lost:
            return None
        head, _, rest = response.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
        return int(lines[0].split()[1]), fields.get("location"), rest.decode()
    finally:
        writer.close()


async def following(address, method, path, body="", timeout=TIMEOUT, answer_is_lost=False):
    """Like `once`, but follows redirects with status 307."""
    for _ in range(MAX_REDIRECTS + 1):
        response = await once(address, method, path, body, timeout, answer_is_lost)
        if response is None or response[0] != 307 or not response[1]:
            return response
        address, _, rest = response[1].removeprefix("http://").partition("/")
        path = "/" + rest
    return None
