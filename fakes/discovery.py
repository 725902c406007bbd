"""The platform's discovery: a list of instances, watched or fetched.

    python -m fakes.discovery --listen 127.0.0.1:0 --target s-1=127.0.0.1:9001 ...

With `--lines N` it works through calls in turn, N rows a second for all, and rejects with 503 a
call that has waited for `--patience` seconds. It works on for callers that have disconnected: a
connection is not looked at until its response is ready.

Calls for tests and benchmarks:

    POST /standin/targets   [target, ...]: replace the list
    POST /standin/faults    the faults from now on, by their names in `Faults`
    GET  /standin/state     counters by their names in `Counted`, and rows sent by second
"""

from __future__ import annotations

import argparse
import asyncio
import json
from collections import Counter
from enum import StrEnum
from random import Random
from typing import Any, NamedTuple
from urllib.parse import parse_qs

from fakes.web import Reply, Request, serve, split_address
from loadbalancer.core.endpoints.revisions import Revisions

FIRST_VERSION = 1
NO_VERSION = -1  # of a caller that has no list
MAX_HOLD_MS = 60_000
OK, UNAVAILABLE = 200, 503


class Counted(StrEnum):
    """What is counted, by its name in the answer to GET /standin/state."""

    CALLS = "calls"  # of the list
    REJECTED = "turned away"
    POLLS_WITHOUT_VERSION = "asked for all"
    FULL_LISTS_REQUESTED = "whole asked"
    FULL_LISTS_SENT = "whole"
    ROWS = "lines"  # sent


class Faults(NamedTuple):
    """The faults at present."""

    silent: bool = False  # sends no response
    status: int = OK  # responds with this status
    refuse: float = 0.0  # rejects this part of calls at once
    down: bool = False  # resets all calls, those that wait for their turn too
    slow: float = 1.0  # needs so many times as long for a row
    rev: int | None = None  # restarts its versions from this one


def target(uid: str, endpoint: str, zone: str = "east", boot_ms: int = 0) -> dict[str, Any]:
    """One active instance in discovery's form."""
    return {
        "uid": uid,
        "endpoint": endpoint,
        "az": zone,
        "model": "m2",
        "pod_group": 1,
        "state": "active",
        "capacity_hint": 1.0,
        "boot_ms": boot_ms,
    }


