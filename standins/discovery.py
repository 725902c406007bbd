"""The platform's discovery: a list of instances, watched or fetched.

    python -m standins.discovery --listen 127.0.0.1:0 --target s-1=127.0.0.1:9001 ...

`POST /standin/targets` with a JSON array of targets replaces the list, and
`POST /standin/faults` takes {"silent": bool, "status": int}.
"""

from __future__ import annotations

import argparse
import asyncio
import json
from typing import Any
from urllib.parse import parse_qs

from standins.web import Asked, Reply, serve, split_address


def target(uid: str, endpoint: str, zone: str = "east", boot_ms: int = 0) -> dict[str, Any]:
    """One active instance in discovery's form."""
    return {
        "uid": uid, "endpoint": endpoint, "az": zone, "model": "m2", "pod_group": 1,
        "state": "active", "capacity_hint": 1.0, "boot_ms": boot_ms,
    }  # fmt: skip


class Discovery:
    """A whole list in every answer; a watch waits until there is something newer."""

    def __init__(self, targets: list[dict[str, Any]]) -> None:
        self.targets = targets
        self.rev = 1
        self.changed = asyncio.Condition()
        self.silent = False
        self.status = 200

    async def handle(self, asked: Asked) -> Reply:
        if asked.path == "/registry/instances" and asked.method == "GET":
            return await self._list(asked)
        if asked.path == "/standin/targets" and asked.method == "POST":
            self.targets = json.loads(asked.body)
            self.rev += 1
            async with self.changed:
                self.changed.notify_all()
            return Reply()
        if asked.path == "/standin/faults" and asked.method == "POST":
            faults = json.loads(asked.body)
            self.silent = bool(faults.get("silent", False))
            self.status = int(faults.get("status", 200))
            return Reply()
        return Reply(404)

    async def _list(self, asked: Asked) -> Reply:
        if self.silent or self.status != 200:
            return Reply(self.status, silent=self.silent)
        query = parse_qs(asked.query)
        if "from" in query:
            since = int(query["from"][0])
            hold = min(int(query.get("hold_ms", ["0"])[0]), 60_000) / 1000
            await self._newer(since, hold)
            if self.rev <= since:
                return self._answer(False, [])
        return self._answer(True, self.targets)

    async def _newer(self, since: int, hold: float) -> None:
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(lambda: self.rev > since), hold)
            except TimeoutError:
                return

    def _answer(self, whole: bool, targets: list[dict[str, Any]]) -> Reply:
        body = {"rev": self.rev, "all": whole, "targets": targets}
        return Reply(200, json.dumps(body).encode())


async def run(listen: str, targets: list[dict[str, Any]]) -> None:
    server = await serve(Discovery(targets).handle, *split_address(listen))
    await server.serve_forever()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--target", action="append", default=[], metavar="UID=ADDRESS")
    args = parser.parse_args()
    pairs = (text.split("=", 1) for text in args.target)
    asyncio.run(run(args.listen, [target(uid, endpoint) for uid, endpoint in pairs]))


if __name__ == "__main__":
    main()
