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

CHUNK_BYTES = 16384
# A small window: what a slow reader does not take waits at the sender, not here.
TARGET_WINDOW_BYTES = 4096


class Relay:
    """Passes the bytes of each connection on, both ways."""

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._cut_next_after: int | None = None
        self._rate = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay one connection until either side ends it."""
        cut_after, self._cut_next_after = self._cut_next_after, None
        try:
            from_target, to_target = await asyncio.open_connection(
                *self._target, limit=TARGET_WINDOW_BYTES
            )
        except OSError:
            writer.close()
            return
        writers = {writer, to_target}
        self._writers |= writers
        tasks = [
            asyncio.create_task(self._pass_to_target(reader, to_target)),
            asyncio.create_task(self._pass_to_client(from_target, writer, cut_after)),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self._writers -= writers
            for either in writers:
                either.transport.abort()

    async def _pass_to_target(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            writer.write(data)
            await writer.drain()

    async def _pass_to_client(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, cut_after: int | None
    ) -> None:
        remaining = cut_after
        if remaining == 0:
            return
        while data := await reader.read(self._rate or CHUNK_BYTES):
            if remaining is not None:
                data = data[:remaining]
                remaining -= len(data)
            writer.write(data)
            await writer.drain()
            if remaining == 0:
                return
            if self._rate:
                await asyncio.sleep(len(data) / self._rate)

    def apply(self, command: dict[str, int]) -> None:
        """Carry out one command."""
        self._cut_next_after = command.get("cut", self._cut_next_after)
        self._rate = command.get("rate", self._rate)
        if command.get("drop"):
            for writer in self._writers:
                writer.transport.abort()


async def main() -> None:
    """Relay connections and carry out commands until standard input ends."""
    relay = Relay(split_address(sys.argv[1]))
    server = await asyncio.start_server(relay.serve, "127.0.0.1", 0)
    print(f"listening on 127.0.0.1:{server.sockets[0].getsockname()[1]}", flush=True)
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        relay.apply(json.loads(line))
        print("{}", flush=True)


if __name__ == "__main__":
    asyncio.run(main())
