"""Admission: maximum queueing time, deferred requests, and tenants' quotas.

Every request is queued first; `dispatch` sends it at once if a slot is free.
- Queueing time: a queued request is rejected once MAX_WAIT_SLACK_FRACTION of its slack has passed.
  Slack is the time until its latency objective or its client's deadline, whichever is earlier,
  minus the mean latency of its class. An admitted request is thus answered well within its
  objective, and so can be a client that retries immediately after a rejection.
- Deferral: a request that exceeds its tenant's quota, or that is certain to miss the objective
  counted from its client's first try, is queued behind all other requests of all classes. Under
  overload it is the first to be rejected, when its queueing time ends.
- Quota: a token bucket per tenant, filled at this node's part of the tenant's rate, with a
  capacity of one second of that rate.

Times are nanoseconds; `remaining` is the time until the client's deadline.
"""

from __future__ import annotations

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.balancing.records import (
    REMAINING_STEPS,
    ClassState,
    Request,
    RequestState,
)
from loadbalancer.core.balancing.state import BalancerState

MAX_WAIT_SLACK_FRACTION = 0.25  # a request may be queued for this fraction of its slack
# The most frequent remaining time is that of first tries if this fraction of requests has it.
MIN_USUAL_STEP_FRACTION = 0.25

QUEUED, ACTIVE = RequestState.QUEUED, RequestState.ACTIVE


def admit(state: BalancerState, now: int, request: Request, remaining: int, retry: bool) -> None:
    """Queue a new request, after deciding how long it may wait and whether it is deferred.

    `retry` says that the client marked the request as a retry.

    Raises:
        ValueError: the tenant is unknown.
    """
    request_class = request.request_class
    request_class.arrivals += 1
    elapsed = elapsed_before(request_class, remaining)
    if elapsed:
        request.objective_at -= elapsed
        if elapsed + request_class.latency >= request_class.latency_objective:
            # Counted from the first try it can only be late: requests that can be in time go first.
            request.objective_at = now + request_class.latency_objective
            request.deferred = True
    slack = min(request.objective_at, request.deadline) - now - int(request_class.latency)
    request.wait_until = now + max(int(slack * MAX_WAIT_SLACK_FRACTION), 0)
    if state.quota:
        request.deferred = _exceeds_quota(state, now, request.tenant) or request.deferred
    retry_after = state.settings.max_retry_after
    if (
        retry
        and request_class.spec.late_weight <= 0
        and retry_after > request_class.latency_objective
    ):
        # Its first try was rejected with a Retry-After beyond the objective: it is late already.
        request.deferred = True
    enqueue(state, request, False)


def stretch_objective(now: int, request: Request, hint: int) -> None:
    """Extend the objective by the client's estimate of the work, if the class has a stretch.

    `hint` is that estimate in nanoseconds.
    """
    request_class = request.request_class
    if request_class.spec.objective_stretch:
        stretched = request_class.latency_objective + int(
            request_class.spec.objective_stretch * hint
        )
        request.objective_at = now + min(stretched, request_class.spec.deadline)


def elapsed_before(request_class: ClassState, remaining: int) -> int:
    """How long ago the client sent its first try, in ns; 0 for a first try or if unknown.

    Clients give each try the same usual timeout, so most requests, and all first tries,
    arrive with the same remaining time. A later try may arrive with a different one: less if
    the client's deadline is closer than the usual timeout, or all of the time up to the
    deadline if it is the last try. The most frequent step of the histogram is therefore
    assumed to be that of first tries.
    """
    c = request_class
    deadline = c.spec.deadline
    step = max(0, min(REMAINING_STEPS * remaining // deadline, REMAINING_STEPS))
    histogram = c.remaining_histogram
    c.remaining_samples += 1
    histogram[step] += 1
    if histogram[step] > histogram[c.usual_remaining_step]:
        c.usual_remaining_step = step
    usual = c.usual_remaining_step
    if abs(step - usual) <= 1 or histogram[usual] < MIN_USUAL_STEP_FRACTION * c.remaining_samples:
        return 0
    return max(deadline - remaining, 0)


def _exceeds_quota(state: BalancerState, now: int, tenant: int) -> bool:
    """Whether a request exceeds this node's part of its tenant's quota; if not, charges it."""
    if not 0 <= tenant < len(state.quota):
        raise ValueError(f"unknown tenant {tenant}")
    rate = state.quota[tenant]
    burst = max(rate * SECOND, 1.0)
    credit = min(burst, state.credit[tenant] + rate * (now - state.credit_at[tenant]))
    state.credit_at[tenant] = now
    exceeded = credit < 1.0
    state.credit[tenant] = credit if exceeded else credit - 1.0
    return exceeded and rate > 0


def enqueue(state: BalancerState, request: Request, front: bool) -> None:
    """Add a request to the end of its queue, or to the front if `front`."""
    request_class = request.request_class
    request.state = QUEUED
    if request.deferred:
        state.deferred += 1
        request_class.deferred += 1
        queue = request_class.deferred_queue
    else:
        state.queued += 1
        request_class.queued += 1
        tenant = request.tenant if state.quota else 0
        queue = request_class.queues[tenant]
        if state.quota and not request_class.queued_by_tenant[tenant]:
            # Stride scheduling: an idle tenant must not accumulate turns.
            request_class.passes[tenant] = max(
                request_class.passes[tenant], request_class.virtual_time
            )
        request_class.queued_by_tenant[tenant] += 1
    if front:
        queue.appendleft(request)
    else:
        queue.append(request)


def dequeue(state: BalancerState, request: Request) -> None:
    """Count a request as no longer queued; its queue entry is removed lazily at the front."""
    request_class = request.request_class
    request.state = ACTIVE
    if request.deferred:
        state.deferred -= 1
        request_class.deferred -= 1
        queue = request_class.deferred_queue
    else:
        state.queued -= 1
        request_class.queued -= 1
        tenant = request.tenant if state.quota else 0
        request_class.queued_by_tenant[tenant] -= 1
        queue = request_class.queues[tenant]
    # Without this, a queue that is never served would keep every request that was added to it.
    while queue and queue[0].state is not QUEUED:
        queue.popleft()
