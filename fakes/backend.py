"""A topup server: one core, a short queue, an account of what it ran.

    python -m fakes.backend --listen 127.0.0.1:0 --work-ms 5 --queue 16 --seed 1

`POST /standin/faults` takes any of {"slow": factor, "error": part, "reset": part,
"refuse": part, "silent": part}; `GET /standin/state` tells what came and what ran.
"""

from __future__ import annotations

import argparse
import asyncio
import json
from collections import Counter
from random import Random

from fakes.web import Asked, Reply, serve, split_address

FAULTS = ("error", "reset", "refuse", "silent")


class Backend:
    """Work is drawn around the mean (half to one and a half of it) and done one at a time."""

    def __init__(self, work: float, queue: int, seed: int) -> None:
        self.work = work
        self.queue = queue
        self.random = Random(seed)
        self.core = asyncio.Lock()
        self.held = 0
        self.slow = 1.0
        self.parts = dict.fromkeys(FAULTS, 0.0)
        self.counts: Counter[str] = Counter()
        self.ran: Counter[str] = Counter()  # effects by request id

    async def handle(self, asked: Asked) -> Reply:
        if asked.path == "/standin/state":
            return Reply(200, json.dumps(self.state()).encode())
        if asked.path == "/standin/faults" and asked.method == "POST":
            faults = json.loads(asked.body)
            self.slow = float(faults.get("slow", 1.0))
            self.parts = {name: float(faults.get(name, 0.0)) for name in FAULTS}
            return Reply()
        if asked.path == "/health/live":
            return Reply()
        return await self._request(asked)

    def state(self) -> dict[str, object]:
        posts = [n for n in self.ran.values() if n > 1]
        counts: dict[str, object] = dict(self.counts)
        return counts | {"effects_doubled": len(posts), "held": self.held}

    def _drawn(self, fault: str) -> bool:
        return self.random.random() < self.parts[fault]

    async def _request(self, asked: Asked) -> Reply:
        rid = asked.headers.get("x-request-id", "")
        if not rid:
            return Reply(404)
        self.counts["received"] += 1
        if self.held >= self.queue or self._drawn("refuse"):
            self.counts["refused"] += 1
            return Reply(503, headers={"X-Not-Processed": "1"})
        if self._drawn("silent"):
            self.counts["silent"] += 1
            return Reply(silent=True)
        if self._drawn("error"):
            self.counts["errors"] += 1
            return Reply(500)
        self.held += 1
        self.counts["most_held"] = max(self.counts["most_held"], self.held)
        try:
            async with self.core:
                await asyncio.sleep(self.work * self.slow * (0.5 + self.random.random()))
        finally:
            self.held -= 1
        self.counts["ran"] += 1
        if asked.method == "POST":
            self.ran[rid] += 1
        if self._drawn("reset"):
            self.counts["resets"] += 1
            return Reply(reset=True)
        return Reply(200, f"served {rid}\n".encode(), {"Content-Type": "text/plain"})


async def run(listen: str, work: float, queue: int, seed: int) -> None:
    server = await serve(Backend(work, queue, seed).handle, *split_address(listen))
    await server.serve_forever()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--work-ms", type=float, default=5.0)
    parser.add_argument("--queue", type=int, default=16, help="requests held at most")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    asyncio.run(run(args.listen, args.work_ms / 1000, args.queue, args.seed))


if __name__ == "__main__":
    main()
