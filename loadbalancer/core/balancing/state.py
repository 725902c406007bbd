"""The state of one Balancer, shared by the modules that make its decisions.

Each Balancer has one BalancerState, and no module keeps a copy of any part of it. The modules
are functions over this record; the record itself makes no decisions.
"""

from __future__ import annotations

from heapq import heappush
from random import Random
from typing import TYPE_CHECKING

from loadbalancer.core.balancing.model import SECOND, Actions, Settings, Timer
from loadbalancer.core.balancing.records import ClassState, Endpoint, Request

if TYPE_CHECKING:
    from loadbalancer.core.balancing.ports import LimitShare, Policies, SlotAllocator

INITIAL_CONCURRENCY_LIMIT = 4.0  # requests of all nodes together at one endpoint
MAX_RETRY_CREDIT = 10.0  # maximum and initial credit of the retry budget, in retries
LOG_INTERVAL_NS = SECOND

TIMER_WAKE = Timer.WAKE


class BalancerState:
    """The endpoints, requests, classes, limits and counters of one node."""

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
        # Endpoints in rotation, in buckets by requests in flight: this zone's, other zones'.
        self.local_buckets: list[list[Endpoint]] = [[]]
        self.remote_buckets: list[list[Endpoint]] = [[]]
        # Attempts in flight, and queued requests.
        self.max_in_flight = 0  # limit of `in_flight` (N_g in Pacifici et al. 2005)
        self.in_flight = 0
        self.transferring = 0  # those in flight that transfer a long message
        self.queued = 0
        self.deferred = 0  # queued behind all others; not counted in `queued`
        self.saturated = False  # a request had to be queued since the last cycle
        # Round robin: the class that has the turn, and how many more requests it may send.
        self.turn = self.remaining_in_turn = 0
        # A heap of wake times: when to process a request or an endpoint again.
        self.wakes: list[tuple[int, int, Request | Endpoint]] = []
        self.wake_sequence = self.wake_at = 0
        # Tenants: this node's part of each quota in requests per ns, strides, and token buckets.
        self.quota = [t.quota_per_s / settings.nodes / SECOND for t in settings.tenants]
        self.stride = [1.0 / max(t.portion, 1e-6) for t in settings.tenants]
        self.credit = [max(q * SECOND, 1.0) for q in self.quota]
        self.credit_at = [0] * tenants
        self.retry_credit = MAX_RETRY_CREDIT
        # Plug-ins of the host.
        self.policies: Policies | None = None  # if a routes file is used
        self.limit_share: LimitShare | None = None  # while two processes serve as this node
        self.slot_allocator: SlotAllocator | None = None  # if nodes exchange messages
        # The concurrency limit, and what was counted since it was last adjusted.
        self.concurrency_limit = INITIAL_CONCURRENCY_LIMIT
        self.outcomes = self.rejections = self.timeouts = 0
        self.congestion_sum = [0.0] * len(self.classes)
        self.congestion_samples = [0.0] * len(self.classes)
        self.sends = 0
        self.send_rate = 0.0  # sends per second, moving average
        # The endpoint list.
        self.ready = 0  # how many endpoints are listed as ready
        self.ejected = 0  # how many endpoints are ejected
        self.polling = False  # a poll of the list is in progress
        # Set by `endpoint_caps.set_zone_rank`: the column of the queue length in load reports
        # (-1: none), the number of nodes in this node's zone, and its rank among them.
        self.queue_column = -1
        self.peers = 1
        self.zone_rank = 0
        self.log_after = 0

    def wake(self, due: int, item: Request | Endpoint) -> None:
        """Process a request or an endpoint again at `due`."""
        self.wake_sequence += 1
        heappush(self.wakes, (due, self.wake_sequence, item))
        if not self.wake_at or due < self.wake_at:
            self.wake_at = due
            self.actions.set_timer(TIMER_WAKE, due)

    def log(self, now: int, text: str) -> None:
        """Log a rare change of state; at most one line per second."""
        if now >= self.log_after:
            self.log_after = now + LOG_INTERVAL_NS
            self.actions.log(text)
