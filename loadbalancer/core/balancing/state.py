"""The state of one node's decisions, shared by the modules that make them.

There is one BalancerState for each Balancer and no copy of any part of it. Each
rule is a module of functions over this record; the record decides nothing.
"""

from __future__ import annotations

from heapq import heappush
from random import Random
from typing import TYPE_CHECKING

from loadbalancer.core.balancing.model import SECOND, Actions, Settings, Timer
from loadbalancer.core.balancing.records import ClassState, Endpoint, Request

if TYPE_CHECKING:
    from loadbalancer.core.balancing.ports import LimitShare, Policies, SlotAllocator

INITIAL_CONCURRENCY_LIMIT = (
    4.0  # initial concurrency limit: in flight of all nodes together at one endpoint
)
RETRY_BURST = 10.0  # retry credit at most, and at first
LOG_INTERVAL_NS = SECOND

TIMER_WAKE = Timer.WAKE


class BalancerState:
    """Endpoints, requests and classes of one node, its limits and its counters."""

    __slots__ = (
        "actions", "classes", "concurrency_limit", "congestion_samples", "congestion_sum", "credit",
        "credit_at", "deferred", "ejected", "endpoints", "in_flight", "limit_share",
        "local_buckets", "log_after", "max_in_flight", "now", "outcomes", "peers", "policies",
        "polling", "queue_column", "queued", "quota", "random", "ready", "rejections",
        "remaining_in_turn", "remote_buckets", "requests", "retry_credit", "saturated", "send_rate",
        "sends", "settings", "slot_allocator", "stride", "timeouts", "transferring", "turn",
        "wake_at", "wake_sequence", "wakes", "zone_rank",
    )  # fmt: skip

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        self.settings = settings
        self.actions = actions
        self.random = Random(seed)
        self.now = 0
        tenants = len(settings.tenants)
        self.classes = [ClassState(i, c, tenants) for i, c in enumerate(settings.classes)]
        self.endpoints: dict[int, Endpoint] = {}
        self.requests: dict[int, Request] = {}
        # Endpoints that may take one more request, by requests in flight: this zone's, others.
        self.local_buckets: list[list[Endpoint]] = [[]]
        self.remote_buckets: list[list[Endpoint]] = [[]]
        # Requests in flight and queued.
        self.max_in_flight = 0  # the most that may be in flight (the paper's N_g)
        self.in_flight = 0
        self.transferring = 0  # of them, with a long message under way
        self.queued = 0
        self.deferred = 0  # queued behind all others
        self.saturated = False  # a request has had to wait since the last cycle
        # Scheduling.
        self.turn = self.remaining_in_turn = 0
        # Requests and endpoints to look at again, by time.
        self.wakes: list[tuple[int, int, Request | Endpoint]] = []
        self.wake_sequence = self.wake_at = 0
        # Quotas: this node's part of each tenant's rate, as a bucket of one second.
        self.quota = [t.quota_per_s / settings.nodes / SECOND for t in settings.tenants]
        self.stride = [1.0 / max(t.portion, 1e-6) for t in settings.tenants]
        self.credit = [max(q * SECOND, 1.0) for q in self.quota]
        self.credit_at = [0] * tenants
        self.retry_credit = RETRY_BURST
        # What a host plugs in.
        self.policies: Policies | None = None  # with a routes file
        self.limit_share: LimitShare | None = None  # while two processes are this node
        self.slot_allocator: SlotAllocator | None = None  # where nodes exchange messages
        # The concurrency limit, and what was counted since it was last adjusted.
        self.concurrency_limit = INITIAL_CONCURRENCY_LIMIT
        self.outcomes = self.rejections = self.timeouts = 0
        self.congestion_sum = [0.0] * len(self.classes)
        self.congestion_samples = [0.0] * len(self.classes)
        self.sends = 0
        self.send_rate = 0.0  # sends a second, smoothed
        # The endpoint list.
        self.ready = 0  # endpoints that are listed as ready
        self.ejected = 0  # endpoints that are ejected
        self.polling = False  # a call for the list is under way
        # This node's place among the others; see endpoint_caps.
        self.queue_column = -1
        self.peers = 1
        self.zone_rank = 0
        self.log_after = 0

    def wake(self, due: int, item: Request | Endpoint) -> None:
        """Look at a request or an endpoint again at `due`."""
        self.wake_sequence += 1
        heappush(self.wakes, (due, self.wake_sequence, item))
        if not self.wake_at or due < self.wake_at:
            self.wake_at = due
            self.actions.set_timer(TIMER_WAKE, due)

    def log(self, now: int, text: str) -> None:
        """Log a rare change of state, one line a second at most."""
        if now >= self.log_after:
            self.log_after = now + LOG_INTERVAL_NS
            self.actions.log(text)
