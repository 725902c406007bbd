"""Serves the list merged from Consul to nodes, in the platform's discovery protocol.

Only this process polls Consul, however many nodes there are: they poll here, with
watches, as they would poll discovery (`PROXY_DISCOVERY`). While a relay is down, only updates are
missing: nodes go on with the list they have, as with discovery. Two rules follow from a restart:

- Versions grow with the wall clock. If they began anew, a node would ask for changes since a
  version that stands for another list.
- Until a complete round has ended, every answer is 503. A list that is read in part would take
  servers from the nodes' pools.

Source: the platform's protocol, "Discovery".
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Mapping
from typing import Any

from loadbalancer.config.address import Address
from loadbalancer.control.long_polls import LongPolls
from loadbalancer.core import State
from loadbalancer.core.balancing.model import MS
from loadbalancer.core.endpoints.merged_server import ListedServer
from loadbalancer.core.endpoints.revisions import Revisions
from loadbalancer.faults import run_logged
from loadbalancer.sources.consul.file import ConsulFile
from loadbalancer.sources.consul.list_updater import ListUpdater
from loadbalancer.sources.watchers import Query, Watcher, removed_row

MAX_WATCHERS = 1024
OK = 200
# The protocol's names of states.
STATE_NAMES = {State.READY: "active", State.DRAINING: "leaving"}

Row = Mapping[str, Any]


def discovery_row(server: ListedServer, wall_offset: int) -> Row:
    """One server in discovery's form.

    Args:
        server: in the merged list.
        wall_offset: Unix time less the monotonic clock's, in nanoseconds.
    """
    return {
        "uid": server.uid,
        "endpoint": str(Address(server.host, server.port)),
        "az": server.zone,
        "model": "",
        "pod_group": server.cell,
        "state": STATE_NAMES[server.state],
        "capacity_hint": server.weight,
        "boot_ms": (server.boot + wall_offset) // MS if server.boot else 0,
    }


class ListRelay:
    """The list by version, and the watchers that wait for its next one."""

    max_connections = MAX_WATCHERS

    def __init__(self, file: ConsulFile, seed: int) -> None:
        self.updater = ListUpdater(file, self._publish, seed)
        self.revisions: Revisions[Row] = Revisions(time.time_ns() // MS)
        self.connections = 0
        self._waiting: LongPolls[int] = LongPolls(self._answer_waiting)  # versions they have
        # Read once: a boot time that is converted again must give the same row.
        self._wall_offset = time.time_ns() - time.monotonic_ns()

    def ready(self) -> bool:
        """Whether the list is complete."""
        return self.updater.merged_list.is_complete()

    def answer(self, version: int) -> bytes:
        """Discovery's answer to a watcher that has this version, 0 for none."""
        changed, is_full = self.revisions.since(version)
        rows = [removed_row(uid) if row is None else row for uid, row in changed.items()]
        return json.dumps({"rev": self.revisions.rev, "all": is_full, "targets": rows}).encode()

    def on_list_request(self, watcher: Watcher, since: int, hold_s: float, query: Query) -> None:
        """Answer now where the list has changed or `hold_s` is 0, else within `hold_s` seconds."""
        del query  # a relay has one list for all
        if since == self.revisions.rev and hold_s > 0:
            self._waiting.add(watcher, since, hold_s)
        else:
            watcher.reply(OK, self.answer(since))

    def is_waiting(self, watcher: Watcher) -> bool:
        """Whether a watcher has no answer yet."""
        return watcher in self._waiting

    def cancel(self, watcher: Watcher) -> None:
        """Cancel a watcher's wait: it gets no answer any more."""
        self._waiting.take(watcher)

    def _answer_waiting(self, watcher: Watcher) -> None:
        version = self._waiting.take(watcher)
        if version is not None:
            watcher.reply(OK, self.answer(version))

    def _publish(self) -> None:
        """Take the merged list as the next version, and answer all watchers that wait for it."""
        servers = [s for s in self.updater.merged_list.servers() if s.state != State.GONE]
        rows = {server.uid: discovery_row(server, self._wall_offset) for server in servers}
        if self.revisions.replace(rows):
            for watcher in self._waiting:
                # A fault at one costs no other's answer; its caller polls again.
                if not run_logged(self._answer_waiting, watcher):
                    watcher.abort()


async def serve(file: ConsulFile, listen: Address, seed: int) -> None:
    """Serve the list at `listen` until cancelled.

    Raises:
        OSError: the address can't be listened at.
    """
    relay = ListRelay(file, seed)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Watcher(relay), listen.host, listen.port)
    port = server.sockets[0].getsockname()[1]
    print(f"listening on {listen.host}:{port}", flush=True)
    relay.updater.start()
    try:
        await server.serve_forever()
    finally:
        relay.updater.close()
