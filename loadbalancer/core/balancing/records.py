"""State records of endpoints, requests, attempts and request classes.

The modules of this package read and change them; the records make no decisions. Times are
integer nanoseconds, latencies float nanoseconds. Flags of a record are independent (an endpoint
may be both ejected and unresponsive, an ended request may have attempts in flight); mutually
exclusive states are an enum.
"""

from __future__ import annotations

from collections import deque
from enum import IntEnum
from typing import TYPE_CHECKING

from loadbalancer.core.balancing.model import SECOND, Effect, Listing, RequestClass

if TYPE_CHECKING:
    from loadbalancer.core.balancing.request_policy_state import RequestPolicyState

REMAINING_STEPS = 64  # number of steps of the histogram of remaining times
FIRST_EJECTION_NS = SECOND  # duration of an endpoint's first ejection
# The mean latency of a new class is assumed to be this fraction of its latency objective.
INITIAL_LATENCY_OBJECTIVE_FRACTION = 1 / 4


class RequestState(IntEnum):
    """The state of a request."""

    ACTIVE = 0  # attempts are in flight, or it waits for its route's retry back-off
    QUEUED = 1
    ENDED = 2  # answered, or its client has disconnected; attempts may be in flight


class AttemptState(IntEnum):
    """The state of an attempt."""

    OPEN = 0  # in flight: its outcome is not known yet
    TRANSFERRING = 1  # in flight, with a transfer of a long request body or response
    ENDED = 2


class Endpoint:
    """One endpoint of the list, and this node's view of it."""

    __slots__ = (
        "backoff_until", "boot", "bucket", "bucket_index", "cap", "cold_until", "connect_failed",
        "consecutive_errors", "consecutive_failures", "consecutive_rejections", "ejected_until",
        "id", "in_flight", "kind", "last_seen", "latency_ratio", "load_cost", "local",
        "next_ejection_ns", "node_cap", "node_rank", "probing", "rating", "repeat_cell",
        "repeat_zone", "reported_ratio", "rounding_offset", "sharers", "sharing_nodes",
        "silent_since", "state", "transferring", "unresponsive", "zone",
    )  # fmt: skip

    def __init__(self, row: Listing, local: bool) -> None:
        self.id = row.backend
        self.zone = row.zone
        # The zone and the cell in which repeats are dropped, or UNKNOWN.
        self.repeat_zone, self.repeat_cell = row.repeat_zone, row.repeat_cell
        self.kind = row.kind
        self.boot = row.boot
        self.rating = row.rating if row.rating > 0 else 1.0
        self.state = row.state
        self.local = local  # in this node's zone
        # Requests in flight, and their limits.
        self.in_flight = 0
        self.transferring = 0  # those in flight that transfer a long message
        self.cap = 0  # limit of `in_flight` for this process (N_{g,s} in Pacifici et al. 2005)
        self.node_cap = 0  # the same for all processes that serve as this node
        self.sharing_nodes = 1  # nodes that share its slots
        self.node_rank = 0  # this node's rank among them
        self.rounding_offset = 0.0  # added to a fractional limit before truncation to an integer
        self.bucket: list[Endpoint] | None = None  # see `rotation`; None: not in rotation
        self.bucket_index = 0
        # Measurements.
        self.latency_ratio = 1.0  # its latency relative to its classes' means, moving average
        self.reported_ratio = 1.0  # the same as reported by other nodes
        self.load_cost = (
            1.0  # its load as of its last response, for `endpoint_selection`; 1: normal
        )
        self.last_seen = 0  # time of its last response or failure
        self.silent_since = 0  # time of its last response, or of the first send after it was idle
        # Health.
        self.consecutive_failures = 0  # time-outs and lost connections
        self.consecutive_rejections = 0
        self.consecutive_errors = 0
        self.connect_failed = False  # the last failure was a connection that was not established
        self.unresponsive = False  # it has requests in flight and does not respond
        self.probing = False  # gets one request at a time until it responds
        self.next_ejection_ns = FIRST_EJECTION_NS  # duration of the next ejection
        self.backoff_until = 0  # gets no request before this time
        self.ejected_until = 0  # 0: not ejected
        # Slow start.
        self.cold_until = 0  # in slow start until this time
        self.sharers = 1  # nodes that share its slow-start budget


