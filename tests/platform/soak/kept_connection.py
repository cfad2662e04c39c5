"""Persistent HTTP connections to control processes."""

import asyncio

import http_call


class PersistentConnection:
    """A connection to one control process. The next call reopens it after an error."""

    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None

    async def call(self, method, path, body, timeout=http_call.TIMEOUT):
        """Returns status and Location; None on an error or a timeout."""
        response = None
        try:
            response = await asyncio.wait_for(self._call(method, path, body.encode()), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError,
                IndexError):
            pass
        finally:
            # Also after a cancellation: the next call must not read the rest of this response.
            if response is None:
                self.close()
        return response

    async def _call(self, method, path, raw):
        if self.writer is None:
            host, port = self.address.rsplit(":", 1)
            self.reader, self.writer = await asyncio.open_connection(host, int(port))
        head = (f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(raw)}\r\n\r\n")
        self.writer.write(head.encode() + raw)
        await self.writer.drain()
        lines = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
        await self.reader.readexactly(int(fields.get("content-length", "0")))
        return int(lines[0].split()[1]), fields.get("location")

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None


class ControlClient:
    """Reuses the last connection that succeeded; otherwise tries the nodes in random order."""

    def __init__(self, addresses, random, is_reachable):
        self.addresses = addresses
        self.random = random
        self.is_reachable = is_reachable
        self.connection = None
        # Serializes calls.
        self.lock = asyncio.Lock()

    async def call(self, method, path, body):
        """Returns True when a node acknowledged."""
        async with self.lock:
            return await self._call(method, path, body)

    async def _call(self, method, path, body):
        if self.connection is not None and await self._is_acknowledged(self.connection, method, path, body):
            return True
        self.close()
        addresses = self.addresses()
        for address in self.random.sample(addresses, len(addresses)):
            if await self._call_with_redirects(address, method, path, body):
                return True
        return False

    async def _call_with_redirects(self, address, method, path, body):
        """Calls one node and follows its redirects."""
        for _ in range(http_call.MAX_REDIRECTS + 1):
            self.connection = PersistentConnection(address)
            response = await self._request(self.connection, method, path, body)
            if response is not None and 200 <= response[0] < 300:
                return True
            self.close()
            if response is None or response[0] != 307 or not response[1]:
                return False
            address, _, rest = response[1].removeprefix("http://").partition("/")
            path = "/" + rest
        return False

    async def _is_acknowledged(self, connection, method, path, body):
        response = await self._request(connection, method, path, body)
        return response is not None and 200 <= response[0] < 300

    async def _request(self, connection, method, path, body):
        if not self.is_reachable(connection.address):
            await asyncio.sleep(http_call.TIMEOUT)
            return None
        return await connection.call(method, path, body)

    def close(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None
