"""Connects the Balancer of a node with its gossip, in both directions.

Results of the Balancer's own attempts are published as observations. Verdicts from observations of
other nodes, drains in their lists and changes of slots are passed to the Balancer. Gossip affects
requests in no other way. Both the proxy and the simulation use this module. Times are in
nanoseconds.
"""

from __future__ import annotations

from typing import NamedTuple

from loadbalancer.core.balancing.balancer import Balancer
from loadbalancer.core.balancing.model import (
    SECOND,
    UNKNOWN,
    Listing,
    ReportedState,
    State,
    Update,
)
from loadbalancer.core.gossip.gossip_node import GossipNode
from loadbalancer.core.gossip.own_observations import publishable_results
from loadbalancer.core.gossip.slot_allocation import LeasedSlots, SlotAllocation
from loadbalancer.core.gossip.verdicts import VerdictChange

PEAK_WINDOW_NS = SECOND // 2  # a peak of requests in flight counts for one to two windows
HEADROOM = 1.25  # a grantor reserves slots for this multiple of its peak of requests in flight
RESERVED_SLOTS = 1  # slots that a grantor reserves beside HEADROOM times its peak
MIN_PUBLISHED_REJECTIONS = 2  # consecutive rejections from which an observation is published
MIN_PUBLISHED_LATENCY_RATIO = 1.5


class BalancerUpdate(NamedTuple):
    """Changes to pass to the Balancer."""

    verdicts: list[VerdictChange]
    draining: list[Listing]
    reallocate: bool  # whether alive members or leases have changed, so that caps must be computed


