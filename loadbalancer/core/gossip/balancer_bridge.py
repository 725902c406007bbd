"""Connects one node's Balancer and its gossip, in both directions.

Results of the Balancer's own attempts become observations; verdicts on other nodes' observations
and drains in other nodes' lists become events of the Balancer. This is the only way from gossip
into the request path, the same in the real node and in the simulation. Times in nanoseconds.
"""

from __future__ import annotations

from typing import NamedTuple

from loadbalancer.core.balancing.balancer import Balancer
from loadbalancer.core.balancing.model import SECOND, Listing, ReportedState, State, Update
from loadbalancer.core.gossip.gossip_node import GossipNode
from loadbalancer.core.gossip.own_observations import results_of
from loadbalancer.core.gossip.slot_allocation import LeasedSlots, SlotAllocation
from loadbalancer.core.gossip.verdicts import VerdictChange

PEAK_WINDOW_NS = SECOND // 2  # a peak of requests in flight is remembered for 1 to 2 windows
HEADROOM = 1.25  # a grantor reserves this multiple of the peak ...
RESERVED_SLOTS = 1  # ... and so many slots more
MIN_REPORTED_REJECTIONS = 2  # consecutive rejections from which an endpoint is reported
MIN_REPORTED_LATENCY_RATIO = 1.5


class BalancerUpdate(NamedTuple):
    """What has changed for the Balancer."""

    verdicts: list[VerdictChange]
    draining: list[Listing]
    reallocate: bool  # the alive members or the leases have changed


class BalancerBridge:
    """Connects one Balancer and one GossipNode."""

    def __init__(self, gossip: GossipNode, balancer: Balancer) -> None:
        settings = balancer.settings
        self._gossip = gossip
        self._balancer = balancer
        self._zone, self._zones = settings.node % settings.zones, settings.zones
        place = settings.node // settings.zones
        self.slots = SlotAllocation(
            place, balancer.peers, gossip.settings.slots_per_server, self._is_alive_at
        )
        self.slots.granted_groups = gossip.leases.granted_groups()
        self.alive = 0  # alive members, as of the last allocation
        self._liveness_changes = -1
        self._saturated = False
        self._peaks = [0, 0]  # most requests in flight, in this window and in the last one
        self._window_ends_at = 0
        balancer.set_slot_allocator(self.slots)

    def _is_alive_at(self, place: int) -> bool:
        """Whether the node at a place of the zone is alive; unknown nodes never count as dead."""
        node = place * self._zones + self._zone
        return node >= self._gossip.settings.nodes or self._gossip.members.is_alive(node)

    # ---- from the Balancer -------------------------------------------------------

    def report(self, now: int) -> None:
        """Publish the results of this node's own attempts, and its need of slots."""
        self._update_need(now)
        gossip = self._gossip
        for endpoint in self._balancer.endpoints.values():
            if (
                endpoint.consecutive_failures
                or endpoint.consecutive_rejections >= MIN_REPORTED_REJECTIONS
                or endpoint.latency_ratio > MIN_REPORTED_LATENCY_RATIO
                or endpoint.id in gossip.observations
            ):
                results = results_of(
                    endpoint.consecutive_failures,
                    endpoint.connect_failed,
                    endpoint.consecutive_rejections,
                    endpoint.latency_ratio,
                )
                gossip.observe(now, endpoint.id, results, endpoint.last_seen)

    def _update_need(self, now: int) -> None:
        """At the end of each window: how many groups can be leased out, or are needed."""
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
            self.slots.own(first, depth, len(ready), leased_out=False) for first, depth in depths
        )
        uses_all = balancer.concurrency_limit >= self.slots.max_slots(len(ready))
        exchange = self._gossip.lease_exchange
        exchange.wants_more = self._saturated and uses_all
        exchange.keeps_leases = uses_all and needed > owned
        exchange.grantable = 0
        if not (self._saturated or exchange.keeps_leases):
            exchange.grantable = self.slots.grantable_groups(depths, len(ready), needed, owned)
        self._saturated = False

    # ---- to the Balancer -----------------------------------------------------------

    def collect(self, now: int) -> BalancerUpdate | None:
        """What has changed for the Balancer since the last call; None for nothing."""
        changes = self._gossip.verdict_changes(now)
        verdicts = [change for change in changes if not self._is_superseded(change)]
        draining = self._draining()
        reallocate = self._update_slots(now)
        if not (verdicts or draining or reallocate):
            return None
        return BalancerUpdate(verdicts, draining, reallocate)

    def _update_slots(self, now: int) -> bool:
        """Bring the slot allocation up to date; returns whether its inputs have changed."""
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
        """Whether this node has had an answer of its own since the observation."""
        endpoint = self._balancer.endpoints.get(change.server)
        if endpoint is None or endpoint.consecutive_failures:
            return False
        failing = change.verdict in (ReportedState.SILENT, ReportedState.SUSPECTED)
        return failing and endpoint.last_seen > change.observed_at

    def _draining(self) -> list[Listing]:
        """Rows of servers that are ready for the Balancer, and draining in another node's list."""
        local_list = self._gossip.local_list
        rows = []
        pending, local_list.pending = local_list.pending, set()
        for server in pending:
            endpoint = self._balancer.endpoints.get(server)
            if endpoint is None or endpoint.state != State.READY:
                continue
            boot = local_list.boots.get(server, 0)
            state = local_list.effective_state(server, boot, State.READY)
            if state != State.READY:
                rows.append(
                    Listing(
                        server, state, endpoint.zone, endpoint.cell, endpoint.kind, 0,
                        endpoint.rating,
                    )
                )  # fmt: skip
            elif local_list.is_pending(server, boot):
                local_list.pending.add(server)  # MAX_DRAINED_PART is reached: retried later
        return rows

    def close(self, now: int) -> BalancerUpdate | None:
        """End the leases of this node: this process receives no messages any more.

        What it has granted stays granted: the next process of the node does not know of it.
        """
        leases = self._gossip.leases
        if not leases.active:
            return None
        leases.active.clear()
        leases.changed = True
        return self.collect(now)

    def apply(self, now: int, update: BalancerUpdate) -> None:
        """Apply an update to the Balancer, within an event of the host."""
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
