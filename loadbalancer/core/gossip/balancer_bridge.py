"""Between one node's Balancer and its part in the fleet: what each is told of the other.

The Balancer's own attempts become observations; what others' records come to becomes its
narrow events.
The only way for hearsay into the ordinary path, the same in the real node and in the world.
"""

from __future__ import annotations

from typing import NamedTuple

from loadbalancer.core.balancing.balancer import Balancer
from loadbalancer.core.balancing.model import SECOND, Listing, ReportedState, State, Update
from loadbalancer.core.gossip.gossip_node import Change, Fleet
from loadbalancer.core.gossip.slots import Slots

PEAK = SECOND // 2  # the most in flight counts for one to two of these
HEADROOM = 1.25  # of it, that a lender keeps, and ...
KEPT = 1  # ... so many slots beside


class BalancerUpdate(NamedTuple):
    """What the Balancer is to hear."""

    changes: list[Change]
    draining: list[Listing]
    deal: bool  # others live now than did, or leases are others


class BalancerBridge:
    """See the module's docstring."""

    def __init__(self, fleet: Fleet, balancer: Balancer) -> None:
        s = balancer.settings
        self.fleet = fleet
        self.balancer = balancer
        self.slots = Slots(s.node // s.zones, balancer.peers, fleet.terms.slots, self._living_at)
        self.living = 0  # as of the last deal
        self._flips = -1
        self.slots.out = fleet.leases.out()
        self._pressed = False
        self._peaks = [0, 0]  # most in flight in this span and the one before
        self._span = 0
        self._zone, self._zones = s.node % s.zones, s.zones
        balancer.set_slot_ranks(self.slots)

    def _living_at(self, place: int) -> bool:
        """A node beyond what our list of the nodes names is never taken for dead."""
        node = place * self._zones + self._zone
        return node >= self.fleet.terms.nodes or self.fleet.members.living(node)

    def report(self, now: int) -> None:
        """Say what this node's own attempts have come to, where there is something to say."""
        self.need(now)
        own = self.fleet.own
        for b in self.balancer.endpoints.values():
            if (
                b.consecutive_failures
                or b.consecutive_rejections > 1
                or b.latency_ratio > 1.5
                or b.id in own
            ):
                self.fleet.observe(
                    now,
                    b.id,
                    b.consecutive_failures,
                    b.connect_failed,
                    b.consecutive_rejections,
                    b.latency_ratio,
                    b.last_seen,
                )

    def need(self, now: int) -> None:
        """Say how many classes this node can lend, and whether it needs to borrow."""
        b, fleet = self.balancer, self.fleet
        self._peaks[0] = max(self._peaks[0], b.in_flight)
        self._pressed = self._pressed or b.saturated
        if now < self._span:
            return
        self._span = now + PEAK
        peak = max(self._peaks)
        self._peaks = [b.in_flight, self._peaks[0]]
        ready = [x for x in b.endpoints.values() if x.local and x.state == State.READY]
        rows = [
            (x.node_rank, int(b.concurrency_limit + x.rounding))
            for x in ready
            if x.cold_until <= b.now
        ]
        own = sum(self.slots.own(deal, depth, len(ready), False) for deal, depth in rows)
        deep = b.concurrency_limit >= self.slots.most(len(ready))
        fleet.wants = self._pressed and deep
        need = peak * HEADROOM + KEPT
        fleet.keeps = deep and need > own
        needy = self._pressed or fleet.keeps
        fleet.spare = 0 if needy else self.slots.spare(rows, len(ready), need, own)
        self._pressed = False

    def collect(self, now: int) -> BalancerUpdate | None:
        """What is new for the Balancer by now."""
        changes = [c for c in self.fleet.changes(now) if not self._known_better(c)]
        draining = self._draining()
        members, leases = self.fleet.members, self.fleet.leases
        free = members.unheard(now)
        deal = members.flips != self._flips or leases.changed or free != self.slots.free
        if deal:
            self._flips, leases.changed = members.flips, False
            self.living = members.count()
            self.slots.free = free
            self.slots.refresh()
            self.slots.out = leases.out()
            self.slots.borrowed = [(n // self._zones, c) for n, c in self.fleet.borrowed(now)]
        return BalancerUpdate(changes, draining, deal) if changes or draining or deal else None

    def quit(self, now: int) -> BalancerUpdate | None:
        """This process speaks no more, and can't say when a lease has ended: it ends here.

        What it has lent stays lent: whoever speaks for the node next has not heard of it.
        """
        leases = self.fleet.leases
        if not leases.held:
            return None
        leases.held.clear()
        leases.changed = True
        return self.collect(now)

    def apply(self, now: int, update: BalancerUpdate) -> None:
        """Tell the Balancer, in the host's own event."""
        b = self.balancer
        for c in update.changes:
            b.on_peer_report(now, c.server, c.told, c.ratio, c.cold)
        if update.draining:
            b.on_members(now, Update.REPORTED, update.draining)
        elif update.deal:
            b.update_caps()
        b.dispatch(now)

    def _known_better(self, change: Change) -> bool:
        """Whether this node has had an answer of its own since that observation."""
        b = self.balancer.endpoints.get(change.server)
        silent = change.told in (ReportedState.SILENT, ReportedState.DOUBTED)
        return b is not None and silent and not b.consecutive_failures and b.last_seen > change.born

    def _draining(self) -> list[Listing]:
        """Servers that the Balancer still uses and another node's list says not to."""
        rows = []
        orders, self.fleet.orders = self.fleet.orders, set()
        for server in orders:
            b = self.balancer.endpoints.get(server)
            if b is not None and b.state == State.READY:
                boot = self.fleet.boots.get(server, 0)
                state = self.fleet.over(server, boot, State.READY)
                if state == State.READY:
                    if self.fleet.waits(server, boot):
                        self.fleet.orders.add(server)  # no room for it yet
                else:
                    rows.append(Listing(server, state, b.zone, b.cell, b.kind, 0, b.rating))
        return rows
