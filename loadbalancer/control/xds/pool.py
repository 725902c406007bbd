"""One pool: a Balancer that sends nothing itself, its list of servers and its routes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable
from dataclasses import replace

from loadbalancer.config.node import Config
from loadbalancer.control.xds.file import PoolFile
from loadbalancer.control.xds.member_file import FileMembers
from loadbalancer.core import Balancer, Listing, State, Update
from loadbalancer.core.balancing.model import SECOND, ServerView
from loadbalancer.core.endpoints.attempt_evidence import alive
from loadbalancer.core.routes.table import Table
from loadbalancer.core.xds.drains import AssignmentInUse, DrainTracker
from loadbalancer.core.xds.load_reports import LoadReportAggregator
from loadbalancer.core.xds.plan import Plan, make_plan
from loadbalancer.core.xds.target_proxies import TargetProxies
from loadbalancer.sources.consul.source import ConsulMembers
from loadbalancer.sources.discovery import Discovery


def asking(config: Config) -> Config:
    """Whatever the node's way, nobody pushes a list to the control service: it asks."""
    return replace(config, settings=replace(config.settings, poll=True))


class Pool:
    """`changed` is called when what proxies hold may have to change, `urgent` for a drain."""

    def __init__(
        self,
        file: PoolFile,
        config: Config,
        table: Table,
        every: int,
        changed: Callable[[], None],
        urgent: Callable[[Pool], None],
        log: Callable[[str], None],
    ) -> None:
        self.name = file.name
        self.config = config
        self.table = table
        self.ledger = LoadReportAggregator(max(every, 1) * SECOND)
        self.drains: dict[str, DrainTracker] = {s.name: DrainTracker() for s in table.services}
        self._changed = changed
        self._urgent = urgent
        self._log = log
        self.members: FileMembers | Discovery | ConsulMembers
        if file.consul is not None:
            self.members = ConsulMembers(file.consul, config, self._told, self.log, self._answers)
        elif file.members is not None:
            self.members = FileMembers(file.members, config, self._told, self.log)
        else:
            self.members = Discovery(asking(config), self._told, self.log)
        self.balancer = Balancer(asking(config).settings, config.seed, self)
        self.heard = 0  # when the list was last known to be right
        self._known: list[ServerView] = []
        self._addresses: dict[int, tuple[str, int]] = {}
        self._backends: dict[tuple[str, int], int] = {}

    def _answers(self, backend: int) -> bool | None:
        """What the proxies' load reports say of a server."""
        return alive(self.balancer, time.monotonic_ns(), backend)

    def start(self) -> None:
        """Take the list to begin with over; ListError or OSError where it can't be used."""
        rows = self.members.known(self.config.known)
        now = time.monotonic_ns()
        self.heard = now
        self.balancer.start(now)
        self.balancer.on_members(now, Update.CACHED, rows)
        if not isinstance(self.members, Discovery):
            self.members.watch()
        self.refresh()

    def follow(self, table: Table) -> None:
        """Hand out other routes from now on."""
        self.table = table
        self.drains = {s.name: self.drains.get(s.name, DrainTracker()) for s in table.services}

    def _told(self, update: Update, rows: list[Listing], _stale: list[int]) -> None:
        now = time.monotonic_ns()
        if update != Update.FAILED:
            self.heard = now
        self.balancer.on_members(now, update, rows)
        self.refresh()
        leaving = [v.backend for v in self._known if v.state == State.DRAINING]
        grace = self.config.settings.drain_grace
        begun = [self.drains[s].update_draining(now, leaving, grace) for s in self.drains]
        if any(begun):
            self._urgent(self)
        else:
            self._changed()

    # ---- what is handed out -------------------------------------------

    def refresh(self) -> None:
        """Look at the Balancer once for all that is handed out; an empty list changes nothing."""
        view = self.balancer.view(time.monotonic_ns())
        if view:
            self._known = view
            self._addresses = {
                b: (a.host, a.port) for b, a in self.members.roster.endpoints.items()
            }
            self._backends = {address: b for b, address in self._addresses.items()}

    def known(self) -> bool:
        """Whether any server was ever known."""
        return bool(self._known)

    def old(self) -> str:
        """How long nothing was heard of the list, "" where it is not old."""
        now = time.monotonic_ns()
        age = now - self.heard
        if not self.balancer.view(now):
            return f"{self.name}: list is empty"
        if 0 < self.members.old_after <= age:
            return f"{self.name}: not heard of for {age // SECOND} s"
        return ""

    def plans(self, to: TargetProxies) -> list[Plan]:
        """Every service's plan for one group of proxies."""
        return [
            make_plan(
                s, self.config.settings, self.table.node_budget, self._known, self._addresses, to
            )
            for s in self.table.services
        ]

    def usable(self) -> frozenset[int]:
        """Servers that a set of endpoints handed out now lets take new work."""
        return frozenset(v.backend for v in self._known if v.state == State.READY)

    def late(self, service: str, holdings: Iterable[AssignmentInUse]) -> set[str]:
        """Proxies that may still send to a server that drains."""
        drains = self.drains[service]
        rows = list(holdings)
        leaving = [v.backend for v in self._known if v.state == State.DRAINING]
        return {name for b in leaving for name in drains.not_notified(b, rows)}

    # ---- load reports -------------------------------------------------

    def services(self) -> frozenset[str]:
        return frozenset(self.drains)

    def address(self, backend: int) -> str:
        """Where a server is, for the log."""
        host, port = self._addresses.get(backend, ("?", 0))
        return f"{host}:{port}"

    def size(self) -> int:
        return len(self._known)

    def at(self, host: str, port: int) -> int | None:
        return self._backends.get((host, port))

    def listed(self, backend: int) -> bool:
        return backend in self._addresses

    def learn(self) -> None:
        """Tell the Balancer what all proxies' reports say together."""
        now = time.monotonic_ns()
        self.ledger.prune(now, self._addresses)
        for v in self.ledger.assess() if self.ledger.take_new() else ():
            self.balancer.on_load_report(now, v.backend, v.latency_ratio, v.failing)

    # ---- Actions ------------------------------------------------------

    def send(self, request: int, backend: int, timeout: int) -> None:
        raise AssertionError("the control service has no requests")

    def refuse(self, request: int, retry_after: int) -> None:
        raise AssertionError("the control service has no requests")

    def fail(self, request: int) -> None:
        raise AssertionError("the control service has no requests")

    def cancel(self, request: int, attempt: int) -> None:
        raise AssertionError("the control service has no requests")

    def probe(self, backend: int) -> None:
        raise AssertionError("the control service probes nothing")

    def set_timer(self, token: int, due: int) -> None:
        delay = max(due - time.monotonic_ns(), 0) / 1e9
        asyncio.get_running_loop().call_later(delay, self._timer, token)

    def _timer(self, token: int) -> None:
        before = self._known
        self.balancer.on_timer(time.monotonic_ns(), token)
        self.refresh()
        if before != self._known:
            self._changed()

    def watch(self) -> None:
        self.members.watch()

    def log(self, text: str) -> None:
        self._log(f"pool {self.name}: {text}")
