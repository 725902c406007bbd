"""A topup server: one core, a short queue, a record of what it ran.

    python -m fakes.backend --listen 127.0.0.1:0 --work-ms 5 --queue 16 --seed 1

`POST /standin/faults` takes {"slow": factor} and, as parts of all requests, {"error", "reset",
"refuse", "silent"}; `GET /standin/state` gives its counters.
"""

from __future__ import annotations

import argparse
import asyncio
import json
from collections import Counter
from random import Random

from fakes.web import Asked, Reply, serve, split_address

FAULTS = ("error", "reset", "refuse", "silent")
MIN_WORK_PART = 0.5  # work is drawn between this and one more, times its mean


class Backend:
    """Runs one request at a time, each for a random time around the mean."""

    def __init__(self, work_s: float, queue: int, seed: int) -> None:
        self._work_s = work_s
        self._queue = queue
        self._random = Random(seed)
        self._core = asyncio.Lock()
        self._in_flight = 0
        self._slow_factor = 1.0
        self._fault_parts = dict.fromkeys(FAULTS, 0.0)
        self._counters: Counter[str] = Counter()
        self._effects: Counter[str] = Counter()  # by request id

    async def handle(self, asked: Asked) -> Reply:
        """Answer one request."""
        if asked.path == "/standin/state":
            return Reply(200, json.dumps(self._state()).encode())
        if asked.path == "/standin/faults" and asked.method == "POST":
            self._set_faults(json.loads(asked.body))
            return Reply()
        if asked.path == "/health/live":
            return Reply()
        return await self._serve(asked)

    def _set_faults(self, faults: dict[str, float]) -> None:
        self._slow_factor = float(faults.get("slow", 1.0))
        self._fault_parts = {name: float(faults.get(name, 0.0)) for name in FAULTS}

    def _state(self) -> dict[str, object]:
        doubled = sum(count > 1 for count in self._effects.values())
        counters: dict[str, object] = dict(self._counters)
        return counters | {"effects_doubled": doubled, "held": self._in_flight}

    def _draw(self, fault: str) -> bool:
        """Whether this request is to have this fault."""
        return self._random.random() < self._fault_parts[fault]

    async def _serve(self, asked: Asked) -> Reply:
        request_id = asked.headers.get("x-request-id", "")
        if not request_id:
            return Reply(404)
        self._counters["received"] += 1
        if self._in_flight >= self._queue or self._draw("refuse"):
            self._counters["refused"] += 1
            return Reply(503, headers={"X-Not-Processed": "1"})
        if self._draw("silent"):
            self._counters["silent"] += 1
            return Reply(silent=True)
        if self._draw("error"):
            self._counters["errors"] += 1
            return Reply(500)
        await self._work()
        self._counters["ran"] += 1
        if asked.method == "POST":
            self._effects[request_id] += 1
        if self._draw("reset"):
            self._counters["resets"] += 1
            return Reply(reset=True)
        return Reply(200, f"served {request_id}\n".encode(), {"Content-Type": "text/plain"})

    async def _work(self) -> None:
        self._in_flight += 1
        self._counters["most_held"] = max(self._counters["most_held"], self._in_flight)
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
    parser.add_argument("--work-ms", type=float, default=5.0)
    parser.add_argument("--queue", type=int, default=16, help="requests in flight at most")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    asyncio.run(run(args.listen, args.work_ms / 1000, args.queue, args.seed))


if __name__ == "__main__":
    main()
