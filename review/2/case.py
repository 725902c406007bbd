"""Discovery's answers have no length: they end with their connection. Then a backend drains."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import rig  # noqa: E402

BACKENDS = 4
CLIENTS = 4
QUIET_S = 3.0  # before the drain
WATCHED_S = 14.0  # after it
# The latest time of the pages at which the drain counts as told, and the grace after it.
TOLD_S = 6.0
GRACE_S = 2.05


async def client(record: rig.Record, port: int, number: int, until: float) -> None:
    """Send one request at a time until then."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    count = 0
    while record.now() < until:
        count += 1
        name = f"c{number}-{count}"
        record.write(f"client sends {name}")
        writer.write(rig.request_bytes("balance", name, 2000))
        reply = await rig.read_reply(reader)
        record.write(f"{name} is answered {reply.status}")
        if reply.closes:
            writer.close()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.sleep(0.02)
    writer.close()


async def main(record: rig.Record, folder: Path) -> int:
    discovery = rig.Discovery(record)
    discovery.no_length = rig.trouble()
    await discovery.start()
    backends = [rig.Backend(record, f"s-{number}") for number in range(BACKENDS)]
    for backend in backends:
        await backend.start()
    await discovery.put(*(discovery.row(b.name, b.address) for b in backends))
    given = rig.settings([rig.balance_class(), rig.credit_class()])
    node = rig.Node(
        record, "n1", rig.config("n1", discovery.address, discovery.full(), given), folder
    )
    leaving = backends[0]
    try:
        await node.start()
        await node.ready()
        until = record.now() + QUIET_S + WATCHED_S
        clients = [
            asyncio.create_task(client(record, node.port, number, until))
            for number in range(CLIENTS)
        ]
        await asyncio.sleep(QUIET_S)
        await discovery.put(discovery.row(leaving.name, leaving.address, "leaving"))
        drained_at = record.now()
        await asyncio.gather(*clients)
    finally:
        await node.kill()
    before = sum(at <= drained_at for at, _ in leaving.ran)
    allowed_until = drained_at + TOLD_S + GRACE_S
    late = [(at, name) for at, name in leaving.ran if at > allowed_until]
    for at, name in late:
        record.write(f"{leaving.name} was sent {name} {at - drained_at:.2f} s after: BROKEN")
    record.say(
        f"{before} requests to {leaving.name} before its drain, {len(late)} later than "
        f"{TOLD_S + GRACE_S:g} s after it; discovery was called {discovery.calls} times"
    )
    if not before:
        return rig.NOT_RUN
    return rig.BROKEN if late else rig.HELD


rig.run(HERE, main)