class Discovery:
    """Responds with the delta since a version that it knows, else with the complete list.

    With `rows_per_second` 0 every call is answered at once. `queue_timeout_s` is how many seconds a
    call waits for its turn before it is rejected.
    """

    def __init__(
        self,
        targets: list[dict[str, Any]],
        rows_per_second: int = 0,
        queue_timeout_s: float = 5.0,
        seed: int = 1,
    ) -> None:
        self._list: Revisions[dict[str, Any]] = Revisions(FIRST_VERSION)
        self._list.rows = {row["uid"]: row for row in targets}
        self._changed = asyncio.Condition()
        self._faults = Faults()
        self._outages = 0  # how often it has gone down
        self._random = Random(seed)
        self._counters: Counter[str] = Counter()
        self._rows_by_second: Counter[int] = Counter()
        self._rows_per_second = rows_per_second
        self._queue_timeout_s = queue_timeout_s
        self._busy_until = 0.0  # the loop's time when the calls that it has are answered

    async def handle(self, request: Request) -> Reply:
        """Answer one request."""
        match request.method, request.path:
            case "GET", "/registry/instances":
                return await self._answer_list_call(request)
            case "POST", "/standin/targets":
                self._list.replace({row["uid"]: row for row in json.loads(request.body)})
                async with self._changed:
                    self._changed.notify_all()
                return Reply()
            case "POST", "/standin/faults":
                self._set_faults(Faults(**json.loads(request.body)))
                return Reply()
            case "GET", "/standin/state":
                by_second = list(self._rows_by_second.values())
                state = dict(self._counters) | {"by_second": by_second}
                return Reply(OK, json.dumps(state).encode())
        return Reply(404)

    def _set_faults(self, faults: Faults) -> None:
        if faults.down and not self._faults.down:
            self._outages += 1
            self._busy_until = 0.0  # the calls that waited for their turn are reset
        self._faults = faults
        if faults.rev is not None:
            rows = self._list.rows
            self._list = Revisions(faults.rev)
            self._list.rows = rows

    # ---- the list --------------------------------------------------------------------

    async def _answer_list_call(self, request: Request) -> Reply:
        self._counters[Counted.CALLS] += 1
        if self._faults.down:
            self._counters[Counted.REJECTED] += 1
            return Reply(reset=True)
        outages = self._outages
        reply = await self._list_reply(request)
        return reply if outages == self._outages else Reply(reset=True)

    async def _list_reply(self, request: Request) -> Reply:
        rejection = self._rejection()
        if rejection is not None:
            return rejection
        query = parse_qs(request.query)
        since = int(query["from"][0]) if "from" in query else NO_VERSION
        self._counters[Counted.POLLS_WITHOUT_VERSION] += since < 0
        if since == self._list.rev:
            hold_ms = min(int(query.get("hold_ms", ["0"])[0]), MAX_HOLD_MS)
            if not await self._wait_for_change(since, hold_ms / 1000):
                return _list_body(self._list.rev, False, [])
        changed, is_complete = self._list.since(since)
        rev = self._list.rev  # of these rows: the list may change while the call waits its turn
        self._counters[Counted.FULL_LISTS_REQUESTED] += is_complete
        if not await self._wait_for_turn(max(len(changed), 1)):
            self._counters[Counted.REJECTED] += 1
            return Reply(UNAVAILABLE)
        self._counters[Counted.FULL_LISTS_SENT] += is_complete
        rows = [row or {"uid": uid, "state": "left"} for uid, row in changed.items()]
        return _list_body(rev, is_complete, rows)

    def _rejection(self) -> Reply | None:
        """The response in place of a list, if a fault calls for one."""
        faults = self._faults
        is_faulty = faults.silent or faults.status != OK
        if not is_faulty and self._random.random() >= faults.refuse:
            return None
        self._counters[Counted.REJECTED] += 1
        status = faults.status if faults.status != OK else UNAVAILABLE
        return Reply(status, silent=faults.silent)

    async def _wait_for_change(self, since: int, hold_s: float) -> bool:
        """Whether the list has changed within so many seconds."""
        async with self._changed:
            try:
                await asyncio.wait_for(
                    self._changed.wait_for(lambda: self._list.rev != since), hold_s
                )
            except TimeoutError:
                return False
        return True

    async def _wait_for_turn(self, rows: int) -> bool:
        """Wait until so many rows can be sent; False where that takes too long."""
        if not self._rows_per_second:
            self._counters[Counted.ROWS] += rows
            return True
        now = asyncio.get_running_loop().time()
        begin = max(self._busy_until, now)
        if begin - now > self._queue_timeout_s:
            await asyncio.sleep(self._queue_timeout_s)
            return False
        self._counters[Counted.ROWS] += rows
        row_s = self._faults.slow / self._rows_per_second
        self._busy_until = begin + rows * row_s
        for number in range(rows):
            self._rows_by_second[int(begin + number * row_s)] += 1
        await asyncio.sleep(self._busy_until - now)
        return True


def _list_body(rev: int, is_complete: bool, targets: list[dict[str, Any]]) -> Reply:
    body = {"rev": rev, "all": is_complete, "targets": targets}
    return Reply(OK, json.dumps(body).encode())


async def run(discovery: Discovery, listen: str) -> None:
    """Serve until the process ends."""
    server = await serve(discovery.handle, *split_address(listen))
    await server.serve_forever()


def main() -> None:
    """Read the arguments and serve."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--target", action="append", default=[], metavar="UID=ADDRESS")
    parser.add_argument("--lines", type=int, default=0, help="rows a second, 0 for no limit")
    parser.add_argument(
        "--patience", type=float, default=5.0, metavar="SECONDS", help="until a call is rejected"
    )
    args = parser.parse_args()
    pairs = (text.split("=", 1) for text in args.target)
    rows = [target(uid, endpoint) for uid, endpoint in pairs]
    asyncio.run(run(Discovery(rows, args.lines, args.patience), args.listen))


if __name__ == "__main__":
    main()
