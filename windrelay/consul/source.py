"""A pool's list of servers from Consul, merged by flinthatch.members."""

from __future__ import annotations

import asyncio
import ssl
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from flinthatch import Listing, State, Update
from flinthatch.members import Member, Members, Rules, Source, Word
from windrelay.config import Address, Config
from windrelay.consul.file import (
    ConsulError,
    ConsulFile,
    read_consul,
    read_token,
    source_name,
)
from windrelay.consul.reader import Reader
from windrelay.discovery import Roster, backend_id

SECOND = 1_000_000_000


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


def merged(file: ConsulFile, drain: int = 2 * SECOND) -> Members:
    """The list of one file's datacentres; `drain` in nanoseconds."""
    sources = [Source(source_name(dc), 1, file.fresh * SECOND) for dc in file.datacentres]
    return Members(sources, Rules(drain=drain))


class ConsulMembers:
    """What a pool asks of a source: a roster, and to be told of changes."""

    old_after = 120 * SECOND  # a whole round and the pause before it take over 30 s

    __slots__ = (
        "_members", "_reader", "_started", "_timer", "_told", "_zones", "log", "roster",
    )  # fmt: skip

    def __init__(
        self,
        path: Path,
        config: Config,
        told: Callable[[Update, list[Listing], list[int]], None],
        log: Callable[[str], None],
    ) -> None:
        file = read_consul(str(path))
        self._zones = {name: i for i, name in enumerate(config.zones)}
        self._told = told
        self._members = merged(file, config.settings.drain_grace)
        self._reader = open_reader(file, self._heard, log, config.seed)
        self._timer: asyncio.TimerHandle | None = None
        self._started = False
        self.log = log
        self.roster = Roster(config)

    def known(self, raw: Any) -> list[Listing]:
        """The last known list of the configuration, until Consul has answered once."""
        update, rows, endpoints = self.roster.read(raw)
        self.roster.apply(0, update, rows, endpoints)
        return rows

    def watch(self) -> None:
        """Read from now on; asked again it goes on as it does."""
        if not self._started:
            self._started = True
            self._reader.start()

    def fetch(self) -> None:
        """Nothing to do: the reader goes on by itself."""

    def close(self) -> None:
        self._reader.close()
        if self._timer is not None:
            self._timer.cancel()

    def _heard(self, source: str, words: list[Word], whole: bool) -> None:
        now = time.monotonic_ns()
        changed = self._members.told(now, source, words, whole)
        # A first list is told once it is whole: its beginning would empty the pool.
        if self._reader.rounds() and (changed or whole):
            self._tell()
        self._plan(now)

    def _plan(self, now: int) -> None:
        due = self._members.due(now)
        if due and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later((due - now) / SECOND, self._settle)

    def _settle(self) -> None:
        self._timer = None
        now = time.monotonic_ns()
        if self._members.settle(now) and self._reader.rounds():
            self._tell()
        self._plan(now)

    def _tell(self) -> None:
        members = [m for m in self._members.members() if m.state != State.GONE]
        rows = [self._listing(m) for m in members]
        endpoints = {backend_id(m.uid): Address(m.host, m.port) for m in members}
        stale = self.roster.apply(0, Update.FULL, rows, endpoints)
        self._told(Update.FULL, rows, stale)

    def _listing(self, m: Member) -> Listing:
        zone = self._zones.get(m.zone, 0)
        return Listing(backend_id(m.uid), m.state, zone, 0, 0, m.boot, m.weight)
