"""How long a request may be queued, which requests are deferred, and tenants' quotas.

Every request is queued first; the dispatch sends it at once where a slot is free.
- Wait: a queued request is rejected once WAIT_PART of its slack has passed. Slack is
  the time to its latency objective or its client's deadline, whichever is earlier,
  less its class's mean latency. So an admitted request is answered well within its
  objective, and a client that retries at once after a rejection can be too.
- Deferred: a request over its tenant's quota, or certain to miss the objective
  counted from its client's first try, is queued behind all others of all classes: under
  overload it is the first to be rejected, as its wait ends.
- Quota: a token bucket for each tenant, with a capacity of one second's requests,
  filled at this node's part of the tenant's rate.

Times are nanoseconds; `remaining` is what the client has left of its own deadline.
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

WAIT_PART = 0.25  # of its slack, that a request may be queued
# Part of requests that must come with one remaining time for it to count as a first try's.
USUAL_PART = 0.25

QUEUED, ACTIVE = RequestState.QUEUED, RequestState.ACTIVE


def admit(state: BalancerState, now: int, request: Request, remaining: int, retry: bool) -> None:
    """Decide how long a new request may wait and whether it is deferred, and queue it.

    `retry` is a client's mark that this is not its first try. ValueError: unknown tenant.
    """
    c = request.request_class
    c.arrivals += 1
    elapsed = elapsed_before(c, remaining)
    if elapsed:
        request.objective_at -= elapsed
        if elapsed + c.latency >= c.latency_objective:
            # It is late by its first try in any case: requests that can be in time go first.
            request.objective_at = now + c.latency_objective
            request.deferred = True
    slack = min(request.objective_at, request.deadline) - now - int(c.latency)
    request.wait_until = now + max(int(slack * WAIT_PART), 0)
    if state.quota:
        request.deferred = _exceeds_quota(state, now, request.tenant) or request.deferred
    retry_after = state.settings.max_retry_after
    if retry and c.spec.late_weight <= 0 and retry_after > c.latency_objective:
        # It was rejected with a Retry-After longer than its objective: late by its first try.
        request.deferred = True
    enqueue(state, request, False)


def stretch_objective(now: int, request: Request, hint: int) -> None:
    """Set a later objective for a request whose client states much work, if its class allows.

    `hint` is the client's estimate of the work in nanoseconds.
    """
    c = request.request_class
    if c.spec.objective_stretch:
        stretched = c.latency_objective + int(c.spec.objective_stretch * hint)
        request.objective_at = now + min(stretched, c.spec.deadline)


def elapsed_before(request_class: ClassState, remaining: int) -> int:
    """How long ago the client sent its first try, ns; 0 for a first try or where unknown.

    Clients give up each try after the same usual time, so most requests, and all first
    tries, come with the same time remaining. A later try has another one: less where the
    client's deadline is nearer than that, or all that is left in its last try. The most
    frequent step of the histogram is therefore taken for that of first tries.
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
    if abs(step - usual) <= 1 or histogram[usual] < USUAL_PART * c.remaining_samples:
        return 0
    return max(deadline - remaining, 0)


def _exceeds_quota(state: BalancerState, now: int, tenant: int) -> bool:
    """Whether a request exceeds this node's part of its tenant's quota; charges it if not."""
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
    """Queue a request behind those of its class, or with `front` before them."""
    c = request.request_class
    request.state = QUEUED
    if request.deferred:
        state.deferred += 1
        c.deferred += 1
        queue = c.deferred_queue
    else:
        state.queued += 1
        c.queued += 1
        tenant = request.tenant if state.quota else 0
        queue = c.queues[tenant]
        if state.quota and not c.queued_by_tenant[tenant]:
            # Stride scheduling: a tenant must not accumulate turns while it is idle.
            c.passes[tenant] = max(c.passes[tenant], c.virtual_time)
        c.queued_by_tenant[tenant] += 1
    if front:
        queue.appendleft(request)
    else:
        queue.append(request)


def dequeue(state: BalancerState, request: Request) -> None:
    """Count a request as no longer queued; its entry is removed once it reaches the front."""
    c = request.request_class
    request.state = ACTIVE
    if request.deferred:
        state.deferred -= 1
        c.deferred -= 1
        queue = c.deferred_queue
    else:
        state.queued -= 1
        c.queued -= 1
        tenant = request.tenant if state.quota else 0
        c.queued_by_tenant[tenant] -= 1
        queue = c.queues[tenant]
    # Otherwise a queue that is never served would retain every request ever queued in it.
    while queue and queue[0].state is not QUEUED:
        queue.popleft()
