"""An endpoint list from Consul, merged by `core.endpoints.merged_list`, for a node or a pool."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any

from loadbalancer.config.address import Address
from loadbalancer.config.node import Config
from loadbalancer.core import Listing, Settings, State, Update
from loadbalancer.core.balancing.model import SECOND, UNKNOWN
from loadbalancer.core.endpoints.attempt_evidence import AttemptEvidence, no_evidence
from loadbalancer.core.endpoints.merged_server import ListedServer
from loadbalancer.core.endpoints.server_report import Health, ServerReport
from loadbalancer.sources.consul import repeat_check
from loadbalancer.sources.consul.file import read_consul
from loadbalancer.sources.consul.list_updater import PLATFORM, ListUpdater
from loadbalancer.sources.discovery import Discovery, OnUpdate, SourceLogger
from loadbalancer.sources.endpoint_list import EndpointList, backend_id
from loadbalancer.sources.handed_list import InheritedEndpoint, InheritedSources

if TYPE_CHECKING:
    from loadbalancer.upgrade.handed_state import Inheritance

MAX_LOGGED_SERVERS = 5  # that are named in one line of the log
HEALTH = {State.READY: Health.PASSING, State.DRAINING: Health.MAINTENANCE, State.GONE: Health.GONE}

logger = logging.getLogger(__name__)


class ConsulMembers:
    """An endpoint list that is kept up to date from Consul, in the form of `Discovery`.

    With the platform's list as one more source a server is identified by its address, which both
    name: its id is then the same at every node, whichever source reported it first.

    Args:
        path: of the consul file.
        config: the node's settings.
        on_update: called with each update, its listings, and the backends whose connections it
            made stale.
        list_logger: where log lines go, for a caller that marks its own; None for this module's.
        evidence_of: what the host's own attempts show of a backend.

    Raises:
        ConsulError: the file can't be used.
    """

    stale_after_ns = 120 * SECOND  # a complete round and the pause before it take over 30 s

    __slots__ = (
        "_backends", "_boots", "_config", "_evidence_of", "_logger", "_on_update", "_platform",
        "_started", "_states", "_updater", "_zones", "endpoint_list", "forward",
    )  # fmt: skip

    def __init__(
        self,
        path: Path,
        config: Config,
        on_update: OnUpdate,
        list_logger: SourceLogger | None = None,
        evidence_of: Callable[[int], AttemptEvidence] = no_evidence,
    ) -> None:
        file = read_consul(str(path))
        without_cells = repeat_check.classes_without_cells(file, config.settings)
        if without_cells:
            logger.info("consul file %s: %s", path, repeat_check.describe(without_cells))
        self._config = config
        self._zones = {name: number for number, name in enumerate(config.zones)}
        self._on_update = on_update
        self._logger = list_logger or logger
        self._evidence_of = evidence_of
        self._backends: dict[str, int] = {}  # by a server's id
        self._boots: dict[int, int] = {}  # the start times of the listed backends as last published
        self._states: Mapping[str, State] = {}  # of the listed servers as last logged
        self._updater = ListUpdater(
            file, self._publish, config.seed, config.settings.drain_grace, self._evidence_of_uid,
            list_logger,
        )  # fmt: skip
        self._platform: Discovery | None = None
        if file.merges_platform_list:
            self._platform = Discovery(config, self._on_platform_update, list_logger)
        self._started = False
        self.forward: Callable[[bytes], None] | None = None  # Consul's rows are not passed on
        self.endpoint_list = EndpointList(config)

    # ---- what the host calls -----------------------------------------------------

    def load_configured(self, raw: Any) -> list[Listing]:
        """Apply the last known list of the configuration, until Consul has answered once."""
        if self._platform is not None:
            reports = self._reports(self._platform.load_configured(raw))
            self._updater.merged_list.update(time.monotonic_ns(), PLATFORM, reports, True)
            listings, addresses = self._listings()
            self.endpoint_list.apply(0, Update.FULL, listings, addresses)
            self._restarted(listings)
            return listings
        update, listings, addresses = self.endpoint_list.decode(raw)
        self.endpoint_list.apply(0, update, listings, addresses)
        return listings

    def inherit(self, inherited: Inheritance) -> list[Listing]:
        """Replace the list by what the sources told the preceding process; returns its listings.

        Without it a successor would go by a configuration that may be older than a drain, until
        each source has answered.
        """
        assert inherited.sources is not None
        snapshot = inherited.sources.snapshot
        if self._platform is not None:
            self._platform.inherit(self._platforms_list(inherited.sources, inherited))
        self._updater.restore(snapshot)
        listings, addresses = self._listings()
        self.endpoint_list.apply(0, Update.FULL, listings, addresses)
        self._restarted(listings)
        return listings

    def _platforms_list(self, sources: InheritedSources, inherited: Inheritance) -> Inheritance:
        """The platform's own list, so that its next change can be applied."""
        members = tuple(
            InheritedEndpoint(
                Listing(int(report.uid), State.READY, boot=report.boot),
                Address(report.host, report.port),
                sources.boots_ms.get(report.uid, 0),
            )
            for report in sources.snapshot.reports.get(PLATFORM, ())
            if report.health != Health.GONE
        )
        return inherited._replace(rev=sources.platform_rev, members=members)

    def handed_sources(self) -> InheritedSources:
        """What each source has told this process, for its successor."""
        snapshot = self._updater.merged_list.snapshot()
        if self._platform is None:
            return InheritedSources(snapshot, 0, {})
        own = self._platform.endpoint_list
        uids = [report.uid for report in snapshot.reports.get(PLATFORM, ())]
        return InheritedSources(snapshot, own.rev, {uid: own.boot_ms(int(uid)) for uid in uids})

    def watch(self) -> None:
        """Read from now on; a further call changes nothing."""
        if self._platform is not None:
            self._platform.watch()
        if not self._started:
            self._started = True
            self._updater.start()

    def reconfigure(self, address: Address, settings: Settings) -> None:
        """Read the platform's list at another address, with other settings."""
        if self._platform is not None:
            self._platform.reconfigure(address, settings)

    def suspend(self) -> None:
        """Do nothing: another process of this node reads for itself, and this one goes on."""

    def resume(self) -> None:
        """Do nothing: it was never suspended."""

    def on_forwarded(self, body: bytes) -> None:
        """Ignore a list from the other process of this node."""

    def close(self) -> None:
        """Drop all requests and timers."""
        self._updater.close()
        if self._platform is not None:
            self._platform.close()

    def _evidence_of_uid(self, uid: str) -> AttemptEvidence:
        backend = self._backends.get(uid)
        return AttemptEvidence.UNKNOWN if backend is None else self._evidence_of(backend)

    # ---- the platform's list -----------------------------------------------------

    def _on_platform_update(
        self, update: Update, listings: list[Listing], stale: list[int]
    ) -> None:
        del stale  # the merged list finds them anew
        if update == Update.FAILED:
            self._on_update(update, [], [])
            return
        reports = self._reports(listings)
        if not self._updater.update(PLATFORM, reports, update == Update.FULL):
            self._publish()  # also where nothing has changed: the host awaits an answer

    def _reports(self, listings: list[Listing]) -> list[ServerReport]:
        """The platform's listings as reports; a removed server has no address any more."""
        addresses = self._platform.endpoint_list.endpoints if self._platform is not None else {}
        zones = self._config.zones
        reports = []
        for listing in listings:
            host, port = addresses.get(listing.backend, ("", 0))
            is_known = listing.zone_is_known and listing.zone < len(zones)
            zone = zones[listing.zone] if is_known else ""
            report = ServerReport(
                str(listing.backend), host, port, zone, HEALTH[listing.state], listing.rating,
                listing.boot, listing.repeat_cell, listing.kind,
            )  # fmt: skip
            reports.append(report)
        return reports

    # ---- the merged list ---------------------------------------------------------

    def _publish(self) -> None:
        listings, addresses = self._listings()
        stale = set(self.endpoint_list.apply(0, Update.FULL, listings, addresses))
        stale |= self._restarted(listings)
        self._on_update(Update.FULL, listings, sorted(stale))

    def _restarted(self, listings: list[Listing]) -> set[int]:
        """Backends where another process listens now, whose start time may be the first one known.

        A backend is known by its address, so the server that replaces another one has its id, and
        the idle connections are those of the process before.
        """
        before, self._boots = self._boots, {row.backend: row.boot for row in listings}
        return {row.backend for row in listings if before.get(row.backend, row.boot) != row.boot}

    def _listings(self) -> tuple[list[Listing], dict[int, Address]]:
        """The listed servers, and their addresses by backend."""
        servers = self._updater.merged_list.servers()
        self._log_changes(servers)
        listed = [server for server in servers if server.state != State.GONE]
        self._backends = {server.uid: self._backend(server) for server in listed}
        listings = [self._listing(server) for server in listed]
        return listings, {self._backend(s): Address(s.host, s.port) for s in listed}

    def _backend(self, server: ListedServer) -> int:
        if self._platform is not None:
            return backend_id(f"{server.host}:{server.port}")
        return backend_id(server.uid)

    def _listing(self, server: ListedServer) -> Listing:
        zone = self._zones.get(server.zone, 0)
        return Listing(
            self._backend(server), server.state, zone, max(server.cell, 0), server.kind,
            server.boot, server.weight, server.zone in self._zones, server.cell != UNKNOWN,
        )  # fmt: skip

    # ---- the log -----------------------------------------------------------------

    def _log_changes(self, servers: list[ListedServer]) -> None:
        """Log which servers became ready and which are so no longer, and why."""
        states = {server.uid: server.state for server in servers if server.state != State.GONE}
        if self._states:
            ready = {uid for uid, state in self._states.items() if state == State.READY}
            self._log_some(
                "in", [s for s in servers if s.state == State.READY and s.uid not in ready]
            )
            self._log_some("out", [s for s in servers if s.state != State.READY and s.uid in ready])
        elif states and self._started:
            self._logger.info("%d servers listed", len(states))
        self._states = states

    def _log_some(self, direction: str, servers: list[ListedServer]) -> None:
        if not servers:
            return
        named = "; ".join(f"{s.uid} ({s.reason})" for s in servers[:MAX_LOGGED_SERVERS])
        omitted = len(servers) - MAX_LOGGED_SERVERS
        more = f" and {omitted} more" if omitted > 0 else ""
        self._logger.info("servers %s: %s%s", direction, named, more)