class Attempt:
    """One send of a request to one endpoint."""

    __slots__ = ("endpoint", "first_byte", "repeat_cell", "repeat_zone", "sent", "state")

    def __init__(self, endpoint: Endpoint, sent: int) -> None:
        self.endpoint = endpoint
        # The endpoint may move to another zone or cell after the send.
        self.repeat_zone, self.repeat_cell = endpoint.repeat_zone, endpoint.repeat_cell
        self.sent = sent
        self.state = AttemptState.OPEN
        self.first_byte = 0  # time to first byte of a long response; 0: unknown


class Request:
    """One client request, from its arrival to the outcome of its last attempt."""

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
        self.deadline = now + remaining  # when its client gives up
        self.objective_at = now + request_class.latency_objective
        self.wait_until = 0  # if it is still queued at this time it is rejected or failed
        self.deferred = (
            False  # exceeds a quota, or is late by its client's first try: queued behind others
        )
        self.attempts: list[Attempt] = []
        self.max_attempts = (
            max_attempts  # by the settings at its admission; 0: no attempt may begin
        )
        self.in_flight = 0  # attempts that have not ended
        self.first_executed: Attempt | None = None  # the first attempt that may have executed
        self.response_started = False
        self.body_sent = False  # bytes of a long body were sent and are not buffered
        self.policy_state: RequestPolicyState | None = None  # if its route has a policy
        # Whether it may be repeated: by its class, or by its route's policy if that is stricter.
        self.effect: Effect = request_class.effect
        self.scope = request_class.spec.scope
        self.repeat_window = request_class.spec.repeat_window


class ClassState:
    """One request class: its queues, counts and averages."""

    __slots__ = (
        "arrivals", "base_latency", "cycles", "deferred", "deferred_queue", "effect", "in_flight",
        "latency", "latency_objective", "latency_samples", "number", "passes", "queued",
        "queued_by_tenant", "queues", "rejected", "remaining_histogram", "remaining_samples",
        "response_time", "retires_at", "served", "share", "share_sum", "spec",
        "usual_remaining_step", "virtual_time",
    )  # fmt: skip

    def __init__(self, number: int, spec: RequestClass, tenants: int) -> None:
        self.number = number  # its index among the classes, -1 once it is retired
        self.retires_at = 0  # when a retired class stops accepting requests; 0: in force
        self.spec = spec
        self.latency_objective = spec.latency_objective
        self.effect = spec.effect
        # A queue may contain requests that are no longer queued; the counts are exact.
        self.queues: list[deque[Request]] = [deque() for _ in range(max(1, tenants))]
        self.queued_by_tenant = [0] * max(1, tenants)
        # Stride scheduling: each tenant's pass, its virtual time.
        self.passes = [0.0] * max(1, tenants)
        self.virtual_time = 0.0  # the pass of the tenant served last
        self.queued = 0
        self.deferred_queue: deque[Request] = deque()
        self.deferred = 0
        self.in_flight = 0
        # Counts of requests by remaining time, in REMAINING_STEPS steps of the class's deadline.
        self.remaining_histogram = [0] * (REMAINING_STEPS + 1)
        self.remaining_samples = 0
        self.usual_remaining_step = 0  # the most frequent step of the histogram
        # Moving average of the latency of its attempts.
        self.latency = spec.latency_objective * INITIAL_LATENCY_OBJECTIVE_FRACTION
        self.latency_samples = 0.0
        self.base_latency = 0.0  # mean latency at uncongested endpoints; 0: unknown
        # For `class_weights`: sums over cycles, decayed once per cycle.
        self.share = 1  # slots of this class
        self.share_sum = self.cycles = 0.0
        self.arrivals = self.served = self.rejected = 0.0
        self.response_time = 0.0  # of those served, including queueing time

    def copy_averages(self, old: ClassState) -> None:
        """Take over the averages of the class that this one replaces."""
        self.latency, self.latency_samples = old.latency, old.latency_samples
        self.base_latency = old.base_latency
        self.share = old.share

    def has_queued(self) -> bool:
        """Whether any of its requests is queued, deferred ones included."""
        return self.queued + self.deferred > 0
