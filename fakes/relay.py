"""A TCP relay that cuts, slows or stalls what passes, driven by lines.

    python -m fakes.relay TARGET

Each line on standard input is a JSON object; the answer is `{}`:

    {"cut": 1234}    the next connection is cut after so many bytes from the target
    {"rate": 1}      bytes a second from the target, 0 for no limit, for all connections
    {"drop": true}   cut all connections now
"""

from __future__ import annotations

import asyncio
import json
import sys

from fakes.web import split_address

CHUNK = 16384


class Relay:
    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.cut: int | None = None
        self.rate = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        left, self.cut = self.cut, None
        try:
            # A small window: a slow reader's bytes wait at the sender, not here.
            back, out = await asyncio.open_connection(*self.target, limit=4096)
        except OSError:
            writer.close()
            return
        both = {writer, out}
        self.writers |= both
        tasks = [
            asyncio.create_task(self._up(reader, out)),
            asyncio.create_task(self._down(back, writer, left)),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.writers -= both
            for w in both:
                w.transport.abort()

    async def _up(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(CHUNK):
            writer.write(data)
            await writer.drain()

    async def _down(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, left: int | None
    ) -> None:
        if left == 0:
            return
        while data := await reader.read(self.rate or CHUNK):
            if left is not None:
                data = data[:left]
                left -= len(data)
            writer.write(data)
            await writer.drain()
            if left == 0:
                return
            if self.rate:
                await asyncio.sleep(len(data) / self.rate)

    def obey(self, order: dict[str, int]) -> None:
        self.cut = order.get("cut", self.cut)
        self.rate = order.get("rate", self.rate)
        if order.get("drop"):
            for w in self.writers:
                w.transport.abort()


async def main() -> None:
    relay = Relay(split_address(sys.argv[1]))
    server = await asyncio.start_server(relay.serve, "127.0.0.1", 0)
    print(f"listening on 127.0.0.1:{server.sockets[0].getsockname()[1]}", flush=True)
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        relay.obey(json.loads(line))
        print("{}", flush=True)


if __name__ == "__main__":
    asyncio.run(main())
