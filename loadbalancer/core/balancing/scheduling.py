"""Selects the queued request that is sent next.

The scheduler is that of Pacifici et al. 2005, "Performance Management for Cluster-Based Web
Services": work-conserving weighted round robin over the classes. A class keeps the turn for as
many requests as its share has slots, and classes with fewer requests in flight than their share
come first. Deferred requests are sent only when no other request is queued. Within a class,
tenants are scheduled by stride scheduling (Waldspurger) in proportion to their portions; a
tenant's requests are sent in order of arrival, retries first.
"""

from __future__ import annotations

from math import inf

from loadbalancer.core.balancing.admission import dequeue
from loadbalancer.core.balancing.records import ClassState, Request, RequestState
from loadbalancer.core.balancing.state import BalancerState

QUEUED = RequestState.QUEUED


def next_request(state: BalancerState, deferred: bool) -> Request:
    """Remove the next request from its queue and return it; one must be queued.

    `deferred` selects among the deferred requests instead of the others.
    """
    request_class = _next_class(state, deferred)
    queue = request_class.deferred_queue
    if not deferred:
        tenant = _next_tenant(state, request_class) if state.quota else 0
        queue = request_class.queues[tenant]
    while True:
        request = queue.popleft()
        if request.state is QUEUED:
            dequeue(state, request)
            return request


def _next_class(state: BalancerState, deferred: bool) -> ClassState:
    classes = state.classes
    count = len(classes)
    start = state.turn if state.remaining_in_turn > 0 else (state.turn + 1) % count
    over_share = None
    for step in range(count):
        number = (start + step) % count
        request_class = classes[number]
        if request_class.deferred if deferred else request_class.queued:
            if request_class.in_flight < request_class.share:
                return _take_turn(state, number)
            if over_share is None:
                over_share = number
    assert over_share is not None
    return _take_turn(state, over_share)


def _take_turn(state: BalancerState, number: int) -> ClassState:
    """Use one request of the class's turn, starting a new turn if it has none."""
    request_class = state.classes[number]
    if number != state.turn or state.remaining_in_turn <= 0:
        state.turn = number
        state.remaining_in_turn = request_class.share
    state.remaining_in_turn -= 1
    return request_class


def _next_tenant(state: BalancerState, request_class: ClassState) -> int:
    """The tenant with queued requests and the lowest pass; advances its pass by its stride."""
    lowest = inf
    tenant = 0
    for number, count in enumerate(request_class.queued_by_tenant):
        if count and request_class.passes[number] < lowest:
            lowest, tenant = request_class.passes[number], number
    request_class.virtual_time = lowest
    request_class.passes[tenant] += state.stride[tenant]
    return tenant
