"""One pool: its Balancer, which handles no requests itself, its list of servers and its routes."""

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


def _raise_unexpected(action: str, *arguments: int) -> NoReturn:
    raise AssertionError(f"{action} {arguments}: the control service handles no requests")


class PoolLog(logging.LoggerAdapter[logging.Logger]):
    """Prefixes each log line with the pool's name."""

    def __init__(self, pool_name: str) -> None:
        super().__init__(logger, {})
        self._pool_name = pool_name

    def log(self, level: int, msg: object, *args: object, **kwargs: Any) -> None:
        """Log `pool NAME: message`."""
        text = str(msg) % args if args else msg
        super().log(level, "pool %s: %s", self._pool_name, text, **kwargs)


def with_polling_enabled(config: Config) -> Config:
    """Return the configuration with polling enabled; no list is pushed to the control service."""
    return replace(config, settings=replace(config.settings, poll=True))


class Pool:
    """One Balancer with its servers, routes, load reports and drains; hosts the Balancer's actions.

    Args:
        source: the pool's entry in the control file, its configuration and its routes.
        report_interval_s: seconds between a proxy's load reports, 0 for no reports.
        on_change: called when the proxies' resources may have to change.
        on_drain: called instead of `on_change` when a server begins to drain.
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
        self.routes = source.routes
        self.load_reports = LoadReportAggregator(max(report_interval_s, 1) * SECOND)
        self._drains = {service.name: DrainTracker() for service in source.routes.services}
        self._on_change = on_change
        self._on_drain = on_drain
        self._log = PoolLog(self.name)
        self.members = self._make_members(source)
        self.balancer = Balancer(with_polling_enabled(self.config).settings, self.config.seed, self)
        self.confirmed_at = 0  # monotonic ns of the last successful update of the list
        self._views: list[ServerView] = []
        self._addresses: dict[int, tuple[str, int]] = {}
        self._backends: dict[tuple[str, int], int] = {}

    def _make_members(self, source: PoolInput) -> Members:
        config, pool = with_polling_enabled(source.config), source.pool
        if pool.consul is not None:
            return ConsulMembers(pool.consul, config, self._on_update, self._log, self._evidence_of)
        if pool.members is not None:
            return FileMembers(pool.members, config, self._on_update, self._log)
        return Discovery(config, self._on_update, self._log)

    def _evidence_of(self, backend: int) -> AttemptEvidence:
        """Return the evidence on a server from the proxies' load reports."""
        return evidence_of(self.balancer, time.monotonic_ns(), backend)

    def start(self) -> None:
        """Start with the configured list, and follow its changes from then on.

        Raises:
            ListError: the list is invalid.
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
        """Replace the routes and the address of discovery."""
        self.routes = source.routes
        self._drains = {
            service.name: self._drains.get(service.name, DrainTracker())
            for service in source.routes.services
        }
        if not isinstance(self.members, FileMembers):
            # Consul's members may read the platform's list too, which moves with its address.
            self.members.reconfigure(
                source.config.discovery, with_polling_enabled(source.config).settings
            )

    def close(self) -> None:
        """Stop following the list of servers."""
        self.members.close()

    def _on_update(self, update: Update, rows: list[Listing], _stale: list[int]) -> None:
        now = time.monotonic_ns()
        if update != Update.FAILED:
            self.confirmed_at = now
        self.balancer.on_members(now, update, rows)
        self.refresh()
        draining = self._draining()
        grace = self.config.settings.drain_grace
        started = [drains.update_draining(now, draining, grace) for drains in self._drains.values()]
        if any(started):
            self._on_drain(self)
        else:
            self._on_change()

    def refresh(self) -> None:
        """Use the Balancer's current view for the plans, unless it is empty.

        If the list becomes empty, proxies keep their last endpoints, because a proxy without
        endpoints fails every request.
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
        """Return whether any server has ever been known."""
        return bool(self._views)

    def stale_list(self) -> str:
        """Return why the list is stale, or "" if it is not."""
        now = time.monotonic_ns()
        age = now - self.confirmed_at
        if not self.balancer.endpoint_views(now):
            return f"{self.name}: list is empty"
        if 0 < self.members.stale_after_ns <= age:
            return f"{self.name}: no update for {age // SECOND} s"
        return ""

    def size(self) -> int:
        """Return the number of servers."""
        return len(self._views)

    def address(self, backend: int) -> str:
        """Return a server's address for the log."""
        host, port = self._addresses.get(backend, ("?", 0))
        return f"{host}:{port}"

    def backend_at(self, host: str, port: int) -> int | None:
        """Return the server at an address, or None if there is none."""
        return self._backends.get((host, port))

    def is_listed(self, backend: int) -> bool:
        """Return whether a server is in the list."""
        return backend in self._addresses

    def services(self) -> Collection[str]:
        """Return the names of the services, which are also cluster names, in the file's order."""
        return self._drains.keys()

    def plans(self, target: TargetProxies) -> list[Plan]:
        """Compute each service's plan for one group of proxies."""
        settings, budget = self.config.settings, self.routes.node_budget
        return [
            make_plan(service, settings, budget, self._views, self._addresses, target)
            for service in self.routes.services
        ]

    def accepting(self) -> frozenset[int]:
        """Return the servers that accept new requests in the current view."""
        return frozenset(view.backend for view in self._views if view.state == State.READY)

    def record_assignments(self, group: GroupKey, versions: Mapping[str, str]) -> None:
        """Record the cluster load assignments that a group is sent; `versions` is by service."""
        accepting = self.accepting()
        for service, drains in self._drains.items():
            if service in versions:
                drains.record_assignment(group, versions[service], accepting)

    def not_notified(self, service: str, in_use: Iterable[AssignmentInUse]) -> set[str]:
        """Return the proxies that may still send new requests to a draining server."""
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
        """Return reports on the service's drains whose grace period is over."""
        return self._drains[service].due_reports(now, in_use)

    def _draining(self) -> list[int]:
        return [view.backend for view in self._views if view.state == State.DRAINING]

    def assess_reports(self) -> None:
        """Assess the reports of all proxies together, and pass the result to the Balancer."""
        now = time.monotonic_ns()
        self.load_reports.prune(now, self._addresses)
        if self.load_reports.take_new():
            for found in self.load_reports.assess():
                self.balancer.on_load_report(now, found.backend, found.latency_ratio, found.failing)

    # The actions of the Balancer (`loadbalancer.core.Actions`).

    def send(self, request: int, backend: int, timeout: int) -> None:
        """Never called: there are no requests."""
        _raise_unexpected("send", request, backend, timeout)

    def refuse(self, request: int, retry_after: int) -> None:
        """Never called: there are no requests."""
        _raise_unexpected("refuse", request, retry_after)

    def fail(self, request: int) -> None:
        """Never called: there are no requests."""
        _raise_unexpected("fail", request)

    def cancel(self, request: int, attempt: int) -> None:
        """Never called: there are no requests."""
        _raise_unexpected("cancel", request, attempt)

    def set_timer(self, token: int, due: int) -> None:
        """Call `Balancer.on_timer` at `due`, in monotonic nanoseconds."""
        delay_s = max(due - time.monotonic_ns(), 0) / SECOND
        asyncio.get_running_loop().call_later(delay_s, self._on_timer, token)

    def _on_timer(self, token: int) -> None:
        before = self._views
        self.balancer.on_timer(time.monotonic_ns(), token)
        self.refresh()
        if before != self._views:
            self._on_change()

    def watch(self) -> None:
        """Follow changes of the list of servers."""
        self.members.watch()

    def log(self, text: str) -> None:
        """Log a line of the Balancer."""
        self._log.info("%s", text)
