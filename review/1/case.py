"""Some answers are followed by a second one, some milliseconds late."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import rig  # noqa: E402

ZONES = ("dublin",) * 3 + ("cork",) * 5  # of the backends; the node is in dublin
CLIENTS = 23
PLAYED_S = 45.0
# The brief: 2.8 to 5.2 ms between the data centres, one way. Timers end up to a millisecond late.
ONE_WAY_S = 0.003
LONGEST_WAY_S = 0.0052
LATE_S = 0.003  # a second answer, after the first
SHARE = 0.05  # of the answers that bring a second one
WORK_S = 0.08
BALANCE_SHARE = 0.65  # of the requests; the others are `credit`


class RepeatingBackend(rig.Backend):
    """A sound backend, some of whose answers are followed by a second copy.

    The copy is sent LATE_S after the answer, and only if no byte of a further request has come on
    the connection by then: nothing else waits on it.
    """

    def __init__(self, record: rig.Record, name: str, seed: int) -> None:
        super().__init__(record, name, WORK_S, slots=1, queue=3)
        self.random = random.Random(seed)
        self.copies = 0
        self.tasks: set[asyncio.Task] = set()
        self.handler = self.serve_twice if rig.trouble() else None

    async def serve_twice(self, request: rig.Request, writer: asyncio.StreamWriter) -> bool:
        goes_on = await self.serve(request, writer)
        if request.target.startswith("/balance") and self.random.random() < SHARE:
            task = asyncio.create_task(self.repeat(request, writer, self.received[writer]))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return goes_on

    async def repeat(
        self, request: rig.Request, writer: asyncio.StreamWriter, received: int
    ) -> None:
        await asyncio.sleep(LATE_S)
        if self.nothing_waits(writer, received):
            self.copies += 1
            self.record.write(f"{self.name} sends a second answer to {request.id}")
            writer.write(rig.answer(self.body(request)))


class Clients:
    """Clients that send one request at a time and check what they get."""

    def __init__(self, record: rig.Record, port: int) -> None:
        self.record, self.port = record, port
        self.served = self.other = self.foreign = 0

    async def play(self, number: int) -> None:
        pauses = random.Random(number)
        until = self.record.now() + PLAYED_S
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        count = 0
        while self.record.now() < until:
            count += 1
            name = f"c{number}-{count}"
            self.record.write(f"client sends {name}")
            if pauses.random() < BALANCE_SHARE:
                writer.write(rig.request_bytes("balance", name, 2000))
            else:
                writer.write(rig.request_bytes("credit", name, 3000, "POST", b"amount=10"))
            reply = await rig.read_reply(reader)
            self.check(name, reply)
            if reply.closes:
                writer.close()
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            await asyncio.sleep(pauses.random() * 0.2)
        writer.close()

    def check(self, name: str, reply: rig.Reply) -> None:
        """Count an answer; a 200 has to bring what a backend made for this request."""
        made_for = reply.body.decode().partition(" ")[0]
        if reply.status != 200 or not reply.whole:
            self.other += 1
            self.record.write(f"{name} is answered {reply.status}")
        elif made_for == name:
            self.served += 1
            self.record.write(f"{name} is served")
        else:
            self.foreign += 1
            self.record.write(f"{name} is served with the answer to {made_for}: BROKEN")


async def main(record: rig.Record, folder: Path) -> int:
    discovery = rig.Discovery(record)
    await discovery.start()
    backends, paths, rows = [], [], []
    for number, zone in enumerate(ZONES):
        backend = RepeatingBackend(record, f"s-{number}", number)
        await backend.start()
        address = backend.address
        if zone == "cork":
            path = rig.Relay(address, ONE_WAY_S)
            await path.start()
            paths.append(path)
            address = path.address
        backends.append(backend)
        rows.append(discovery.row(backend.name, address, az=zone))
    await discovery.put(*rows)
    given = rig.settings([rig.balance_class(), rig.credit_class()])
    node = rig.Node(
        record, "n1", rig.config("n1", discovery.address, discovery.full(), given), folder
    )
    try:
        await node.start()
        await node.ready()
        clients = Clients(record, node.port)
        await asyncio.gather(*(clients.play(number) for number in range(CLIENTS)))
    finally:
        await node.kill()
    copies = sum(backend.copies for backend in backends)
    delays = sorted(delay for path in paths for delay in path.delays)
    if delays:
        over = sum(delay > LONGEST_WAY_S for delay in delays)
        middle = delays[len(delays) // 2]
        record.say(
            f"{len(delays)} pieces between the zones, {over} of them later than 5.2 ms, "
            f"half within {middle * 1e3:.1f} ms"
        )
    record.say(
        f"{clients.served} served, {clients.other} refused or failed, {copies} second answers, "
        f"{clients.foreign} served with another request's answer"
    )
    if not clients.served:
        return rig.NOT_RUN
    return rig.BROKEN if clients.foreign else rig.HELD


rig.run(HERE, main)
