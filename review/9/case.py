"""Clients send twelve commands at once on one connection; does each request get its answer?

With TROUBLE=0 the same clients send the same requests one after the other.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
import stand

CLIENTS = 5
AT_ONCE = 12
WORK_S = 0.03
TIMEOUT_MS = {"balance": 2000, "credit": 3000}
WAIT_S = 5.0  # longer than any deadline and the half second after it


class Client:
    """One client, on one connection."""

    def __init__(self, record: stand.Record, address: str, number: int) -> None:
        self.ids = [f"{number:04x}{count:012x}" for count in range(AT_ONCE)]
        self.answers: dict[str, int] = {}  # statuses by request id
        self._record = record
        self._address = address
        self._number = number

    async def run(self) -> None:
        """Send all requests, and read the answers until the connection ends."""
        reader, writer = await stand.connect(self._address)
        step = AT_ONCE if stand.TROUBLE else 1
        for start in range(0, AT_ONCE, step):
            ids = self.ids[start : start + step]
            writer.write(b"".join(self._bytes(request_id) for request_id in ids))
            await writer.drain()
            self._record.line(f"client {self._number} has sent {len(ids)} requests")
            for request_id in ids:
                answered = await asyncio.wait_for(stand.read_answer(reader), WAIT_S)
                if answered is None:
                    self._record.line(f"client {self._number}: the connection has ended")
                    return
                self.answers[request_id] = answered[0]
                self._record.line(f"client {self._number} gets {answered[0]} for id={request_id}")

    def _bytes(self, request_id: str) -> bytes:
        cls = "credit" if int(request_id, 16) % 3 == 0 else "balance"
        return stand.request_bytes(cls, request_id, TIMEOUT_MS[cls])


async def case(record: stand.Record, folder: Path) -> int:
    """Count the requests that were written on an accepted connection and got no answer."""

    async def handle(request: stand.Request, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(WORK_S)
        writer.write(stand.answer(200, request.id.encode()))

    async with stand.world(record, folder, handle) as world:
        clients = [Client(record, world.node.listen, number) for number in range(CLIENTS)]
        await asyncio.gather(*[client.run() for client in clients])
        still_up = await world.node.is_ready()
    sent = sum(len(client.ids) for client in clients)
    statuses = [status for client in clients for status in client.answers.values()]
    record.line(f"answers by status: { {s: statuses.count(s) for s in sorted(set(statuses))} }")
    record.line(f"requests sent: {sent}, without an answer: {sent - len(statuses)}")
    record.line(f"the node is up and ready all the time: {still_up}")
    return stand.BROKEN if len(statuses) < sent else stand.HELD


stand.main(case, __file__)
