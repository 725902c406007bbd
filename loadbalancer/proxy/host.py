"""The host of one Balancer: composes its parts, and brings it its endpoint list.

A host turns what happens into events of the Balancer and the Balancer's actions into what
is to happen; it decides nothing. Its parts, each above those that it uses:

- `open_requests`: which requests are open, and their end;
- `balancer_events`: how an event reaches the Balancer; each attempt's one outcome;
- `attempts`: the actions that make attempts, and giving them up;
- `client_events`: requests that arrive, clients that leave;
- `timer_events`, `timers`: what has run out of time;
- `descriptors`: how many connections there may be.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from loadbalancer.core import Balancer, Listing, Update
from loadbalancer.core.learned_state import restore
from loadbalancer.proxy.client_events import ClientEvents
from loadbalancer.proxy.descriptors import DescriptorBudget
from loadbalancer.proxy.open_requests import BAD_GATEWAY, SERVICE_UNAVAILABLE
from loadbalancer.proxy.timer_events import TimerEvents
from loadbalancer.proxy.upstream.pool import ConnectionPool
from loadbalancer.sources.discovery import Discovery

if TYPE_CHECKING:
    from loadbalancer.config.node import Config
    from loadbalancer.core import Settings
    from loadbalancer.core.balancing.ports import LimitShare
    from loadbalancer.core.balancing.route_policies import RoutePolicies
    from loadbalancer.gossip_transport.transport import GossipTransport
    from loadbalancer.proxy.routing import Routing
    from loadbalancer.sources.consul.source import ConsulMembers
    from loadbalancer.upgrade.handed_state import Inheritance

logger = logging.getLogger(__name__)

MIN_FLEET = 2  # nodes; a single one has no other to gossip with


class Node(ClientEvents, TimerEvents, DescriptorBudget):
    """Implements `loadbalancer.core.Actions` over real sockets.

    Args:
        config: the node's configuration.
        loop: the event loop of the process.
        on_list_usable: called with each endpoint list that requests can be served or
            rejected by: one with an endpoint that is ready, or a complete one.

    Raises:
        SourceError: where the file that names the source of endpoints can't be used.
    """

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        on_list_usable: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__(config, loop)
        DescriptorBudget.__init__(self, config)
        self.on_descriptor_freed: Callable[[], None] = (
            lambda: None
        )  # set by the listener: a descriptor is free
        self._on_list_usable = on_list_usable
        self.upstream = ConnectionPool(self)
        self.discovery: Discovery | ConsulMembers = self._endpoint_source()
        self.balancer = Balancer(config.settings, config.seed, self)
        # What the Balancer has taken over whole; None where it has raised on further settings.
        self.applied_settings: Settings | None = config.settings
        self.peers: GossipTransport | None = None  # where gossip between nodes is allowed
        # With a routes file, see `reload`: what is in force, and what counts for open requests.
        self.routing: Routing | None = None
        self.policies: RoutePolicies | None = None

    def _endpoint_source(self) -> Discovery | ConsulMembers:
        config = self.config
        if not config.consul:
            return Discovery(config, self.on_list_update)
        # Imported here: a node without Consul does not pay for the modules.
        from pathlib import Path

        from loadbalancer.core.endpoints.attempt_evidence import AttemptEvidence, evidence_of
        from loadbalancer.sources.consul.source import ConsulMembers

        def evidence(backend: int) -> AttemptEvidence:
            return evidence_of(self.balancer, time.monotonic_ns(), backend)

        return ConsulMembers(Path(config.consul), config, self.on_list_update, evidence_of=evidence)

    # ---- start -------------------------------------------------------------

    def start(self, inheritance: Inheritance | None = None) -> None:
        """Begin with the endpoint list of the configuration.

        What a predecessor left goes before that: its list, and what it had learned. The
        list is then watched at once, as the two processes are to have one watch.

        Raises:
            ListError: the list is malformed.
            FleetError: the file that describes the fleet can't be used.
        """
        rows = self.discovery.load_configured(self.config.known)
        if (
            inheritance is not None
            and inheritance.members
            and isinstance(self.discovery, Discovery)
        ):
            rows = self.discovery.inherit(inheritance)
        self._prepare_gossip()
        if self.peers is not None:
            rows = self.peers.on_list(Update.CACHED, rows)
        with self.event() as now:
            self.balancer.start(now)
            self.balancer.on_members(now, Update.CACHED, rows)
            if self.balancer.ready:
                self._on_list_usable()
            if inheritance is not None:
                restore(self.balancer, now, inheritance.learned)
        if self.peers is not None:
            self.peers.open()
        if self.config.consul or inheritance is not None or not self.config.settings.poll:
            # Where the list is polled for, the Balancer says when: nodes that start together
            # are not to poll together. A source that pushes its list has it at once.
            self.discovery.watch()

    def _prepare_gossip(self) -> None:
        config = self.config
        if config.peer_listen is None or len(config.peers) < MIN_FLEET:
            return
        number = config.settings.node
        if number >= len(config.peers):
            logger.info("no gossip between nodes: peers name no node %d", number)
            return
        # Imported here: a node without gossip does not pay for the modules.
        from loadbalancer.gossip_transport.transport import GossipTransport

        self.peers = GossipTransport(self, config)

    # ---- the endpoint list -------------------------------------------------

    def on_list_update(self, update: Update, rows: list[Listing], stale: list[int]) -> None:
        """The source has an update of the endpoint list, or its poll has failed.

        Args:
            update: what the update is.
            rows: the endpoints that it lists.
            stale: the backends whose connections it makes useless.
        """
        for backend in stale:
            self.upstream.close_idle(backend)
        if self.peers is not None:
            rows = self.peers.on_list(update, rows)
        with self.event():
            self.notify_balancer(self.balancer.on_members, update, rows)
            if self.balancer.ready or update == Update.FULL:
                self._on_list_usable()
            self.cancel_connecting(stale)

    # ---- two processes as one node -------------------------------------------

    def use_limit_share(self, part: LimitShare) -> None:
        """Use only this part of the endpoints' caps from now on."""
        self._set_limit_share(part)

    def end_sharing(self) -> None:
        """The other process of this node has ended: what it used is this one's again."""
        self.other_process_request_ids = set()
        self.set_other_process_descriptors(0)
        if self.balancer.has_limit_share:
            self._set_limit_share(None)

    def _set_limit_share(self, part: LimitShare | None) -> None:
        with self.event() as now:
            self.balancer.set_limit_share(now, part)

    # ---- further actions of the Balancer -----------------------------------

    def refuse(self, request: int, retry_after_ns: int) -> None:
        """Reject a request: a retry is harmless, after `retry_after_ns` nanoseconds."""
        open_request = self.requests.get(request)
        if open_request is not None:
            self.finish(open_request, SERVICE_UNAVAILABLE, retry_after_ns)

    def fail(self, request: int) -> None:
        """Fail a request: it may have been executed."""
        open_request = self.requests.get(request)
        if open_request is not None:
            self.finish(open_request, BAD_GATEWAY)

    def watch(self) -> None:
        """Poll for the endpoint list."""
        self.discovery.watch()

    def log(self, text: str) -> None:
        """Write a line of the log."""
        logger.info("%s", text)

    def sweep(self) -> None:
        """Close the connections to backends that have been idle for long."""
        self.upstream.close_expired(time.monotonic_ns())
