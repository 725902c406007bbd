"""One pool: a Balancer that sends nothing itself, its list of servers and its routes."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import replace
from typing import Any, NoReturn

from loadbalancer.config.node import Config
from loadbalancer.control.xds.member_file import FileMembers
from loadbalancer.control.xds.pool_inputs import PoolInput
from loadbalancer.core import Balancer, Listing, State, Update
from loadbalancer.core.balancing.model import SECOND, ServerView
from loadbalancer.core.endpoints.attempt_evidence import AttemptEvidence, evidence_of
from loadbalancer.core.xds.drains import AssignmentInUse, DrainReport, DrainTracker, GroupKey
from loadbalancer.core.xds.load_reports import LoadReportAggregator
from loadbalancer.core.xds.plan import Plan, make_plan
from loadbalancer.core.xds.target_proxies import TargetProxies
from loadbalancer.sources.consul.source import ConsulMembers
from loadbalancer.sources.discovery import Discovery

logger = logging.getLogger(__name__)

Members = FileMembers | Discovery | ConsulMembers


def _unexpected(action: str, *arguments: int) -> NoReturn:
    raise AssertionError(f"{action} {arguments}: the control service sends nothing to servers")


class PoolLog(logging.LoggerAdapter[logging.Logger]):
    """Writes each line behind the pool's name."""

    def __init__(self, pool_name: str) -> None:
        super().__init__(logger, {})
        self._pool_name = pool_name

    def log(self, level: int, msg: object, *args: object, **kwargs: Any) -> None:
        """Write `pool NAME: message`."""
        text = str(msg) % args if args else msg
        super().log(level, "pool %s: %s", self._pool_name, text, **kwargs)


def polling(config: Config) -> Config:
    """The configuration as the control service uses it: nobody pushes a list to it, it polls."""
    return replace(config, settings=replace(config.settings, poll=True))


