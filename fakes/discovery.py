"""The platform's discovery: a list of instances, watched or fetched.

    python -m fakes.discovery --listen 127.0.0.1:0 --target s-1=127.0.0.1:9001 ...

With `--lines N` it works through calls in turn, N lines a second for all, and turns away with
503 who has waited for `--patience` seconds. `POST /standin/targets` with a JSON array of targets
replaces the list, `POST /standin/faults` takes {"silent": bool, "status": int, "refuse": part,
"down": bool, "slow": factor, "rev": n}: that part of calls is turned away at once; down resets
calls, those in its queue too; slow, it needs so many times as long for a line; and it counts from
that version on, as one that has started anew. `GET /standin/state` gives its books: calls, whole
lists, lines by second. It works on for callers that have given up: it does not look whether a
connection is still there until it has the answer.
"""

from __future__ import annotations

import argparse
import asyncio
import json
from collections import Counter
from random import Random
from typing import Any
from urllib.parse import parse_qs

from fakes.web import Asked, Reply, serve, split_address
from loadbalancer.core.endpoints.revisions import Revisions


def target(uid: str, endpoint: str, zone: str = "east", boot_ms: int = 0) -> dict[str, Any]:
    """One active instance in discovery's form."""
    return {
        "uid": uid, "endpoint": endpoint, "az": zone, "model": "m2", "pod_group": 1,
        "state": "active", "capacity_hint": 1.0, "boot_ms": boot_ms,
    }  # fmt: skip


class Discovery:
    """What has changed since a version that it knows, the whole list to all others."""

    def __init__(
        self, targets: list[dict[str, Any]], lines: int = 0, patience: float = 5.0, seed: int = 1
    ) -> None:
        self.list: Revisions[dict[str, Any]] = Revisions(1)
        self.list.rows = {t["uid"]: t for t in targets}
        self.changed = asyncio.Condition()
        self.silent = False
        self.status = 200
        self.refuse = 0.0
        self.down = False
        self.slow = 1.0
        self._downs = 0  # how often it has gone down
        self.random = Random(seed)
        self.books: Counter[str] = Counter()
        self.by_second: Counter[int] = Counter()
        self._rate, self._patience = lines, patience
        self._free = 0.0  # when it is done with the calls it has

    async def handle(self, asked: Asked) -> Reply:
        if asked.path == "/registry/instances" and asked.method == "GET":
            return await self._list(asked)
        if asked.path == "/standin/targets" and asked.method == "POST":
            self.list.replace({t["uid"]: t for t in json.loads(asked.body)})
            async with self.changed:
                self.changed.notify_all()
            return Reply()
        if asked.path == "/standin/faults" and asked.method == "POST":
            faults = json.loads(asked.body)
            self.silent = bool(faults.get("silent", False))
            self.status = int(faults.get("status", 200))
            self.refuse = float(faults.get("refuse", 0.0))
            self.slow = float(faults.get("slow", 1.0))
            self._go_down(bool(faults.get("down", False)))
            if "rev" in faults:
                rows, self.list = self.list.rows, Revisions(int(faults["rev"]))
                self.list.rows = rows
            return Reply()
        if asked.path == "/standin/state" and asked.method == "GET":
            state = dict(self.books) | {"by_second": list(self.by_second.values())}
            return Reply(200, json.dumps(state).encode())
        return Reply(404)

    def _go_down(self, down: bool) -> None:
        if down and not self.down:
            self._downs += 1
            self._free = 0.0  # its queue goes with it
        self.down = down

    async def _list(self, asked: Asked) -> Reply:
        self.books["calls"] += 1
        if self.down:
            self.books["turned away"] += 1
            return Reply(reset=True)
        downs = self._downs
        reply = await self._answer_to(asked)
        return reply if downs == self._downs else Reply(reset=True)

    async def _answer_to(self, asked: Asked) -> Reply:
        if self.silent or self.status != 200 or self.random.random() < self.refuse:
            self.books["turned away"] += 1
            status = self.status if self.status != 200 else 503
            return Reply(status, silent=self.silent)
        query = parse_qs(asked.query)
        since = int(query["from"][0]) if "from" in query else -1
        self.books["asked for all"] += since < 0
        if since == self.list.rev:
            hold = min(int(query.get("hold_ms", ["0"])[0]), 60_000) / 1000
            if not await self._newer(since, hold):
                return self._answer(self.list.rev, False, [])
        changed, whole = self.list.since(since)
        rev = self.list.rev  # of these rows: the list may change while the call waits its turn
        self.books["whole asked"] += whole
        if not await self._in_turn(max(len(changed), 1)):
            self.books["turned away"] += 1
            return Reply(503)
        self.books["whole"] += whole
        rows = [row or {"uid": uid, "state": "left"} for uid, row in changed.items()]
        return self._answer(rev, whole, rows)

    async def _newer(self, since: int, hold: float) -> bool:
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(lambda: self.list.rev != since), hold)
            except TimeoutError:
                return False
        return True

    async def _in_turn(self, lines: int) -> bool:
        """Wait for so many lines' turn; False where that takes too long."""
        now = asyncio.get_running_loop().time()
        begin = max(self._free, now)
        if self._rate and begin - now > self._patience:
            await asyncio.sleep(self._patience)
            return False
        self.books["lines"] += lines
        if self._rate:
            each = self.slow / self._rate
            self._free = begin + lines * each
            for i in range(lines):
                self.by_second[int(begin + i * each)] += 1
            await asyncio.sleep(self._free - now)
        return True

    def _answer(self, rev: int, whole: bool, targets: list[dict[str, Any]]) -> Reply:
        body = {"rev": rev, "all": whole, "targets": targets}
        return Reply(200, json.dumps(body).encode())


async def run(discovery: Discovery, listen: str) -> None:
    server = await serve(discovery.handle, *split_address(listen))
    await server.serve_forever()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--target", action="append", default=[], metavar="UID=ADDRESS")
    parser.add_argument("--lines", type=int, default=0, help="a second; 0: as many as are asked")
    parser.add_argument("--patience", type=float, default=5.0, metavar="SECONDS")
    args = parser.parse_args()
    pairs = (text.split("=", 1) for text in args.target)
    rows = [target(uid, endpoint) for uid, endpoint in pairs]
    asyncio.run(run(Discovery(rows, args.lines, args.patience), args.listen))


if __name__ == "__main__":
    main()
