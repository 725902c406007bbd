"""The floor of benchmarks.control: bare grpcio streams that decide nothing.

    python -m benchmarks.bare_streams

Takes every discovery stream. A line on standard input names a file of one answer's
bytes without its nonce: it is written to every stream as it is, nonce added. The answer to
each line, an empty one too, is a JSON object with the number of streams.
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
    def __init__(self) -> None:
        self.contexts: set[Any] = set()
        self.count = 0

    async def serve(self, requests: AsyncIterator[Any], context: Any) -> None:
        self.contexts.add(context)
        try:
            async for _ in requests:
                pass
        finally:
            self.contexts.discard(context)

    async def send(self, body: bytes) -> None:
        self.count += 1
        nonce = discovery_pb2.DiscoveryResponse(nonce=str(self.count)).SerializeToString()
        await asyncio.gather(*(c.write(body + nonce) for c in self.contexts))


async def main() -> None:
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
        print(json.dumps({"streams": len(streams.contexts)}), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
