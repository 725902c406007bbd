"""Eight bad clients send trailer sections that do not end; does the node stay within its memory?

The platform's side: a node over `memory_mb` is killed. With TROUBLE=0 the bad clients stay away.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
import stand

MEMORY_MB = 192  # the most that the pages give a node on a day that is scored
BAD_CLIENTS = 8
CLIENTS = 4
WORK_S = 0.05
QUIET_S = 2.0  # before the bad clients come
DURATION_S = 25.0  # from then on
ANSWER_WITHIN_S = 2.0 + 0.5  # the deadline of `balance`, and half a second


class Clients:
    """The usual clients: each asks, waits for the answer and asks again."""

    def __init__(self, record: stand.Record, address: str) -> None:
        self.answered = 0
        self.unanswered = 0
        self._record = record
        self._address = address

    async def run(self, number: int) -> None:
        """Ask until the node is gone."""
        count = 0
        with contextlib.suppress(OSError):
            while True:
                reader, writer = await stand.connect(self._address)
                while not writer.is_closing():
                    count += 1
                    await self._ask(f"{number:04x}{count:012x}", reader, writer)
                    await asyncio.sleep(0.1)

    async def _ask(
        self, request_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(stand.request_bytes("balance", request_id, 2000))
        got = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_WITHIN_S):
                got = await stand.read_answer(reader)
        if got is not None:
            self.answered += 1
            return
        self.unanswered += 1
        self._record.line(f"a usual client: no answer in time, id={request_id}")
        writer.close()


async def bad_client(record: stand.Record, address: str, name: str) -> None:
    """Run one bad client as a process, and record what it printed."""
    script = str(Path(__file__).with_name("bad_client.py"))
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-B", script, address, name, stdout=asyncio.subprocess.PIPE
    )
    try:
        output, _ = await process.communicate()
        record.line(output.decode().strip())
    finally:
        if process.returncode is None:
            process.kill()


async def case(record: stand.Record, folder: Path) -> int:
    """Usual clients go on asking while the bad ones send."""

    async def handle(request: stand.Request, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(WORK_S)
        writer.write(stand.answer(200, request.id.encode()))

    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    async with stand.world(record, folder, handle, limits=limits) as world:
        platform = stand.Platform(record, world.node, MEMORY_MB)
        clients = Clients(record, world.node.listen)
        watch = asyncio.create_task(platform.watch())
        asking = [asyncio.create_task(clients.run(number)) for number in range(CLIENTS)]
        await asyncio.sleep(QUIET_S)
        names = [f"bad{number}" for number in range(BAD_CLIENTS if stand.TROUBLE else 0)]
        record.line(f"bad clients: {len(names)}")
        sending = [
            asyncio.create_task(bad_client(record, world.node.listen, name)) for name in names
        ]
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(watch, DURATION_S)
        await asyncio.gather(*sending)
        for task in asking:
            task.cancel()
    record.line(f"most memory: {platform.most_mb:.0f} MB of {MEMORY_MB}")
    record.line(f"usual requests: {clients.answered} answered, {clients.unanswered} not in time")
    return stand.BROKEN if platform.has_killed else stand.HELD


stand.main(case, __file__)
