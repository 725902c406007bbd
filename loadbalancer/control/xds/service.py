"""The control service: serves the decisions of one Balancer for each pool to proxies over xDS.

The list of servers comes from the platform's discovery, from Consul or from a file; routes and
classes come from the routes file. A reload reads the routes and the address of discovery again.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Iterable, Sequence
from dataclasses import replace

from loadbalancer.config.node import ConfigError
from loadbalancer.control.xds.client_status import ClientStatusService, ConnectedClient
from loadbalancer.control.xds.discovery_service import DiscoveryService
from loadbalancer.control.xds.file import ControlConfig, ControlFileError, read_file
from loadbalancer.control.xds.load_reports import LoadReportingService
from loadbalancer.control.xds.pool import Pool
from loadbalancer.control.xds.pool_inputs import PoolInput, read_inputs
from loadbalancer.control.xds.proxies import ConnectedProxies
from loadbalancer.control.xds.proxy_identity import ProxyGroup
from loadbalancer.control.xds.snapshot_builder import SnapshotBuilder
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.xds.drains import MARGIN_FRACTION, DrainReport
from loadbalancer.core.xds.load_reports import ReportCounts
from loadbalancer.core.xds.snapshot import Snapshot
from loadbalancer.faults import run_logged

logger = logging.getLogger(__name__)

# After a publication, changes are collected for the longer of these two times before the next one.
PUBLISH_PAUSE_S = 0.05
PUBLISH_PAUSE_FACTOR = 2.0  # times the duration of the publication: limits its share of CPU time
ASSESS_INTERVAL_S = 1.0  # between assessments of the load reports
# Fraction of a drain's grace period after which endpoints are sent to proxies that have not
# acknowledged the drain, without waiting for their acknowledgements.
PUSH_FRACTION = 0.4
TIMER_MARGIN_S = 0.002  # because a timer may fire some nanoseconds early
MAX_LOGGED_PROXIES = 10  # proxies named in one log line


class ControlService:
    """All pools, and the gRPC services that publish their decisions."""

    def __init__(self, path: str, config: ControlConfig, inputs: Sequence[PoolInput]) -> None:
        self._path = path
        self.config = config
        interval_s = config.report_interval_s
        self._pools = [
            Pool(source, interval_s, self.publish_soon, self._on_drain) for source in inputs
        ]
        by_name = {pool.name: pool for pool in self._pools}
        self._builder = SnapshotBuilder(self._pools, config.envoy_listener, config.proxy_slow_start)
        self._proxies = ConnectedProxies(self._build)
        self.discovery = DiscoveryService(self._proxies, self.publish_soon, config.tls)
        self.load_reporting = LoadReportingService(lambda: by_name, interval_s, config.tls)
        self.client_status = ClientStatusService(
            self._clients, self._builder.withheld, self._stale_lists, self._report_counts
        )
        self._publication: asyncio.TimerHandle | None = None
        self._paused_until = 0.0  # loop time before which nothing is published
        self._was_stale = False

    def start(self) -> None:
        """Start all pools and the periodic assessment of load reports.

        Raises:
            ListError: a pool's list is invalid.
            OSError: a pool's list can't be read.
        """
        for pool in self._pools:
            pool.start()
        asyncio.get_running_loop().call_later(ASSESS_INTERVAL_S, self._assess)

    def close(self) -> None:
        """Stop following the pools' lists."""
        for pool in self._pools:
            pool.close()

    def reload(self) -> None:
        """Read the files again, and apply all changes of routes and discovery, or none."""
        try:
            config = read_file(self._path)
            inputs = self._reloadable_inputs(config)
        except (ControlFileError, ConfigError) as err:
            logger.info("reload: nothing changed: %s", err)
            return
        self.config = config
        for pool, source in zip(self._pools, inputs, strict=True):
            pool.reload(source)
        logger.info("reload: applied")
        self._publish()

    def _reloadable_inputs(self, config: ControlConfig) -> list[PoolInput]:
        """Read the pools' files for a reload.

        Raises:
            ControlFileError: a file can't be used, or a change requires a restart.
            ConfigError: a pool's node configuration can't be used.
        """
        if replace(config, pools=()) != replace(self.config, pools=()):
            raise ControlFileError("only routes and discovery's address change without a restart")
        fixed_parts = [pool.fixed_part() for pool in config.pools]
        if fixed_parts != [pool.fixed_part() for pool in self.config.pools]:
            raise ControlFileError(
                "a change of pools or of their source of servers needs a restart"
            )
        return read_inputs(config)

    def publish_soon(self) -> None:
        """Schedule a publication: at once, or after the pause with all changes until then."""
        if self._publication is None:
            loop = asyncio.get_running_loop()
            due = max(self._paused_until, loop.time())
            self._publication = loop.call_at(due, self._publish)

    def _publish(self) -> None:
        if self._publication is not None:
            self._publication.cancel()
            self._publication = None
        loop = asyncio.get_running_loop()
        started = loop.time()
        snapshots = {}
        for group in self._proxies.groups():
            snapshot = self._build(group)
            if snapshot is not None:
                snapshots[group] = snapshot
        if snapshots:
            self._proxies.publish(snapshots)
        now = loop.time()
        self._paused_until = now + max(PUBLISH_PAUSE_S, PUBLISH_PAUSE_FACTOR * (now - started))

    def _build(self, group: ProxyGroup) -> Snapshot | None:
        return self._builder.build(group, self._proxies.count())

    def _on_drain(self, pool: Pool) -> None:
        """Publish a drain at once, and schedule its push to slow proxies and its report.

        An exception in the publication is logged, so that both timers are set in any case.
        Otherwise the drain would be neither pushed nor reported.
        """
        run_logged(self._publish)
        loop = asyncio.get_running_loop()
        grace_s = pool.config.settings.drain_grace / SECOND
        loop.call_later(grace_s * PUSH_FRACTION, self._push_drain, pool)
        report_s = grace_s * (1.0 - MARGIN_FRACTION) + TIMER_MARGIN_S
        loop.call_later(report_s, self._report_drains, pool)

    def _push_drain(self, pool: Pool) -> None:
        for service in pool.services():
            in_use = self._proxies.assignments_in_use(service)
            self._proxies.push_endpoints(pool.not_notified(service, in_use))

    def _report_drains(self, pool: Pool) -> None:
        now = time.monotonic_ns()
        for service in pool.services():
            in_use = self._proxies.assignments_in_use(service)
            for report in pool.due_drain_reports(service, now, in_use):
                logger.info("%s", _drain_line(service, pool.address(report.backend), report))

    def _assess(self) -> None:
        """Assess the load reports of all pools, and schedule the next assessment.

        Exceptions are logged for each step. If one kept the timer from being set, the weights of
        all pools would stop following their load reports.
        """
        for pool in self._pools:
            run_logged(pool.assess_reports)
        run_logged(self._log_stale_lists)
        asyncio.get_running_loop().call_later(ASSESS_INTERVAL_S, self._assess)

    def _log_stale_lists(self) -> None:
        stale = self._stale_lists()
        if bool(stale) != self._was_stale:
            if stale:
                logger.info("endpoint list is stale, proxies keep their last one: %s", stale)
            else:
                logger.info("endpoint list is up to date again")
        self._was_stale = bool(stale)

    def _stale_lists(self) -> str:
        return "; ".join(filter(None, (pool.stale_list() for pool in self._pools)))

    def _clients(self) -> Iterable[ConnectedClient]:
        return (
            ConnectedClient(stream.identity, stream.session) for stream in self._proxies.streams
        )

    def _report_counts(self, node_id: str) -> ReportCounts:
        counts = [pool.load_reports.counts(node_id) for pool in self._pools]
        counted = sum(count.counted for count in counts)
        return ReportCounts(counted, sum(count.rejected for count in counts))


def _drain_line(service: str, address: str, report: DrainReport) -> str:
    """Format the log line of a drain: which proxies acknowledged it in time, and which did not."""
    text = f"{service}: drain of {address} acknowledged in time by {report.notified} proxies"
    missed = report.not_notified
    if not missed:
        return text
    names = ", ".join(missed[:MAX_LOGGED_PROXIES])
    unnamed = len(missed) - MAX_LOGGED_PROXIES
    suffix = f" and {unnamed} more" if unnamed > 0 else ""
    return f"{text}, NOT by {len(missed)}: {names}{suffix}"
