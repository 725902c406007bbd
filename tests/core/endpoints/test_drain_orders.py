"""The platform's drains hold at an address, in every order in which two sources tell of it."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from itertools import count
from random import Random
from typing import Any

import pytest

from loadbalancer.core import State
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.endpoints.departure_limits import MergeLimits
from loadbalancer.core.endpoints.merged_list import MergedList
from loadbalancer.core.endpoints.merged_server import ListedServer
from loadbalancer.core.endpoints.server_report import Address, Health, ServerReport, Source
from tests.core.endpoints.reported_pool import pool, ready, report

CONSUL, PLATFORM = "consul", "platform"
OTHER = {CONSUL: PLATFORM, PLATFORM: CONSUL}
SOURCES = [Source(CONSUL, 1), Source(PLATFORM, 0, is_authoritative=True)]
# No limit on departures and no delay, so that each answer takes effect at once.
UNLIMITED = MergeLimits(1.0, 1, 1.0, drain_ns=0, flap_threshold=1e9)
ADDRESSES = 6
ANCHOR = report(0, uid="anchor")  # so that no list is empty, which would be ignored at first


def row(uid: str, number: int, **fields: Any) -> ServerReport:
    return report(number, uid=uid, **fields)


class Expected:
    """The table of docs/design/consul.md, for what the sources have reported to a process."""

    def __init__(self) -> None:
        self.rows: dict[str, dict[str, ServerReport]] = {CONSUL: {}, PLATFORM: {}}
        # Where a source has removed a server that the other one lists, by the other one's id.
        self.removed: dict[tuple[str, Address], str] = {}
        self.is_complete = False  # a complete list of the platform came, maybe an empty one
        self.has_platform_list = False

    def apply(self, source: str, reports: list[ServerReport], *, complete: bool) -> None:
        rows = self.rows[source]
        removed_uids = {entry.uid for entry in reports if entry.health == Health.GONE}
        removed_uids |= rows.keys() - {entry.uid for entry in reports} if complete else set()
        vacated = {rows.pop(uid).address for uid in removed_uids & rows.keys()}
        for address in vacated:
            other = self.at(OTHER[source], address)
            if other is not None and self.at(source, address) is None:
                self.removed[source, address] = other.uid
        rows.update({entry.uid: entry for entry in reports if entry.health != Health.GONE})
        self.is_complete |= source == PLATFORM and complete
        self.has_platform_list |= source == PLATFORM and self.is_complete and bool(reports)
        for (name, address), other_uid in [*self.removed.items()]:
            other = self.at(OTHER[name], address)
            if self.at(name, address) or other is None or other.uid != other_uid:
                del self.removed[name, address]

    def at(self, source: str, address: Address) -> ServerReport | None:
        """What a source says of an address; of two ids the one that may get requests counts."""
        rows = [entry for entry in self.rows[source].values() if entry.address == address]
        return min(rows, key=lambda entry: entry.health) if rows else None

    def has_another(self, source: str, row: ServerReport) -> bool:
        """Whether a source has named another active id at a row's address."""
        rows = [entry for entry in self.rows[source].values() if entry.address == row.address]
        return any(entry.health.is_healthy and entry.uid != row.uid for entry in rows)

    def is_ready(self, address: Address) -> bool:
        platform, consul = self.at(PLATFORM, address), self.at(CONSUL, address)
        if platform is None and (self.has_platform_list or (PLATFORM, address) in self.removed):
            return False
        if platform is not None and not platform.health.is_healthy:
            return False
        if consul is not None:
            return consul.health.is_healthy
        return platform is not None and (CONSUL, address) not in self.removed


