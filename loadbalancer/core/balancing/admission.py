"""Which request is queued, which goes behind the others, and how long one may wait.

Every request is queued first; the dispatch sends it at once where a slot is free.
- Wait: a queued request is rejected once WAIT_PART of its slack has passed. Slack is
  the time to its latency objective or its client's deadline, whichever is earlier,
  less its class's mean latency. What is served is so served well inside its
  objective, and a client that comes again at once can still be.
- Deferred: a request over its tenant's quota, or late by its first try whatever is
  done, goes behind all others of all classes. It is shed first, by waiting.
- Quota: a token bucket of one second a tenant, filled at this node's part of the
  tenant's rate.

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

WAIT_PART = 0.25
USUAL_PART = 0.25  # of requests, for a remaining time to be taken for that of first tries

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
            # Late by its first try whatever is done: those in time go before it.
            request.objective_at = now + c.latency_objective
            request.deferred = True
    slack = min(request.objective_at, request.deadline) - now - int(c.latency)
    request.wait_until = now + max(int(slack * WAIT_PART), 0)
    if state.quota:
        request.deferred = _exceeds_quota(state, now, request.tenant) or request.deferred
    retry_after = state.settings.max_retry_after
    if retry and c.spec.late_weight <= 0 and retry_after > c.latency_objective:
        # Asked to stay away for longer than its objective, it is late by its first try.
        request.deferred = True
    enqueue(state, request, False)


def stretch_objective(now: int, request: Request, hint: int) -> None:
    """Where the class says so, a request that names much work has a later objective.

    `hint` is the client's estimate of the work in nanoseconds.
    """
    c = request.request_class
    if c.spec.objective_stretch:
        stretched = c.latency_objective + int(c.spec.objective_stretch * hint)
        request.objective_at = now + min(stretched, c.spec.deadline)


def elapsed_before(request_class: ClassState, remaining: int) -> int:
    """How long ago a try's client began, 0 where the remaining time does not tell.

    Clients give up a try after one usual time. A later try has less remaining where
    the client's deadline is near, and its last one all that is left: the longest
    time is not a first try's. So the step that most requests come with is.
    """
    c = request_class
    deadline = c.spec.deadline
    step = max(0, min(REMAINING_STEPS * remaining // deadline, REMAINING_STEPS))
    histogram = c.remaining_histogram
    c.remaining_seen += 1
    histogram[step] += 1
    if histogram[step] > histogram[c.usual_remaining]:
        c.usual_remaining = step
    usual = c.usual_remaining
    if abs(step - usual) <= 1 or histogram[usual] < USUAL_PART * c.remaining_seen:
        return 0
    return max(deadline - remaining, 0)


def _exceeds_quota(state: BalancerState, now: int, tenant: int) -> bool:
    """Whether a tenant's request exceeds this node's part of its quota; if not it is charged."""
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
            # A tenant that was idle has not saved up turns.
            c.passes[tenant] = max(c.passes[tenant], c.virtual_time)
        c.queued_by_tenant[tenant] += 1
    if front:
        queue.appendleft(request)
    else:
        queue.append(request)


def dequeue(state: BalancerState, request: Request) -> None:
    """Count a request out of its queue; its entry there is dropped when it is met."""
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
    # A queue that is never served would keep all that ever waited in it.
    while queue and queue[0].state is not QUEUED:
        queue.popleft()
