"""Which queued request goes next (DESIGN-wharfspread, point 3).

A work-conserving weighted round robin over the classes: a class has the turn for
as many requests as its share has slots, and a class with fewer requests in flight
than its share goes before one with more. Deferred requests are sent when no other is
queued. Within a class tenants take turns by stride scheduling (Waldspurger), in
proportion to their portions; a tenant's requests are sent in the order of arrival,
retries first.
"""

from __future__ import annotations

from math import inf

from loadbalancer.core.balancing.admission import dequeue
from loadbalancer.core.balancing.records import ClassState, Request, RequestState
from loadbalancer.core.balancing.state import BalancerState

QUEUED = RequestState.QUEUED


def next_request(state: BalancerState, deferred: bool) -> Request:
    """Take the next request, deferred or not, out of its queue; there must be one."""
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
        c = classes[number]
        if c.deferred if deferred else c.queued:
            if c.in_flight < c.share:
                return _take_turn(state, number)
            if over_share is None:
                over_share = number
    assert over_share is not None
    return _take_turn(state, over_share)


def _take_turn(state: BalancerState, number: int) -> ClassState:
    """Begin the turn of a class, or use one more request of its present turn."""
    request_class = state.classes[number]
    if number != state.turn or state.remaining_in_turn <= 0:
        state.turn = number
        state.remaining_in_turn = request_class.share
    state.remaining_in_turn -= 1
    return request_class


def _next_tenant(state: BalancerState, request_class: ClassState) -> int:
    """The tenant with queued requests whose pass is lowest; advances its pass by a stride."""
    lowest = inf
    tenant = 0
    for number, count in enumerate(request_class.queued_by_tenant):
        if count and request_class.passes[number] < lowest:
            lowest, tenant = request_class.passes[number], number
    request_class.virtual_time = lowest
    request_class.passes[tenant] += state.stride[tenant]
    return tenant