class Pool:
    """One Balancer and what it decides on.

    Args:
        source: the pool's part of the control file, its configuration and its routes.
        report_interval_s: seconds between a proxy's load reports, 0 for none.
        on_change: called when what proxies have may have to change.
        on_drain: called in place of it when a server begins to drain.
    """

    def __init__(
        self,
        source: PoolInput,
        report_interval_s: int,
        on_change: Callable[[], None],
        on_drain: Callable[[Pool], None],
    ) -> None:
        self.name = source.pool.name
        self.config = source.config
        self.table = source.table
        self.load_reports = LoadReportAggregator(max(report_interval_s, 1) * SECOND)
        self._drains = {service.name: DrainTracker() for service in source.table.services}
        self._on_change = on_change
        self._on_drain = on_drain
        self._log = PoolLog(self.name)
        self.members = self._make_members(source)
        self.balancer = Balancer(polling(self.config).settings, self.config.seed, self)
        self.confirmed_at = 0  # monotonic ns: when the list was last known to be right
        self._views: list[ServerView] = []
        self._addresses: dict[int, tuple[str, int]] = {}
        self._backends: dict[tuple[str, int], int] = {}

    def _make_members(self, source: PoolInput) -> Members:
        config, pool = source.config, source.pool
        if pool.consul is not None:
            return ConsulMembers(pool.consul, config, self._on_update, self._log, self._evidence_of)
        if pool.members is not None:
            return FileMembers(pool.members, config, self._on_update, self._log)
        return Discovery(polling(config), self._on_update, self._log)

    def _evidence_of(self, backend: int) -> AttemptEvidence:
        """What the proxies' load reports say of a server."""
        return evidence_of(self.balancer, time.monotonic_ns(), backend)

    def start(self) -> None:
        """Begin with the list that is known, and follow it from then on.

        Raises:
            ListError: the list can't be used.
            OSError: the list can't be read.
        """
        rows = self.members.load_configured(self.config.known)
        now = time.monotonic_ns()
        self.confirmed_at = now
        self.balancer.start(now)
        self.balancer.on_members(now, Update.CACHED, rows)
        if not isinstance(self.members, Discovery):
            self.members.watch()
        self.refresh()

    def reload(self, source: PoolInput) -> None:
        """Use other routes, and discovery's other address, from now on."""
        self.table = source.table
        self._drains = {
            service.name: self._drains.get(service.name, DrainTracker())
            for service in source.table.services
        }
        if isinstance(self.members, Discovery):
            self.members.move(source.config.discovery, polling(source.config).settings)

    def close(self) -> None:
        """Follow the list no longer."""
        self.members.close()

    def _on_update(self, update: Update, rows: list[Listing], _stale: list[int]) -> None:
        now = time.monotonic_ns()
        if update != Update.FAILED:
            self.confirmed_at = now
        self.balancer.on_members(now, update, rows)
        self.refresh()
        draining = self._draining()
        grace = self.config.settings.drain_grace
        begun = [drains.update_draining(now, draining, grace) for drains in self._drains.values()]
        if any(begun):
            self._on_drain(self)
        else:
            self._on_change()

    # ---- the servers ----------------------------------------------------

    def refresh(self) -> None:
        """Take the Balancer's present view for all plans; an empty list changes nothing.

        Guards proxies against a list that turns empty: their last endpoints stay, because a
        proxy without endpoints fails every request.
        """
        views = self.balancer.endpoint_views(time.monotonic_ns())
        if views:
            self._views = views
            self._addresses = {
                backend: (address.host, address.port)
                for backend, address in self.members.endpoint_list.endpoints.items()
            }
            self._backends = {address: backend for backend, address in self._addresses.items()}

    def has_servers(self) -> bool:
        """Whether any server was ever known."""
        return bool(self._views)

    def stale_list(self) -> str:
        """Why the list is stale, "" where it is not."""
        now = time.monotonic_ns()
        age = now - self.confirmed_at
        if not self.balancer.endpoint_views(now):
            return f"{self.name}: list is empty"
        if 0 < self.members.stale_after_ns <= age:
            return f"{self.name}: not heard of for {age // SECOND} s"
        return ""

    def size(self) -> int:
        """How many servers it has."""
        return len(self._views)

    def address(self, backend: int) -> str:
        """A server's address, for the log."""
        host, port = self._addresses.get(backend, ("?", 0))
        return f"{host}:{port}"

    def backend_at(self, host: str, port: int) -> int | None:
        """The server at an address."""
        return self._backends.get((host, port))

    def is_listed(self, backend: int) -> bool:
        """Whether a server is in the list."""
        return backend in self._addresses

    # ---- plans ------------------------------------------------------------

    def services(self) -> Collection[str]:
        """Names of its services, which are those of their clusters, in the routes file's order."""
        return self._drains.keys()

    def plans(self, target: TargetProxies) -> list[Plan]:
        """Every service's plan for one group of proxies."""
        settings, budget = self.config.settings, self.table.node_budget
        return [
            make_plan(service, settings, budget, self._views, self._addresses, target)
            for service in self.table.services
        ]

    # ---- drains -------------------------------------------------------------

    def accepting(self) -> frozenset[int]:
        """Servers that take new work in the present view."""
        return frozenset(view.backend for view in self._views if view.state == State.READY)

    def record_assignments(self, group: GroupKey, versions: Mapping[str, str]) -> None:
        """Record the cluster load assignments that a group is sent, versions by service."""
        accepting = self.accepting()
        for service, drains in self._drains.items():
            if service in versions:
                drains.record_assignment(group, versions[service], accepting)

    def not_notified(self, service: str, in_use: Iterable[AssignmentInUse]) -> set[str]:
        """Proxies that may still send new work to a server that drains."""
        drains = self._drains[service]
        assignments = list(in_use)
        return {
            proxy
            for backend in self._draining()
            for proxy in drains.not_notified(backend, assignments)
        }

    def due_drain_reports(
        self, service: str, now: int, in_use: Iterable[AssignmentInUse]
    ) -> list[DrainReport]:
        """Reports of a service's drains whose time has elapsed."""
        return self._drains[service].due_reports(now, in_use)

    def _draining(self) -> list[int]:
        return [view.backend for view in self._views if view.state == State.DRAINING]

    # ---- load reports -------------------------------------------------------

    def assess_reports(self) -> None:
        """Pass on to the Balancer what all proxies' reports together say."""
        now = time.monotonic_ns()
        self.load_reports.prune(now, self._addresses)
        if self.load_reports.take_new():
            for found in self.load_reports.assess():
                self.balancer.on_load_report(now, found.backend, found.latency_ratio, found.failing)

    # ---- the Balancer's actions -----------------------------------------------

    def send(self, request: int, backend: int, timeout: int) -> None:
        """Never called: there are no requests."""
        _unexpected("send", request, backend, timeout)

    def refuse(self, request: int, retry_after: int) -> None:
        """Never called: there are no requests."""
        _unexpected("refuse", request, retry_after)

    def fail(self, request: int) -> None:
        """Never called: there are no requests."""
        _unexpected("fail", request)

    def cancel(self, request: int, attempt: int) -> None:
        """Never called: there are no requests."""
        _unexpected("cancel", request, attempt)

    def set_timer(self, token: int, due: int) -> None:
        """Call the Balancer's timer at `due`, monotonic nanoseconds."""
        delay_s = max(due - time.monotonic_ns(), 0) / SECOND
        asyncio.get_running_loop().call_later(delay_s, self._on_timer, token)

    def _on_timer(self, token: int) -> None:
        before = self._views
        self.balancer.on_timer(time.monotonic_ns(), token)
        self.refresh()
        if before != self._views:
            self._on_change()

    def watch(self) -> None:
        """Follow the list of servers."""
        self.members.watch()

    def log(self, text: str) -> None:
        """Write a line of the Balancer, or of the source of servers."""
        self._log.info("%s", text)
