"""The floor: a pass-through on the node's event loop and parser that decides nothing.

    python -m benchmarks.passthrough HOST:PORT [HOST:PORT ...]

It takes servers in turn, has one request at a time on a connection, and buffers each message
completely. The first line on standard output names its address.
"""

from __future__ import annotations

import asyncio
import sys
from itertools import cycle
from typing import cast

import httptools
import uvloop

Address = tuple[str, int]


class ClientConnection(asyncio.Protocol):
    """A client's connection; the heads of its requests are written anew, as the node does."""

    def __init__(self, relay: Relay) -> None:
        self.transport: asyncio.Transport
        self._relay = relay
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._header_lines: list[bytes] = []
        self._body: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection, as the event loop calls it."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived, as the event loop calls it."""
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Begin a request; the parser calls this and the methods below."""
        self._url, self._header_lines, self._body = b"", [], []

    def on_url(self, url: bytes) -> None:
        """Take a part of the request's target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._header_lines.append(b"%s: %s\r\n" % (name, value))

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Forward the request."""
        method, headers = self._parser.get_method(), b"".join(self._header_lines)
        head = b"%s %s HTTP/1.1\r\n%s\r\n" % (method, self._url, headers)
        self._relay.forward(self, head + b"".join(self._body))


class ServerConnection(asyncio.Protocol):
    """A connection to a server, idle between requests."""

    def __init__(self, relay: Relay, address: Address) -> None:
        self.client: ClientConnection | None = None  # whose request is in flight
        self.transport: asyncio.Transport
        self._relay = relay
        self._address = address
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection, as the event loop calls it."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived, as the event loop calls it."""
        self._parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body, as the parser calls it."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Pass the response on, as the parser calls it."""
        client, self.client = self.client, None
        body, self._body = b"".join(self._body), []
        self._relay.idle[self._address].append(self)
        if client is not None:
            status = self._parser.get_status_code()
            head = b"HTTP/1.1 %d -\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
            client.transport.write(head + body)


class Relay:
    """Connections to the servers, each of which has one request in flight or is idle."""

    def __init__(self, servers: list[Address]) -> None:
        self.idle: dict[Address, list[ServerConnection]] = {address: [] for address in servers}
        self._next_server = cycle(servers)
        self._tasks: set[asyncio.Task[None]] = set()

    def forward(self, client: ClientConnection, request: bytes) -> None:
        """Send a request to the next server, on a new connection if none is idle."""
        address = next(self._next_server)
        if self.idle[address]:
            _send(self.idle[address].pop(), client, request)
            return
        task = asyncio.get_running_loop().create_task(self._connect(address, client, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, address: Address, client: ClientConnection, request: bytes) -> None:
        loop = asyncio.get_running_loop()
        _, server = await loop.create_connection(lambda: ServerConnection(self, address), *address)
        _send(server, client, request)


def _send(server: ServerConnection, client: ClientConnection, request: bytes) -> None:
    server.client = client
    server.transport.write(request)


async def run(servers: list[Address]) -> None:
    """Serve until the process ends."""
    relay = Relay(servers)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(lambda: ClientConnection(relay), "127.0.0.1", 0)
    print(f"listening on 127.0.0.1:{listener.sockets[0].getsockname()[1]}", flush=True)
    await listener.serve_forever()


def main() -> None:
    """Serve the servers that the arguments name."""
    pairs = (argument.rpartition(":") for argument in sys.argv[1:])
    uvloop.run(run([(host, int(port)) for host, _, port in pairs]))


if __name__ == "__main__":
    main()