class World:
    """What the two sources have, and one process after the other that they report to."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.numbers = count(1)
        self.now = 0
        self.rows = {CONSUL: {"anchor": ANCHOR}, PLATFORM: {"anchor": ANCHOR}}
        self.old_rows = dict(self.rows[PLATFORM])  # as an old `known` has them
        self.restart()

    def restart(self) -> None:
        """A new process begins, with one of the lists that `known` may hold."""
        self.merged, self.expected = MergedList(SOURCES, UNLIMITED), Expected()
        self.listed: dict[Address, ListedServer] = {}
        current = [*self.rows[PLATFORM].values()]
        without = [entry for entry in current if entry.health.is_healthy]
        known = self.random.choice([[], current, without, [*self.old_rows.values()], None])
        if known is not None:
            self.deliver(PLATFORM, known, complete=True)

    def upgrade(self) -> None:
        """A successor begins with what was reported to the process, and its list is the same."""
        old, self.merged = self.merged, MergedList(SOURCES, UNLIMITED)
        self.merged.restore(self.now, old.snapshot())
        before = {(s.host, s.port): s.boot for s in old.servers() if s.state == State.READY}
        self.deliver(CONSUL, [], complete=False)
        assert before == {address: s.boot for address, s in self.listed.items()}

    def step(self) -> None:
        source = self.random.choice([CONSUL, PLATFORM])
        self.now += self.random.randrange(1, SECOND)
        if self.random.random() < 0.05:
            self.old_rows = dict(self.rows[PLATFORM])
            self.restart()
        elif self.random.random() < 0.05:
            self.upgrade()
        elif self.random.random() < 0.6:
            changed = self.change(source)
            # Else this change comes with the next list; alone it may name two active ids.
            if self.random.random() < 0.5 and not self.expected.has_another(source, changed[-1]):
                self.deliver(source, changed, complete=False)
        else:
            self.deliver(source, [*self.rows[source].values()], complete=True)

    def change(self, source: str) -> list[ServerReport]:
        """Change one server of a source; returns what a partial answer tells of it."""
        rows, random = self.rows[source], self.random
        used = {entry.address for entry in rows.values()}
        free = [n for n in range(1, ADDRESSES + 1) if report(n).address not in used]
        uids = [uid for uid in rows if uid != "anchor"]
        if not uids or (free and random.random() < 0.3):
            number = random.choice(free)
            return self.put(source, row(f"{source}-{next(self.numbers)}", number))
        old = rows[random.choice(uids)]
        is_replaced = sum(entry.address == old.address for entry in rows.values()) > 1
        match 0 if is_replaced else random.randrange(5):
            case 0:
                del rows[old.uid]
                return [replace(old, health=Health.GONE)]
            case 1:
                healths = list(Health)[:4] if source == CONSUL else [Health(0), Health(3)]
                return self.put(source, replace(old, health=random.choice(healths)))
            case 2 if free:
                return self.put(source, replace(old, port=report(random.choice(free)).port))
            case 3 if source == PLATFORM:
                return self.put(source, replace(old, boot=10**15 + next(self.numbers)))
            case _:  # another process at the same address, in the platform's list beside the old
                new = replace(old, uid=f"{source}-{next(self.numbers)}", health=Health.PASSING)
                if source == CONSUL:
                    del rows[old.uid]
                    return [replace(old, health=Health.GONE), *self.put(source, new)]
                draining = replace(old, health=Health.MAINTENANCE)
                return self.put(source, draining) + self.put(source, new)

    def put(self, source: str, changed: ServerReport) -> list[ServerReport]:
        self.rows[source][changed.uid] = changed
        return [changed]

    def deliver(self, source: str, reports: list[ServerReport], *, complete: bool) -> None:
        """Tell the process, and compare its list with the table."""
        before, processes_before = self.listed, self.boots()
        self.expected.apply(source, reports, complete=complete)
        self.merged.update(self.now, source, reports, complete)
        self.merged.reassess(self.now)
        self.merged.reassess(self.now)
        servers = [s for s in self.merged.servers() if s.state == State.READY]
        self.listed = {(s.host, s.port): s for s in servers}
        addresses = [report(number).address for number in range(ADDRESSES + 1)]
        assert self.listed.keys() == {at for at in addresses if self.expected.is_ready(at)}
        assert len({s.uid for s in servers}) == len(servers)
        for at, (uid, boot) in self.boots().items():
            old_uid, old_boot = processes_before.get(at, (uid, boot))
            has_moved = (uid, boot) in processes_before.values()
            if boot not in (0, old_boot) and not has_moved:
                assert self.listed[at].boot == boot
            elif at in before and old_uid != uid:
                assert self.listed[at].boot != before[at].boot

    def boots(self) -> dict[Address, tuple[str, int]]:
        """The process at each address by the platform's list, where it names one: id and start."""
        active = [row for row in self.expected.rows[PLATFORM].values() if row.health.is_healthy]
        counted = Counter(row.address for row in active)
        return {
            row.address: (row.uid, row.boot)
            for row in active
            if row.address in self.listed and counted[row.address] == 1
        }


@pytest.mark.parametrize("first", range(0, 200, 50))
def test_no_order_of_reports_lists_a_server_that_the_platform_drains(first: int) -> None:
    """A drain that was reported before the server had ever been listed was lost.

    Consul's report, the later one, made a second server of the same process, which no drain
    concerned. Sequences of reports from both sources, restarts included, are held to the table.
    """
    for seed in range(first, first + 50):
        world = World(seed)
        for _ in range(60):
            world.step()


def platform_row(drain_form: str) -> list[ServerReport]:
    """Server 1 of two, which drains: by its state, by its absence, or replaced in its place."""
    state = Health.MAINTENANCE if drain_form == "state" else Health.PASSING
    return [row("p-1", 1, health=state), row("p-2", 2)][drain_form == "absence" :]


@pytest.mark.parametrize("drain_form", ["state", "absence"])
@pytest.mark.parametrize("first", [PLATFORM, CONSUL])
@pytest.mark.parametrize("health", [Health.PASSING, Health.MAINTENANCE])
def test_a_drain_reported_before_the_other_source_reports_holds(
    drain_form: str, first: str, health: Health
) -> None:
    """After a restart requests went to a server that drained, for good (`review/10`)."""
    merged = MergedList(SOURCES)
    reports = {PLATFORM: platform_row(drain_form), CONSUL: pool(2, 1, health=health)}
    for source in (first, *(reports.keys() - {first})):
        merged.update(0, source, reports[source], complete=True)
    assert len(ready(merged)) == 1
    merged.update(SECOND, CONSUL, pool(2), complete=True)
    assert len(ready(merged)) == 1


def test_maintenance_in_consul_is_obeyed_where_the_platform_names_a_new_server() -> None:
    """Consul's reports stayed with the server that had been replaced."""
    merged = MergedList(SOURCES)
    merged.update(0, PLATFORM, platform_row("replaced"), complete=True)
    merged.update(0, CONSUL, pool(2), complete=True)
    replaced = [row("p-9", 1), row("p-2", 2)]
    merged.update(SECOND, PLATFORM, replaced, complete=True)
    assert len(ready(merged)) == 2
    merged.update(2 * SECOND, CONSUL, pool(2, 1, health=Health.MAINTENANCE), complete=True)
    assert len(ready(merged)) == 1


def test_a_start_time_that_only_the_platform_reports_is_listed() -> None:
    """Consul decides the state and reports no start time: a restarted server was not cold."""
    merged = MergedList(SOURCES)
    merged.update(0, CONSUL, pool(2), complete=True)
    merged.update(0, PLATFORM, pool(2), complete=True)
    merged.update(SECOND, PLATFORM, [report(1, boot=7)], complete=False)
    assert {s.boot for s in merged.servers()} == {0, 7}
