"""Some good answers come with nine 1xx answers ahead; whose answer does a client get?

With TROUBLE=0 the servers send their good answers alone.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
import stand

INTERIM_ANSWERS = 9  # "102 Processing", one each 5 ms from the start of the work
INTERVAL_S = 0.005
ONE_IN = 10  # of the answers has them
WORK_S = 0.15  # the work of a `balance` request is 82 to 150 ms on average
CLIENTS = 8
REQUESTS = 60  # of each client, one after the other
PAUSE_S = 0.05  # of a client between two requests


class Clients:
    """Clients that ask for their own balances; each answer names the request it was made for."""

    def __init__(self, record: stand.Record, address: str) -> None:
        self.foreign: list[str] = []
        self.statuses: Counter[int] = Counter()
        self._record = record
        self._address = address

    async def run(self, number: int) -> None:
        """Send the requests of one client, on one connection as long as it stays open."""
        reader, writer = await stand.connect(self._address)
        for count in range(REQUESTS):
            request_id = f"{number:04x}{count:012x}"
            writer.write(stand.request_bytes("balance", request_id, 2000))
            self._record.line(f"client {number} sends id={request_id}")
            answered = await stand.read_answer(reader)
            if answered is None:
                self._record.line(f"client {number}: the connection has ended, id={request_id}")
                reader, writer = await stand.connect(self._address)
                continue
            status, body, _ = answered
            self.statuses[status] += 1
            self._record.line(f"client {number} gets {status} {body!r} for id={request_id}")
            if status == 200 and body != b"balance of " + request_id.encode():
                self.foreign.append(request_id)
            await asyncio.sleep(PAUSE_S)


async def case(record: stand.Record, folder: Path) -> int:
    """Compare each 200 with the request that it answers."""

    worked = 0
    with_interim = 0

    async def handle(request: stand.Request, writer: asyncio.StreamWriter) -> None:
        nonlocal worked, with_interim
        worked += 1
        ahead = INTERIM_ANSWERS if stand.TROUBLE and worked % ONE_IN == 0 else 0
        with_interim += bool(ahead)
        for _ in range(ahead):
            writer.write(b"HTTP/1.1 102 Processing\r\n\r\n")
            await asyncio.sleep(INTERVAL_S)
        await asyncio.sleep(WORK_S - ahead * INTERVAL_S)
        if not writer.is_closing():
            writer.write(stand.answer(200, b"balance of " + request.id.encode()))
            record.line(f"a server answers id={request.id}")

    async with stand.world(record, folder, handle) as world:
        clients = Clients(record, world.node.listen)
        await asyncio.gather(*[clients.run(number) for number in range(CLIENTS)])
    record.line(f"answers of servers: {worked}, with 1xx answers ahead: {with_interim}")
    record.line(f"answers by status: {dict(sorted(clients.statuses.items()))}")
    record.line(f"served with the answer made for another request: {len(clients.foreign)}")
    return stand.BROKEN if clients.foreign else stand.HELD


stand.main(case, __file__)
