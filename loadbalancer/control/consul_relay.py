"""Passes the merged list on to nodes in the platform's discovery protocol.

One reader spends the lines of all, however many nodes there are: they ask here, with
watches, as they would ask discovery (`PROXY_DISCOVERY`). A relay that is down costs
nothing but news: nodes keep the list they have, as with discovery. After a restart
versions go on growing with the wall clock, and nothing is answered but 503 before a
whole round has ended: a half-read list would empty the nodes' pools.

Source: the platform's protocol, "Discovery".
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable, Mapping
from typing import Any

from loadbalancer.config.address import Address
from loadbalancer.core import State
from loadbalancer.core.balancing.model import MS
from loadbalancer.core.endpoints.merged_list import Member
from loadbalancer.core.endpoints.revisions import Revisions
from loadbalancer.sources.consul.file import ConsulFile
from loadbalancer.sources.consul.merge import MergedList
from loadbalancer.sources.watchers import Query, Watcher, gone_row

MAX_WATCHERS = 1024
STATES = {State.READY: "active", State.DRAINING: "leaving"}

Row = Mapping[str, Any]


def row_of(m: Member, wall: int) -> Row:
    """One server in discovery's form; `wall`: Unix time less the monotonic clock's."""
    return {
        "uid": m.uid, "endpoint": str(Address(m.host, m.port)), "az": m.zone, "model": "",
        "pod_group": m.cell, "state": STATES[m.state], "capacity_hint": m.weight,
        "boot_ms": (m.boot + wall) // MS if m.boot else 0,
    }  # fmt: skip


class Relay:
    """The list and who waits for news of it."""

    most_watchers = MAX_WATCHERS

    def __init__(self, file: ConsulFile, log: Callable[[str], None], seed: int) -> None:
        self.merged = MergedList(file, self._pass_on, log, seed)
        self.list: Revisions[Row] = Revisions(time.time_ns() // MS)
        # The version each holds, and the end of its wait.
        self.watchers: dict[Watcher, tuple[int, asyncio.TimerHandle]] = {}
        self.connections = 0
        # Taken once: a boot that is converted again must look the same.
        self._wall = time.time_ns() - time.monotonic_ns()

    def ready(self) -> bool:
        return self.merged.members.complete()

    def answer(self, since: int) -> bytes:
        """Discovery's answer to whoever holds version `since`, 0 for none."""
        changed, whole = self.list.since(since)
        rows = [gone_row(uid) if row is None else row for uid, row in changed.items()]
        return json.dumps({"rev": self.list.rev, "all": whole, "targets": rows}).encode()

    def asked(self, watcher: Watcher, since: int, hold: float, query: Query) -> None:
        """Answer at once where there is news or no wait is asked for, else after `hold` s."""
        if since == self.list.rev and hold > 0:
            loop = asyncio.get_running_loop()
            self.watchers[watcher] = (since, loop.call_later(hold, self.release, watcher))
        else:
            watcher.reply(200, self.answer(since))

    def waits(self, watcher: Watcher) -> bool:
        return watcher in self.watchers

    def release(self, watcher: Watcher) -> None:
        """Answer a watcher that waits."""
        found = self.watchers.pop(watcher, None)
        if found is not None:
            since, handle = found
            handle.cancel()
            watcher.reply(200, self.answer(since))

    def forget(self, watcher: Watcher) -> None:
        found = self.watchers.pop(watcher, None)
        if found is not None:
            found[1].cancel()

    def _pass_on(self) -> None:
        told = [m for m in self.merged.members.members() if m.state != State.GONE]
        if self.list.replace({m.uid: row_of(m, self._wall) for m in told}):
            for watcher in [*self.watchers]:
                self.release(watcher)


async def serve(file: ConsulFile, listen: Address, log: Callable[[str], None], seed: int) -> None:
    """Pass the list on at `listen` until cancelled; OSError where it can't be listened at."""
    relay = Relay(file, log, seed)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Watcher(relay), listen.host, listen.port)
    port = server.sockets[0].getsockname()[1]
    print(f"listening on {listen.host}:{port}", flush=True)
    relay.merged.start()
    try:
        await server.serve_forever()
    finally:
        relay.merged.close()
