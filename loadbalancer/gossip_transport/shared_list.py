"""The list that some nodes read for all: between discovery and this node's part in the fleet."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Any, Protocol

from loadbalancer.core.endpoints.shared_list import Taken
from loadbalancer.core.gossip.gossip_node import GossipNode
from loadbalancer.sources.discovery import Discovery, ListError

if TYPE_CHECKING:
    from loadbalancer.sources.consul.source import ConsulMembers

LEFT = "left"


class Host(Protocol):
    """What this asks of the host."""

    @property
    def discovery(self) -> Discovery | ConsulMembers: ...
    def log(self, text: str) -> None: ...


def rows_of(raw: dict[str, Any]) -> dict[str, str | None]:
    """Discovery's rows as text by id, None for one that has left."""
    return {
        str(t["uid"]): None
        if t["state"] == LEFT
        else json.dumps(t, sort_keys=True, separators=(",", ":"))
        for t in raw["targets"]
    }


def raw_of(taken: Taken) -> dict[str, Any]:
    """The same as an answer of discovery's."""
    targets = [
        {"uid": uid, "state": LEFT} if row is None else json.loads(row)
        for uid, row in taken.rows.items()
    ]
    return {"rev": taken.rev, "all": taken.whole, "targets": targets}


class Lists:
    """Implements ports.ListReaders."""

    def __init__(self, host: Host, fleet: GossipNode, known: dict[str, Any]) -> None:
        assert fleet.shared_list is not None and isinstance(host.discovery, Discovery)
        self._host = host
        self._fleet = fleet
        self._shared = fleet.shared_list
        self._discovery = host.discovery
        self._discovery.readers = self
        self._reads = False  # as last told
        self._refused = False  # the last list of others could not be used
        rows = {u: row for u, row in rows_of(known).items() if row is not None}
        if rows:
            self._shared.copy.begin(known["rev"], rows)

    def after(self, now: int, spoken: bool) -> None:
        """Read or leave it to others, and go by what they read; after each turn and message."""
        shared = self._shared
        if not spoken:
            shared.alone(now)
        if shared.reads != self._reads:
            self._reads = shared.reads
            self._host.log("asks for the list" if self._reads else "leaves the list to others")
            if self._reads:
                self._discovery.watch()
            else:
                self._discovery.close()
        news, shared.news = shared.news, []
        for taken in news:
            if self._refused:  # what it said is missing in hand: all rows from here on
                taken = Taken(taken.rev, dict(shared.copy.rows), True)
            try:
                self._discovery.passed(raw_of(taken))
                self._refused = False
            except (ListError, ValueError, RecursionError) as err:
                self._refused = True
                self._host.log(f"the list of another node not used: {err}")

    # ---- for discovery ------------------------------------------------------------

    def may_ask(self) -> bool:
        return self._shared.reads

    def unread(self) -> bool:
        return not self._shared.copy.version.epoch

    def read(self, raw: dict[str, Any]) -> None:
        self._fleet.on_list_read(time.monotonic_ns(), raw["rev"], rows_of(raw), raw["all"])

    def failed(self, older: bool) -> None:
        self._shared.failed(time.monotonic_ns(), older)
