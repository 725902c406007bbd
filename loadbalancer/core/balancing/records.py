"""What a node knows of each endpoint, request, attempt and request class.

Records only: the modules of this package decide and change them. Times are
integer nanoseconds, latencies float nanoseconds. Several properties of an
endpoint or a request hold at the same time (an endpoint may be ejected and
unresponsive, an ended request may have attempts in flight); those that exclude
one another are one enum.
"""

from __future__ import annotations

from collections import deque
from enum import IntEnum
from typing import TYPE_CHECKING

from loadbalancer.core.balancing.model import SECOND, Effect, Listing, RequestClass

if TYPE_CHECKING:
    from loadbalancer.core.balancing.request_policy_state import RequestPolicyState

REMAINING_STEPS = 64  # of the histogram of clients' remaining times
FIRST_EJECTION_NS = SECOND  # how long an endpoint's first ejection lasts
INITIAL_LATENCY_PART = 1 / 4  # of the objective: a class's latency until it is known


class RequestState(IntEnum):
    """Where a request stands; exactly one at a time."""

    ACTIVE = 0  # attempts are in flight, or its policy's back-off runs
    QUEUED = 1
    ENDED = 2  # answered, or its client has disconnected; attempts may be in flight


class AttemptState(IntEnum):
    """Where an attempt stands; exactly one at a time."""

    OPEN = 0  # its outcome is not known yet
    TRANSFERRING = 1  # the same, and a long message is under way, in either direction
    ENDED = 2


class Endpoint:
    """One server of the endpoint list and this node's view of it."""

    __slots__ = (
        "backoff_until", "boot", "bucket", "bucket_index", "cap", "cell", "cold_until",
        "connect_failed", "consecutive_errors", "consecutive_failures", "consecutive_rejections",
        "ejected_until", "id", "in_flight", "kind", "last_seen", "latency_ratio", "load_cost",
        "local", "next_ejection_ns", "node_cap", "node_rank", "probing", "rating", "reported_ratio",
        "rounding_offset", "sharers", "sharing_nodes", "silent_since", "state", "transferring",
        "unresponsive", "zone",
    )  # fmt: skip

    def __init__(self, row: Listing, local: bool) -> None:
        self.id = row.backend
        self.zone = row.zone
        self.cell = row.cell
        self.kind = row.kind
        self.boot = row.boot
        self.rating = row.rating if row.rating > 0 else 1.0
        self.state = row.state
        self.local = local  # in this node's zone
        # Its requests in flight, and their limits.
        self.in_flight = 0
        self.transferring = 0  # of those in flight, with a long message under way
        self.cap = 0  # in-flight limit of this process (the paper's N_{g,s})
        self.node_cap = 0  # the same of all processes that are this node
        self.sharing_nodes = 1  # nodes that share its slots
        self.node_rank = 0  # this node's rank among them
        self.rounding_offset = 0.0  # added to a fractional limit before it is cut to an integer
        self.bucket: list[Endpoint] | None = None  # its bucket in `rotation`, None: not in rotation
        self.bucket_index = 0
        # What its answers show.
        self.latency_ratio = 1.0  # its latency against the fleet's, averaged
        self.reported_ratio = 1.0  # the same as other nodes report it
        self.load_cost = 1.0  # how busy it was by its last answer
        self.last_seen = 0  # time of its last answer or failure
        self.silent_since = 0  # time of its last answer, or of the first send after it was idle
        # Its health; the counters are consecutive, answers reset them.
        self.consecutive_failures = 0  # time-outs and lost connections
        self.consecutive_rejections = 0
        self.consecutive_errors = 0
        self.connect_failed = False  # the last failure was a connection that never came up
        self.unresponsive = False  # it has requests in flight and does not answer
        self.probing = False  # one request at a time, until it answers
        self.next_ejection_ns = FIRST_EJECTION_NS  # the next ejection's length
        self.backoff_until = 0  # it gets no request until then
        self.ejected_until = 0  # 0 where it is not ejected
        # Slow start.
        self.cold_until = 0  # warming up until then
        self.sharers = 1  # nodes that share its budget while it warms up


