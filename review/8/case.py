"""A bad client sends the id of another client's open request; is it served with an answer?

The open request is a `credit` whose answer is long, and whose client takes seconds to read it.
With TROUBLE=0 the second client sends an id of its own.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
import stand

ROUNDS = 5
# Answers are up to 32 MB long. So much is more than the system holds on the way from the node to a
# client that does not read, so that the last byte is still with the node or the server.
ANSWER_BYTES = 16 << 20
READ_PAUSE_S = 2.0  # "peers take seconds to read"
OTHER_AFTER_S = 1.0  # into this pause, the other client sends
WORK_S = 0.05


class Round:
    """One open request, and the request of the other client beside it."""

    def __init__(self, record: stand.Record, address: str, number: int) -> None:
        self.id = f"{number:04x}aaaabbbbcccc"
        self.other_id = self.id if stand.TROUBLE else f"{number:04x}ddddeeeeffff"
        self.has_begun = False  # whether the first client has read the head of a 200
        self.is_whole = False  # whether it got its answer in full
        self.was_open = False  # whether the other client sent between the two
        self.other_status = 0  # what the other client got
        self.other_is_served = False  # whether that was a 200 in full
        self._record = record
        self._address = address

    async def run(self) -> None:
        """Both clients, side by side."""
        await asyncio.gather(self._first_client(), self._other_client())

    async def _first_client(self) -> None:
        reader, writer = await stand.connect(self._address, limit=64 << 10)
        writer.write(stand.request_bytes("credit", self.id, 3000))
        self._record.line(f"first client sends id={self.id}")
        head = await stand.read_head(reader)
        if head is None:
            return
        self._record.line(f"first client reads the head of its answer: {head[0]}")
        self.has_begun = head[0].split()[1] == "200"
        await asyncio.sleep(READ_PAUSE_S)
        body = await stand.read_body(reader, head[1])
        self.is_whole = body == answer_to(self.id)
        self._record.line(f"first client has read {len(body)} bytes, its own: {self.is_whole}")
        writer.close()

    async def _other_client(self) -> None:
        await asyncio.sleep(OTHER_AFTER_S)
        reader, writer = await stand.connect(self._address)
        writer.write(stand.request_bytes("credit", self.other_id, 3000))
        self._record.line(f"other client sends id={self.other_id}")
        self.was_open = self.has_begun and not self.is_whole
        answered = await stand.read_answer(reader)
        if answered is not None:
            self.other_status = answered[0]
            self.other_is_served = answered[0] == 200
        self._record.line(f"other client gets {self.other_status or 'the end'}")
        writer.close()


def answer_to(request_id: str) -> bytes:
    """The long answer to one request."""
    return request_id.encode() * (ANSWER_BYTES // len(request_id))


async def case(record: stand.Record, folder: Path) -> int:
    """Count what each id was answered, and how often it ran."""
    runs: Counter[str] = Counter()

    async def handle(request: stand.Request, writer: asyncio.StreamWriter) -> None:
        runs[request.id] += 1
        record.line(f"a server runs id={request.id}, {runs[request.id]} times so far")
        await asyncio.sleep(WORK_S)
        writer.write(stand.answer(200, answer_to(request.id)))

    rounds = []
    async with stand.world(record, folder, handle) as world:
        for number in range(ROUNDS):
            one = Round(record, world.node.listen, number)
            await asyncio.wait_for(one.run(), 15)
            rounds.append(one)
    doubled = [request_id for request_id, count in runs.items() if count > 1]
    record.line(f"other clients' statuses: {[one.other_status for one in rounds]}")
    record.line(f"first clients' answers whole: {[one.is_whole for one in rounds]}")
    record.line(f"ids of `credit` that ran more than once: {len(doubled)} of {ROUNDS}")
    judged = [one for one in rounds if one.was_open and one.is_whole]
    record.line(f"rounds in which the first request was open: {len(judged)} of {ROUNDS}")
    if not judged:
        raise stand.CannotRunError("no request was open when the other client sent")
    served = [one for one in judged if one.other_id == one.id and one.other_is_served]
    record.line(f"bad clients served with an answer: {len(served)} of {len(judged)}")
    return stand.BROKEN if served else stand.HELD


stand.main(case, __file__)
