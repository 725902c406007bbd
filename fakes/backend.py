"""A fake topup server: one core, a short queue, a record of the requests that it ran.

    python -m fakes.backend --listen 127.0.0.1:0 --work-ms 5 --queue 16 --seed 1

`POST /standin/faults` takes {"slow": factor} and, each as the part of requests that meet it from 0
to 1, {"error", "reset", "refuse", "silent"}; `GET /standin/state` gives the counters by their names
in `Counted`.
"""

from __future__ import annotations

import argparse
import asyncio
import json
from collections import Counter
from enum import StrEnum
from random import Random

from fakes.web import Reply, Request, serve, split_address

FAULTS = ("error", "reset", "refuse", "silent")
MIN_WORK_PART = 0.5  # work is drawn between this and one more, times its mean


class Counted(StrEnum):
    """What is counted, by its name in the answer to GET /standin/state."""

    RECEIVED = "received"
    REJECTED = "refused"
    UNRESPONSIVE = "silent"
    ERRORS = "errors"
    RAN = "ran"
    RESETS = "resets"
    MAX_IN_FLIGHT = "most_held"
    IN_FLIGHT = "held"
    DOUBLED_EFFECTS = "effects_doubled"  # request ids that were executed more than once


class Backend:
    """Runs one request at a time, each for a random time around the mean.

    Args:
        work_s: the mean, in seconds.
        queue: requests in flight at most; what comes beyond is rejected as not processed.
        seed: of the times and of the faults.
    """

    def __init__(self, work_s: float, queue: int, seed: int) -> None:
        self._work_s = work_s
        self._queue = queue
        self._random = Random(seed)
        self._core = asyncio.Lock()
        self._in_flight = 0
        self._slow_factor = 1.0
        self._fault_parts = dict.fromkeys(FAULTS, 0.0)
        self._counters: Counter[str] = Counter()
        self._effects: Counter[str] = Counter()  # executions by request id

    async def handle(self, request: Request) -> Reply:
        """Answer one request."""
        if request.path == "/standin/state":
            return Reply(200, json.dumps(self._state()).encode())
        if request.path == "/standin/faults" and request.method == "POST":
            self._set_faults(json.loads(request.body))
            return Reply()
        if request.path == "/health/live":
            return Reply()
        return await self._serve(request)

    def _set_faults(self, faults: dict[str, float]) -> None:
        self._slow_factor = float(faults.get("slow", 1.0))
        self._fault_parts = {name: float(faults.get(name, 0.0)) for name in FAULTS}

    def _state(self) -> dict[str, object]:
        doubled = sum(count > 1 for count in self._effects.values())
        counters: dict[str, object] = dict(self._counters)
        return counters | {Counted.DOUBLED_EFFECTS: doubled, Counted.IN_FLIGHT: self._in_flight}

    def _draw(self, fault: str) -> bool:
        """Whether this request meets the fault."""
        return self._random.random() < self._fault_parts[fault]

    async def _serve(self, request: Request) -> Reply:
        request_id = request.headers.get("x-request-id", "")
        if not request_id:
            return Reply(404)
        self._counters[Counted.RECEIVED] += 1
        if self._in_flight >= self._queue or self._draw("refuse"):
            self._counters[Counted.REJECTED] += 1
            return Reply(503, headers={"X-Not-Processed": "1"})
        if self._draw("silent"):
            self._counters[Counted.UNRESPONSIVE] += 1
            return Reply(silent=True)
        if self._draw("error"):
            self._counters[Counted.ERRORS] += 1
            return Reply(500)
        await self._work()
        self._counters[Counted.RAN] += 1
        if request.method == "POST":
            self._effects[request_id] += 1
        if self._draw("reset"):
            self._counters[Counted.RESETS] += 1
            return Reply(reset=True)
        return Reply(200, f"served {request_id}\n".encode(), {"Content-Type": "text/plain"})

    async def _work(self) -> None:
        self._in_flight += 1
        peak = max(self._counters[Counted.MAX_IN_FLIGHT], self._in_flight)
        self._counters[Counted.MAX_IN_FLIGHT] = peak
        try:
            async with self._core:
                part = MIN_WORK_PART + self._random.random()
                await asyncio.sleep(self._work_s * self._slow_factor * part)
        finally:
            self._in_flight -= 1


async def run(listen: str, work_s: float, queue: int, seed: int) -> None:
    """Serve until the process ends."""
    server = await serve(Backend(work_s, queue, seed).handle, *split_address(listen))
    await server.serve_forever()


def main() -> None:
    """Read the arguments and serve."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--work-ms", type=float, default=5.0, help="mean of a request")
    parser.add_argument("--queue", type=int, default=16, help="requests in flight at most")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    asyncio.run(run(args.listen, args.work_ms / 1000, args.queue, args.seed))


if __name__ == "__main__":
    main()