class BalancerBridge:
    """Connects one Balancer and one GossipNode."""

    def __init__(self, gossip: GossipNode, balancer: Balancer) -> None:
        settings = balancer.settings
        self._gossip = gossip
        self._balancer = balancer
        self._zone, self._zones = settings.node % settings.zones, settings.zones
        zone_index = settings.node // settings.zones
        self.slots = SlotAllocation(
            zone_index, balancer.peers, gossip.settings.slots_per_server, self._is_alive_at_index
        )
        self.slots.granted_groups = gossip.leases.granted_groups()
        self.alive = 0  # number of alive members at the last allocation of slots
        self._liveness_changes = -1
        self._saturated = False
        # Maximum of requests in flight, in this window and in the previous one.
        self._peaks = [0, 0]
        self._window_ends_at = 0
        balancer.set_slot_allocator(self.slots)

    def _is_alive_at_index(self, zone_index: int) -> bool:
        """Whether the node at an index within the zone is alive; unknown nodes count as alive."""
        node = zone_index * self._zones + self._zone
        return node >= self._gossip.settings.nodes or self._gossip.members.is_alive(node)

    # From the Balancer to gossip.

    def report(self, now: int) -> None:
        """Publish results of this node's own attempts, and update its need for slots."""
        self._update_need(now)
        gossip = self._gossip
        for endpoint in self._balancer.endpoints.values():
            if (
                endpoint.consecutive_failures
                or endpoint.consecutive_rejections >= MIN_PUBLISHED_REJECTIONS
                or endpoint.latency_ratio > MIN_PUBLISHED_LATENCY_RATIO
                or endpoint.id in gossip.observations
            ):
                results = publishable_results(
                    endpoint.consecutive_failures,
                    endpoint.connect_failed,
                    endpoint.consecutive_rejections,
                    endpoint.latency_ratio,
                )
                gossip.observe(now, endpoint.id, results, endpoint.last_seen)

    def _update_need(self, now: int) -> None:
        """Update, at the end of each window, what can be leased out and what is needed."""
        balancer = self._balancer
        self._peaks[0] = max(self._peaks[0], balancer.in_flight)
        self._saturated = self._saturated or balancer.saturated
        if now < self._window_ends_at:
            return
        self._window_ends_at = now + PEAK_WINDOW_NS
        needed = max(self._peaks) * HEADROOM + RESERVED_SLOTS
        self._peaks = [balancer.in_flight, self._peaks[0]]
        ready = [e for e in balancer.endpoints.values() if e.local and e.state == State.READY]
        depths = [
            (endpoint.node_rank, int(balancer.concurrency_limit + endpoint.rounding_offset))
            for endpoint in ready
            if endpoint.cold_until <= balancer.now
        ]
        owned = sum(
            self.slots.own_slots(first, depth, len(ready), leased_out=False)
            for first, depth in depths
        )
        uses_all = balancer.concurrency_limit >= self.slots.max_slots(len(ready))
        exchange = self._gossip.lease_exchange
        exchange.wants_more = self._saturated and uses_all
        exchange.keeps_leases = uses_all and needed > owned
        exchange.grantable = 0
        if not (self._saturated or exchange.keeps_leases):
            exchange.grantable = self.slots.grantable_groups(depths, len(ready), needed, owned)
        self._saturated = False

    # From gossip to the Balancer.

    def collect(self, now: int) -> BalancerUpdate | None:
        """The changes for the Balancer since the last call; None if there are none."""
        changes = self._gossip.verdict_changes(now)
        verdicts = [change for change in changes if not self._is_superseded(change)]
        draining = self._draining()
        reallocate = self._update_slots(now)
        if not (verdicts or draining or reallocate):
            return None
        return BalancerUpdate(verdicts, draining, reallocate)

    def _update_slots(self, now: int) -> bool:
        """Update the inputs of the slot allocation; returns whether they have changed."""
        gossip, slots = self._gossip, self.slots
        members, leases = gossip.members, gossip.leases
        isolated = members.receives_no_messages(now)
        same_members = members.liveness_changes == self._liveness_changes
        if same_members and not leases.changed and isolated == slots.isolated:
            return False
        self._liveness_changes = members.liveness_changes
        leases.changed = False
        self.alive = members.alive_count()
        slots.isolated = isolated
        slots.refresh()
        slots.granted_groups = leases.granted_groups()
        slots.leases = [
            LeasedSlots(grantor // self._zones, groups)
            for grantor, groups in gossip.lease_exchange.usable(now)
        ]
        return True

    def _is_superseded(self, change: VerdictChange) -> bool:
        """Whether this node itself has had a response from the server since the observation."""
        endpoint = self._balancer.endpoints.get(change.server)
        if endpoint is None or endpoint.consecutive_failures:
            return False
        failing = change.verdict in (ReportedState.SILENT, ReportedState.SUSPECTED)
        return failing and endpoint.last_seen > change.observed_at

    def _draining(self) -> list[Listing]:
        """Listings of servers to drain: ready so far, and drained in the list of another node."""
        local_list = self._gossip.local_list
        rows = []
        pending, local_list.pending_drains = local_list.pending_drains, set()
        for server in pending:
            endpoint = self._balancer.endpoints.get(server)
            if endpoint is None or endpoint.state != State.READY:
                continue
            boot = local_list.boot_times.get(server, 0)
            state = local_list.effective_state(server, boot, State.READY)
            if state != State.READY:
                rows.append(
                    Listing(
                        server, state, endpoint.zone, max(endpoint.repeat_cell, 0), endpoint.kind,
                        0, endpoint.rating, endpoint.repeat_zone != UNKNOWN,
                        endpoint.repeat_cell != UNKNOWN,
                    )
                )  # fmt: skip
            elif local_list.has_pending_drain(server, boot):
                # Gossip may drain no more servers at the moment: retry at the next call.
                local_list.pending_drains.add(server)
        return rows

    def close(self, now: int) -> BalancerUpdate | None:
        """End the leases that this node holds, as this process receives no further messages.

        Leases that it has granted remain valid: the next process of this node does not know them,
        and waits until they have expired.
        """
        leases = self._gossip.leases
        if not leases.active:
            return None
        leases.active.clear()
        leases.changed = True
        return self.collect(now)

    def apply(self, now: int, update: BalancerUpdate) -> None:
        """Pass an update to the Balancer. To be called within an event of the host."""
        balancer = self._balancer
        for change in update.verdicts:
            balancer.on_peer_report(
                now, change.server, change.verdict, change.latency_ratio, change.cold
            )
        if update.draining:
            balancer.on_members(now, Update.REPORTED, update.draining)
        elif update.reallocate:
            balancer.update_caps()
        balancer.dispatch(now)