class Attempt:
    """One send of a request to one endpoint."""

    __slots__ = ("cell", "endpoint", "first_byte", "sent", "state", "zone")

    def __init__(self, endpoint: Endpoint, sent: int) -> None:
        self.endpoint = endpoint
        self.zone, self.cell = endpoint.zone, endpoint.cell  # its group at the time of the send
        self.sent = sent
        self.state = AttemptState.OPEN
        self.first_byte = 0  # how long the first bytes of a long answer took


class Request:
    """One client request from its arrival to the outcome of its last attempt."""

    __slots__ = (
        "arrived", "attempts", "body_sent", "deadline", "deferred", "effect", "first_executed",
        "id", "in_flight", "max_attempts", "objective_at", "policy_state", "repeat_window",
        "request_class", "response_started", "scope", "state", "tenant", "wait_until",
    )  # fmt: skip

    def __init__(
        self,
        number: int,
        request_class: ClassState,
        now: int,
        remaining: int,
        tenant: int,
        max_attempts: int,
    ) -> None:
        self.id = number
        self.request_class = request_class
        self.tenant = tenant
        self.state = RequestState.ACTIVE
        self.arrived = now
        self.deadline = now + remaining  # its client gives up then
        self.objective_at = now + request_class.latency_objective
        self.wait_until = 0  # while queued: after this time it is rejected or failed
        self.deferred = False  # over quota or late by its first try: queued behind all others
        self.attempts: list[Attempt] = []
        self.max_attempts = max_attempts  # by the settings of its admission; 0: none may begin
        self.in_flight = 0  # attempts that are open
        self.first_executed: Attempt | None = None  # the first attempt that may have executed
        self.response_started = False
        self.body_sent = False  # bytes of a long body have left and are not retained
        self.policy_state: RequestPolicyState | None = None  # under a route's policy
        # What may be repeated: the class's rule, or a route's stricter one.
        self.effect: Effect = request_class.effect
        self.scope = request_class.spec.scope
        self.repeat_window = request_class.spec.repeat_window


class ClassState:
    """One request class: its queues, its counts and its averages."""

    __slots__ = (
        "arrivals", "base_latency", "cycles", "deferred", "deferred_queue", "effect", "in_flight",
        "latency", "latency_objective", "latency_samples", "number", "passes", "queued",
        "queued_by_tenant", "queues", "rejected", "remaining_histogram", "remaining_samples",
        "response_time", "retires_at", "served", "share", "share_sum", "spec",
        "usual_remaining_step", "virtual_time",
    )  # fmt: skip

    def __init__(self, number: int, spec: RequestClass, tenants: int) -> None:
        self.number = number  # its index among the classes, -1 once it is retired
        self.retires_at = 0  # once retired: no request may name it from then on; 0: in force
        self.spec = spec
        self.latency_objective = spec.latency_objective
        self.effect = spec.effect
        # A queue may contain requests that are queued no more; the counts are exact.
        self.queues: list[deque[Request]] = [deque() for _ in range(max(1, tenants))]
        self.queued_by_tenant = [0] * max(1, tenants)
        self.passes = [0.0] * max(1, tenants)  # stride scheduling: each tenant's virtual time
        self.virtual_time = 0.0  # the pass that was served last
        self.queued = 0
        self.deferred_queue: deque[Request] = deque()
        self.deferred = 0
        self.in_flight = 0
        # Requests by remaining time, in REMAINING_STEPS steps of the class's deadline.
        self.remaining_histogram = [0] * (REMAINING_STEPS + 1)
        self.remaining_samples = 0
        self.usual_remaining_step = 0  # the most frequent step
        self.latency = spec.latency_objective * INITIAL_LATENCY_PART  # mean of its attempts
        self.latency_samples = 0.0
        self.base_latency = 0.0  # mean of its attempts when endpoints are uncongested
        # For `class_weights`: sums over cycles, older ones decaying.
        self.share = 1  # slots
        self.share_sum = self.cycles = 0.0
        self.arrivals = self.served = self.rejected = 0.0
        self.response_time = 0.0  # of those served, with their time in the queue

    def copy_averages(self, old: ClassState) -> None:
        """Start with the averages of the class of the same name that this one replaces."""
        self.latency, self.latency_samples = old.latency, old.latency_samples
        self.base_latency = old.base_latency
        self.share = old.share

    def has_queued(self) -> bool:
        """Whether any of its requests is queued."""
        return self.queued + self.deferred > 0
