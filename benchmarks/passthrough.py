"""The floor: a pass-through on the node's loop and parser that decides nothing.

    python -m benchmarks.passthrough HOST:PORT [HOST:PORT ...]

Takes servers in turn, one request at a time on a connection, whole messages.
"""

from __future__ import annotations

import asyncio
import sys
from itertools import cycle
from typing import cast

import httptools
import uvloop


class Client(asyncio.Protocol):
    """A client's connection; its requests' heads are written anew, as the node does."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.transport: asyncio.Transport
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.lines: list[bytes] = []
        self.body: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.url, self.lines, self.body = b"", [], []

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.lines.append(b"%s: %s\r\n" % (name, value))

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        head = b"%s %s HTTP/1.1\r\n%s\r\n" % (
            self.parser.get_method(), self.url, b"".join(self.lines),
        )  # fmt: skip
        self.relay.send(self, head + b"".join(self.body))


class Server(asyncio.Protocol):
    """A server's connection, kept for the next request."""

    def __init__(self, relay: Relay, key: tuple[str, int]) -> None:
        self.relay = relay
        self.key = key
        self.client: Client | None = None
        self.transport: asyncio.Transport
        self.parser = httptools.HttpResponseParser(self)
        self.body: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        client, self.client = self.client, None
        body, self.body = b"".join(self.body), []
        self.relay.idle[self.key].append(self)
        if client is not None:
            status = self.parser.get_status_code()
            client.transport.write(
                b"HTTP/1.1 %d -\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)
            )


class Relay:
    def __init__(self, servers: list[tuple[str, int]]) -> None:
        self.idle: dict[tuple[str, int], list[Server]] = {key: [] for key in servers}
        self.turn = cycle(servers)
        self.tasks: set[asyncio.Task[None]] = set()

    def send(self, client: Client, data: bytes) -> None:
        key = next(self.turn)
        if self.idle[key]:
            self._write(self.idle[key].pop(), client, data)
            return
        task = asyncio.get_running_loop().create_task(self._dial(key, client, data))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _dial(self, key: tuple[str, int], client: Client, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        _, server = await loop.create_connection(lambda: Server(self, key), *key)
        self._write(server, client, data)

    def _write(self, server: Server, client: Client, data: bytes) -> None:
        server.client = client
        server.transport.write(data)


async def run(servers: list[tuple[str, int]]) -> None:
    relay = Relay(servers)
    listener = await asyncio.get_running_loop().create_server(lambda: Client(relay), "127.0.0.1", 0)
    print(f"listening on 127.0.0.1:{listener.sockets[0].getsockname()[1]}", flush=True)
    await listener.serve_forever()


def main() -> None:
    pairs = (word.rpartition(":") for word in sys.argv[1:])
    uvloop.run(run([(host, int(port)) for host, _, port in pairs]))


if __name__ == "__main__":
    main()
