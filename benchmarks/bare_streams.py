"""The floor of benchmarks.control: bare grpcio streams that decide nothing.

    python -m benchmarks.bare_streams

It accepts every discovery stream. A line on standard input names a file with the bytes of one
response without its nonce, which is written to every stream with a nonce added. The answer to each
line, an empty one too, is a JSON object with the number of streams.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import grpc
from envoy.service.discovery.v3 import discovery_pb2

SERVICE = "envoy.service.discovery.v3.AggregatedDiscoveryService"


class Streams:
    """All open streams."""

    def __init__(self) -> None:
        self._contexts: set[Any] = set()
        self._sent = 0  # responses, each to all streams

    def __len__(self) -> int:
        return len(self._contexts)

    async def serve(self, requests: AsyncIterator[Any], context: Any) -> None:
        """One stream, until its client ends it."""
        self._contexts.add(context)
        try:
            async for _ in requests:
                pass
        finally:
            self._contexts.discard(context)

    async def send(self, response: bytes) -> None:
        """Write a response to every stream, with the next nonce."""
        self._sent += 1
        nonce = discovery_pb2.DiscoveryResponse(nonce=str(self._sent)).SerializeToString()
        await asyncio.gather(*(context.write(response + nonce) for context in self._contexts))


async def main() -> None:
    """Serve until standard input ends."""
    streams = Streams()
    server = grpc.aio.server(options=[("grpc.so_reuseport", 0)])
    codec = (discovery_pb2.DiscoveryRequest.FromString, None)
    method = grpc.stream_stream_rpc_method_handler(streams.serve, *codec)
    methods = {"StreamAggregatedResources": method}
    server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(SERVICE, methods),))
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    print(f"listening on 127.0.0.1:{port}", flush=True)
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        if line.strip():
            await streams.send(Path(line.decode().strip()).read_bytes())
        print(json.dumps({"streams": len(streams)}), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
