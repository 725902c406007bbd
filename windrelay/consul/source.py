"""A list of servers from Consul, merged by flinthatch.membership.members, for a node or a pool."""

from __future__ import annotations

import asyncio
import ssl
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from flinthatch import Listing, State, Update
from flinthatch.membership.members import Health, Member, Members, Rules, Source, Word
from windrelay.config import Address, Config
from windrelay.consul.file import (
    ConsulError,
    ConsulFile,
    read_consul,
    read_token,
    source_name,
)
from windrelay.consul.reader import Reader
from windrelay.discovery import Discovery, Roster, backend_id

SECOND = 1_000_000_000
PLATFORM = "platform"
SAID = 5  # servers that are named in one line of the log

HEALTH = {State.READY: Health.PASSING, State.DRAINING: Health.MAINTENANCE, State.GONE: Health.GONE}


def open_reader(
    file: ConsulFile,
    told: Callable[[str, list[Word], bool], None],
    log: Callable[[str], None],
    seed: int,
) -> Reader:
    """A reader with its token and certificates; ConsulError where they can't be used."""
    token = read_token(file.token_file) if file.token_file is not None else ""
    tls = None
    if file.ca_file is not None:
        try:
            tls = ssl.create_default_context(cafile=str(file.ca_file))
        except (OSError, ssl.SSLError) as err:
            raise ConsulError(f"{file.ca_file}: [ca-file] can't be used: {err}") from None
    return Reader(file, token, told, log, seed, tls)


def merged(
    file: ConsulFile,
    drain: int = 2 * SECOND,
    alive: Callable[[str], bool | None] = lambda _uid: None,
) -> Members:
    """The list of one file's datacentres; `drain` in nanoseconds, `alive` as in Members."""
    sources = [Source(source_name(dc), 1, file.fresh * SECOND) for dc in file.datacentres]
    if file.platform:
        # Below Consul, whose checks say more; but its drains are orders.
        sources.append(Source(PLATFORM, 0, firm=True))
    return Members(sources, Rules(drain=drain), alive)


class ConsulMembers:
    """What a host asks of a source: a roster, and to be told of changes.

    `alive`: what the host's own attempts say of a backend. With the platform's list as
    one more source a server is known by its address, which both name: its id is then the
    same at every node, whichever was heard of first.
    """

    old_after = 120 * SECOND  # a whole round and the pause before it take over 30 s

    __slots__ = (
        "_alive", "_config", "_file", "_ids", "_members", "_platform", "_reader", "_started",
        "_states", "_timer", "_told", "_zones", "log", "roster",
    )  # fmt: skip

    def __init__(
        self,
        path: Path,
        config: Config,
        told: Callable[[Update, list[Listing], list[int]], None],
        log: Callable[[str], None],
        alive: Callable[[int], bool | None] = lambda _backend: None,
    ) -> None:
        file = read_consul(str(path))
        self._file = file
        self._config = config
        self._zones = {name: i for i, name in enumerate(config.zones)}
        self._told = told
        self._alive = alive
        self._ids: dict[str, int] = {}
        self._states: Mapping[str, State] = {}
        self._members = merged(file, config.settings.drain_grace, self._answers)
        self._reader = open_reader(file, self._heard, log, config.seed)
        self._platform: Discovery | None = None
        if file.platform:
            self._platform = Discovery(config, self._platform_told, log)
        self._timer: asyncio.TimerHandle | None = None
        self._started = False
        self.log = log
        self.roster = Roster(config)

    def _answers(self, uid: str) -> bool | None:
        backend = self._ids.get(uid)
        return None if backend is None else self._alive(backend)

    def known(self, raw: Any) -> list[Listing]:
        """The last known list of the configuration, until Consul has answered once."""
        if self._platform is not None:
            rows = self._platform.known(raw)
            self._members.told(time.monotonic_ns(), PLATFORM, self._words(rows), True)
            listed, addresses = self._rows()
            self.roster.apply(0, Update.FULL, listed, addresses)
            return listed
        update, rows, endpoints = self.roster.read(raw)
        self.roster.apply(0, update, rows, endpoints)
        return rows

    def watch(self) -> None:
        """Read from now on; asked again it goes on as it does."""
        if self._platform is not None:
            self._platform.watch()
        if not self._started:
            self._started = True
            self._reader.start()

    def fetch(self) -> None:
        """Ask the platform again, if it is a source: the reader goes on by itself."""
        if self._platform is not None:
            self._platform.fetch()

    def move(self, address: Address) -> None:
        """The platform's list is elsewhere now."""
        if self._platform is not None:
            self._platform.move(address)

    def close(self) -> None:
        self._reader.close()
        if self._platform is not None:
            self._platform.close()
        if self._timer is not None:
            self._timer.cancel()

    # ---- what the sources say --------------------------------------------

    def _heard(self, source: str, words: list[Word], whole: bool) -> None:
        now = time.monotonic_ns()
        changed = self._members.told(now, source, words, whole)
        if self._may_tell() and (changed or whole):
            self._tell()
        self._plan(now)

    def _may_tell(self) -> bool:
        """A first list is told once it is whole: its beginning would empty the pool."""
        return self._platform is not None or self._reader.rounds() > 0

    def _platform_told(self, update: Update, rows: list[Listing], _stale: list[int]) -> None:
        if update == Update.FAILED:
            self._told(update, [], [])
            return
        now = time.monotonic_ns()
        self._members.told(now, PLATFORM, self._words(rows), update == Update.FULL)
        self._tell()  # also where nothing changed: whoever asked has its answer
        self._plan(now)

    def _words(self, rows: list[Listing]) -> list[Word]:
        """The platform's lines as words; one that has left has no address any more."""
        endpoints = self._platform.roster.endpoints if self._platform is not None else {}
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

    def _plan(self, now: int) -> None:
        due = self._members.due(now)
        if due and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later((due - now) / SECOND, self._settle)

    def _settle(self) -> None:
        self._timer = None
        now = time.monotonic_ns()
        if self._members.settle(now) and self._may_tell():
            self._tell()
        self._plan(now)

    # ---- what is told on ---------------------------------------------------

    def _tell(self) -> None:
        rows, endpoints = self._rows()
        stale = self.roster.apply(0, Update.FULL, rows, endpoints)
        self._told(Update.FULL, rows, stale)

    def _rows(self) -> tuple[list[Listing], dict[int, Address]]:
        all_of = self._members.members()
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
