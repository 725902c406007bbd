"""The host of one Balancer: combines its parts, and passes on the endpoint list.

A host reports events to the Balancer and carries out the Balancer's actions; it makes no
decisions itself. Its parts, of which each uses only those above it:

- `open_requests`: which requests are open, and how they end;
- `balancer_events`: calls into the Balancer, and the single outcome of each attempt;
- `attempts`: the actions that start attempts, and giving up attempts;
- `client_events`: requests that arrive, clients that disconnect;
- `timers`, `timer_events`: timeouts of attempts and requests, and the Balancer's timers;
- `descriptors`: limits of the numbers of connections.
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
from loadbalancer.proxy.resident_memory import MemoryWatch
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

MIN_FLEET = 2  # nodes; a single one has no peer to gossip with


class Node(ClientEvents, TimerEvents, DescriptorBudget):
    """Implements `loadbalancer.core.Actions` over real sockets.

    Args:
        config: the node's configuration.
        loop: the event loop of the process.
        on_list_usable: called after each update of the endpoint list that the node can work
            with: if the Balancer has an endpoint that is ready, or if the list is complete.

    Raises:
        SourceError: the file that names the source of endpoints can't be used.
    """

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        on_list_usable: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__(config, loop)
        DescriptorBudget.__init__(self, config)
        self.memory_watch = MemoryWatch(self.budget)
        self.on_descriptor_freed: Callable[[], None] = lambda: None  # set by the clients' listener
        self._on_list_usable = on_list_usable
        self.upstream = ConnectionPool(self)
        self.discovery: Discovery | ConsulMembers = self._endpoint_source()
        self.balancer = Balancer(config.settings, config.seed, self)
        # The settings that the Balancer has applied completely; None after it raised on new ones.
        self.applied_settings: Settings | None = config.settings
        self.peers: GossipTransport | None = None  # None without gossip between nodes
        # Set by `reload` if there is a routes file: the current routes, and the retry budgets.
        self.routing: Routing | None = None
        self.policies: RoutePolicies | None = None

    def _endpoint_source(self) -> Discovery | ConsulMembers:
        config = self.config
        if not config.consul:
            return Discovery(config, self.on_list_update)
        # Imported here, so that a node without Consul does not load the modules.
        from pathlib import Path

        from loadbalancer.core.endpoints.attempt_evidence import AttemptEvidence, evidence_of
        from loadbalancer.sources.consul.source import ConsulMembers

        def evidence(backend: int) -> AttemptEvidence:
            return evidence_of(self.balancer, time.monotonic_ns(), backend)

        return ConsulMembers(Path(config.consul), config, self.on_list_update, evidence_of=evidence)

    def start(self, inheritance: Inheritance | None = None) -> None:
        """Start with the endpoint list of the configuration, or with the state of a predecessor.

        A predecessor's list and learned state take precedence over the configuration. The
        list service is then watched at once, as of the two processes only one should watch it.

        Raises:
            ListError: the endpoint list of the configuration is malformed.
            FleetError: the file that describes the fleet can't be used.
        """
        rows = self.discovery.load_configured(self.config.known)
        if inheritance is not None and self._can_inherit(inheritance):
            rows = self.discovery.inherit(inheritance)
        self._prepare_gossip()
        self.config.known.clear()  # as objects its rows take more memory than the list itself
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
            # If the list is polled, the Balancer chooses the time, to spread the polls of nodes
            # that start together. A source that pushes its list is watched at once.
            self.discovery.watch()

    def _can_inherit(self, inheritance: Inheritance) -> bool:
        """Whether a predecessor has handed over the list in the form that the source needs."""
        if isinstance(self.discovery, Discovery):
            return bool(inheritance.members)
        return inheritance.sources is not None

    def _prepare_gossip(self) -> None:
        config = self.config
        if config.peer_listen is None or len(config.peers) < MIN_FLEET:
            return
        number = config.settings.node
        if number >= len(config.peers):
            logger.info(
                "running without gossip: the list `peers` has no address for this node, number %d",
                number,
            )
            return
        # Imported here, so that a node without gossip does not load the modules.
        from loadbalancer.gossip_transport.transport import GossipTransport

        self.peers = GossipTransport(self, config)

    def on_list_update(self, update: Update, rows: list[Listing], stale: list[int]) -> None:
        """The source has an update of the endpoint list, or a poll of it has failed.

        Args:
            update: the kind of update.
            rows: the endpoints in it.
            stale: backends that are removed, draining or at a new address: their idle connections
                are closed.
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

    # For an upgrade, during which two processes are one node:

    def use_limit_share(self, part: LimitShare) -> None:
        """Use only this share of the endpoints' concurrency limits, and half of the memory."""
        self.share_memory(2)
        self._set_limit_share(part)

    def end_sharing(self) -> None:
        """The other process of this node has ended: use its limits and descriptors again."""
        longest_ns = max(cls.deadline for cls in self.config.settings.classes)
        self.request_ids.end_other_process(time.monotonic_ns() + longest_ns)
        self.set_other_process_descriptors(0)
        self.share_memory(1)
        if self.balancer.has_limit_share:
            self._set_limit_share(None)

    def share_memory(self, processes: int) -> None:
        """Use only a part of the memory limit, as this many processes of the node share it."""
        self.budget.share_limit(processes)

    def _set_limit_share(self, part: LimitShare | None) -> None:
        with self.event() as now:
            self.balancer.set_limit_share(now, part)

    def may_accept_client(self) -> bool:
        """Whether there are a descriptor and memory for one more client connection.

        For lack of memory the oldest idle backend connection is closed; once it is, the listener
        asks again.
        """
        if self.budget.may_accept_client():
            return super().may_accept_client()
        self.upstream.close_oldest()
        return False

    def may_open_upstream(self) -> bool:
        """Whether one more backend connection may be opened; closes an idle one if need be."""
        if self.budget.must_replace_idle():
            self.upstream.close_oldest()
        return self.budget.may_open_upstream() and super().may_open_upstream()

    # Actions of the Balancer that `AttemptHost` doesn't implement:

    def refuse(self, request: int, retry_after_ns: int) -> None:
        """Reject a request that was not executed; its client may retry after `retry_after_ns`."""
        open_request = self.requests.get(request)
        if open_request is not None:
            self.finish(open_request, SERVICE_UNAVAILABLE, retry_after_ns)

    def fail(self, request: int) -> None:
        """Fail a request that may have been executed."""
        open_request = self.requests.get(request)
        if open_request is not None:
            self.finish(open_request, BAD_GATEWAY)

    def watch(self) -> None:
        """Fetch the endpoint list from its source, and watch it for changes."""
        self.discovery.watch()

    def log(self, text: str) -> None:
        """Log a message of the Balancer."""
        logger.info("%s", text)

    def sweep(self) -> None:
        """Close backend connections that are idle for too long, release ids, measure memory."""
        now = time.monotonic_ns()
        self.upstream.close_expired(now)
        self.request_ids.expire(now)
        self.memory_watch.sweep()
