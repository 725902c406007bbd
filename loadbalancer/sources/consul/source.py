"""A list of servers from Consul, merged by `core.endpoints.merged_list`, for a node or a pool."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from loadbalancer.config.address import Address
from loadbalancer.config.node import Config
from loadbalancer.core import Listing, Settings, State, Update
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.endpoints.merged_list import Health, Member, Word
from loadbalancer.sources.consul.file import (
    read_consul,
)
from loadbalancer.sources.consul.merge import PLATFORM, MergedList
from loadbalancer.sources.discovery import Discovery, SourceLogger
from loadbalancer.sources.endpoint_list import EndpointList, backend_id

logger = logging.getLogger(__name__)

SAID = 5  # servers that are named in one line of the log

HEALTH = {State.READY: Health.PASSING, State.DRAINING: Health.MAINTENANCE, State.GONE: Health.GONE}


class ConsulMembers:
    """What a host asks of a source: a endpoint_list, and to be told of changes.

    `alive`: what the host's own attempts say of a backend. With the platform's list as
    one more source a server is known by its address, which both name: its id is then the
    same at every node, whichever was heard of first.
    """

    stale_after_ns = 120 * SECOND  # a whole round and the pause before it take over 30 s

    __slots__ = (
        "_alive", "_config", "_ids", "_merged", "_platform", "_started", "_states", "_told",
        "_zones", "log", "forward", "endpoint_list",
    )  # fmt: skip

    def __init__(
        self,
        path: Path,
        config: Config,
        told: Callable[[Update, list[Listing], list[int]], None],
        list_logger: SourceLogger | None = None,
        alive: Callable[[int], bool | None] = lambda _backend: None,
    ) -> None:
        self.log = (list_logger or logger).info
        file = read_consul(str(path))
        self._config = config
        self._zones = {name: i for i, name in enumerate(config.zones)}
        self._told = told
        self._alive = alive
        self._ids: dict[str, int] = {}
        self._states: Mapping[str, State] = {}
        self._merged = MergedList(
            file, self._tell, self.log, config.seed, config.settings.drain_grace, self._answers
        )
        self._platform: Discovery | None = None
        if file.platform:
            self._platform = Discovery(config, self._platform_told, list_logger)
        self._started = False
        self.forward: Callable[[bytes], None] | None = None  # Consul's rows are not passed on
        self.endpoint_list = EndpointList(config)

    def _answers(self, uid: str) -> bool | None:
        backend = self._ids.get(uid)
        return None if backend is None else self._alive(backend)

    def load_configured(self, raw: Any) -> list[Listing]:
        """The last known list of the configuration, until Consul has answered once."""
        if self._platform is not None:
            rows = self._platform.load_configured(raw)
            self._merged.members.told(time.monotonic_ns(), PLATFORM, self._words(rows), True)
            listed, addresses = self._rows()
            self.endpoint_list.apply(0, Update.FULL, listed, addresses)
            return listed
        update, rows, endpoints = self.endpoint_list.read(raw)
        self.endpoint_list.apply(0, update, rows, endpoints)
        return rows

    def watch(self) -> None:
        """Read from now on; asked again it goes on as it does."""
        if self._platform is not None:
            self._platform.watch()
        if not self._started:
            self._started = True
            self._merged.start()

    def move(self, address: Address, settings: Settings) -> None:
        """The platform's list is elsewhere now."""
        if self._platform is not None:
            self._platform.move(address, settings)

    def suspend(self) -> None:
        """Another process of this node reads for itself; this one goes on until it ends."""

    def resume(self) -> None:
        """It never rested."""

    def on_forwarded(self, body: bytes) -> None:
        """Nothing is heard from that process: its rows are its own reader's."""

    def close(self) -> None:
        self._merged.close()
        if self._platform is not None:
            self._platform.close()

    # ---- what the sources say --------------------------------------------

    def _platform_told(self, update: Update, rows: list[Listing], _stale: list[int]) -> None:
        if update == Update.FAILED:
            self._told(update, [], [])
            return
        if not self._merged.told(PLATFORM, self._words(rows), update == Update.FULL):
            self._tell()  # also where nothing changed: whoever asked has its answer

    def _words(self, rows: list[Listing]) -> list[Word]:
        """The platform's lines as words; one that has left has no address any more."""
        endpoints = self._platform.endpoint_list.endpoints if self._platform is not None else {}
        zones = self._config.zones
        out = []
        for row in rows:
            host, port = endpoints.get(row.backend, ("", 0))
            zone = zones[row.zone] if row.zone < len(zones) else ""
            health = HEALTH[row.state]
            out.append(
                Word(str(row.backend), host, port, zone, health, row.rating, row.boot, row.cell,
                     row.kind)
            )  # fmt: skip
        return out

    # ---- what is told on ---------------------------------------------------

    def _tell(self) -> None:
        rows, endpoints = self._rows()
        stale = self.endpoint_list.apply(0, Update.FULL, rows, endpoints)
        self._told(Update.FULL, rows, stale)

    def _rows(self) -> tuple[list[Listing], dict[int, Address]]:
        all_of = self._merged.members.members()
        self._say(all_of)
        members = [m for m in all_of if m.state != State.GONE]
        self._ids = {m.uid: self._id(m) for m in members}
        rows = [self._listing(m) for m in members]
        return rows, {self._id(m): Address(m.host, m.port) for m in members}

    def _id(self, m: Member) -> int:
        return backend_id(f"{m.host}:{m.port}" if self._platform is not None else m.uid)

    def _listing(self, m: Member) -> Listing:
        zone = self._zones.get(m.zone, 0)
        return Listing(self._id(m), m.state, zone, m.cell, m.kind, m.boot, m.weight)

    def _say(self, members: list[Member]) -> None:
        """Log who came in and who went out, and why."""
        states = {m.uid: m.state for m in members if m.state != State.GONE}
        if self._states:
            came = [m for m in members if (m.state == State.READY) and self._was(m) != State.READY]
            went = [m for m in members if m.state != State.READY and self._was(m) == State.READY]
            self._say_some("in", came)
            self._say_some("out", went)
        elif states and self._started:
            self.log(f"{len(states)} servers listed")
        self._states = states

    def _was(self, m: Member) -> State:
        return self._states.get(m.uid, State.GONE)

    def _say_some(self, what: str, members: list[Member]) -> None:
        if members:
            some = "; ".join(f"{m.uid} ({m.why})" for m in members[:SAID])
            more = f" and {len(members) - SAID} more" if len(members) > SAID else ""
            self.log(f"servers {what}: {some}{more}")
