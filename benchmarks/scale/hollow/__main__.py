"""A process of hollow nodes, by orders on standard input.

    python -m benchmarks.scale.hollow < ORDERS

Orders and reports are JSON, one a line. The first line is the plan (`plan.HostPlan`), each further
one an order: `up` or `down` with the names of nodes, `settle`, or `status`. Each is answered with
a report (`HostStatus`). The process ends with its standard input.
"""

from __future__ import annotations

import asyncio
import gc
import json
import sys
from dataclasses import asdict
from typing import Any

import uvloop

from benchmarks.scale.hollow.host import HollowHost
from benchmarks.scale.hollow.plan import HostPlan, NodePlace
from benchmarks.scale.host_status import HostStatus

MAX_LINE_BYTES = 64 << 20
GC_THRESHOLDS = (100_000, 50, 100)  # rarer than usual: many objects stay


def carry_out(host: HollowHost, order: dict[str, Any]) -> HostStatus:
    """Carry out one order and return the report after it."""
    match order["order"]:
        case "up":
            host.start_nodes(order["nodes"])
        case "down":
            host.stop_nodes(order["nodes"])
        case "settle":
            host.reset_maxima()
            gc.collect()
            gc.freeze()
    return host.status()


def report(status: HostStatus) -> None:
    """Print a report as one line."""
    print(json.dumps(asdict(status)), flush=True)


async def serve() -> None:
    """Carry orders out until standard input ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    first = json.loads(await reader.readline())
    places = {name: NodePlace(region, zone, n) for name, region, zone, n in first["nodes"]}
    host = HollowHost(HostPlan.from_json(first), places)
    gc.set_threshold(*GC_THRESHOLDS)
    tasks = [loop.create_task(watch) for watch in host.watches()]
    report(host.status())
    while line := await reader.readline():
        report(carry_out(host, json.loads(line)))
    for task in tasks:
        task.cancel()
    host.flush()


if __name__ == "__main__":
    uvloop.run(serve())
