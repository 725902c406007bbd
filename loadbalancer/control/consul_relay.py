"""Serves the endpoint list merged from Consul to nodes, in the platform's discovery protocol.

Only the relay polls Consul, so Consul's load does not depend on the number of nodes. Nodes poll
the relay with long polls, exactly as they would poll discovery (`PROXY_DISCOVERY`). While the
relay is down, nodes continue with their last list. Two rules make a restart of the relay safe:

- Versions start at the current wall-clock time. If they started at 0 after a restart, a node
  could ask for the changes since a version that now denotes another list.
- Every request is answered with 503 until Consul has been read completely once. A partial list
  would remove servers from the nodes' pools.

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
from loadbalancer.core.balancing.model import MS, UNKNOWN
from loadbalancer.core.endpoints.merged_server import ListedServer
from loadbalancer.core.endpoints.revisions import Revisions
from loadbalancer.faults import run_logged
from loadbalancer.sources.consul.file import ConsulFile
from loadbalancer.sources.consul.list_updater import ListUpdater
from loadbalancer.sources.watchers import Query, Watcher, removed_row

MAX_WATCHERS = 1024
OK = 200
# States of a server by their names in the discovery protocol.
STATE_NAMES = {State.READY: "active", State.DRAINING: "leaving"}

Row = Mapping[str, Any]


def discovery_row(server: ListedServer, wall_offset: int) -> Row:
    """Convert a server to a row of a discovery response.

    Args:
        server: an entry of the merged list.
        wall_offset: Unix time minus monotonic time, in nanoseconds.
    """
    return {
        "uid": server.uid,
        "endpoint": str(Address(server.host, server.port)),
        "az": server.zone,
        "model": "",
        "pod_group": None if server.cell == UNKNOWN else server.cell,
        "state": STATE_NAMES[server.state],
        "capacity_hint": server.weight,
        "boot_ms": (server.boot + wall_offset) // MS if server.boot else 0,
    }


class ListRelay:
    """The versioned endpoint list, and the long polls that wait for its next version."""

    max_connections = MAX_WATCHERS

    def __init__(self, file: ConsulFile, seed: int) -> None:
        self.updater = ListUpdater(file, self._publish, seed)
        self.revisions: Revisions[Row] = Revisions(time.time_ns() // MS)
        self.connections = 0
        self._pending: LongPolls[int] = LongPolls(self._answer_pending)  # version of each poller
        # Read once, so that converting the same boot time always gives the same row.
        self._wall_offset = time.time_ns() - time.monotonic_ns()

    def ready(self) -> bool:
        """Return whether Consul has been read completely."""
        return self.updater.merged_list.is_complete()

    def answer(self, version: int) -> bytes:
        """Build the response for a node that has `version` of the list, 0 for none."""
        changed, is_full = self.revisions.since(version)
        rows = [removed_row(uid) if row is None else row for uid, row in changed.items()]
        return json.dumps({"rev": self.revisions.rev, "all": is_full, "targets": rows}).encode()

    def on_list_request(self, watcher: Watcher, since: int, hold_s: float, query: Query) -> None:
        """Answer at once if the list has changed or `hold_s` is 0, else within `hold_s` seconds."""
        del query  # every node gets the same list
        if since == self.revisions.rev and hold_s > 0:
            self._pending.add(watcher, since, hold_s)
        else:
            watcher.reply(OK, self.answer(since))

    def is_waiting(self, watcher: Watcher) -> bool:
        """Return whether the connection's poll is still unanswered."""
        return watcher in self._pending

    def cancel(self, watcher: Watcher) -> None:
        """Drop the connection's pending poll without an answer."""
        self._pending.pop(watcher)

    def _answer_pending(self, watcher: Watcher) -> None:
        version = self._pending.pop(watcher)
        if version is not None:
            watcher.reply(OK, self.answer(version))

    def _publish(self) -> None:
        """Publish the merged list as a new version if it has changed, and answer pending polls."""
        servers = [s for s in self.updater.merged_list.servers() if s.state != State.GONE]
        rows = {server.uid: discovery_row(server, self._wall_offset) for server in servers}
        if self.revisions.replace(rows):
            for watcher in self._pending:
                # An exception must not keep the others from their answers. The failed connection
                # is closed, so its node polls again.
                if not run_logged(self._answer_pending, watcher):
                    watcher.abort()


async def serve(file: ConsulFile, listen: Address, seed: int) -> None:
    """Serve the list at `listen` until cancelled.

    Raises:
        OSError: the process can't listen on the address.
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
