"""Selects the endpoint that a request is sent to.

Pacifici et al. 2005, "Performance Management for Cluster-Based Web Services", leave this selection
open; the rule is this project's own. Of the endpoints in rotation, those of the node's own zone
are preferred, then those with the fewest of this node's requests in flight. Among equals,
CANDIDATE_COUNT are sampled at random and the one with the lowest load cost, as of its last
response, is selected. A retry goes to an endpoint that has not had an attempt yet if possible. The
repeat of a request with an idempotency key goes to the group of endpoints that know the key,
regardless of their load.
"""

from __future__ import annotations

from loadbalancer.core.balancing import repeat_groups
from loadbalancer.core.balancing.endpoint_caps import FRESH_ANSWER_NS
from loadbalancer.core.balancing.model import State
from loadbalancer.core.balancing.outlier_detection import mark_unresponsive, silence_limit
from loadbalancer.core.balancing.records import Endpoint, Request
from loadbalancer.core.balancing.state import BalancerState

CANDIDATE_COUNT = 3  # endpoints sampled at random, of which the best is selected
DEFAULT_LOAD_COST = 1.0  # load cost of an endpoint whose last response is too old to show it

READY = State.READY


def pick(state: BalancerState, now: int) -> Endpoint | None:
    """The endpoint in rotation with the fewest requests in flight, or None.

    Endpoints that are found silent are marked unresponsive and so leave the rotation.
    """
    for buckets in (state.local_buckets, state.remote_buckets):
        for bucket in buckets:
            while bucket:
                best = _least_loaded(state, now, bucket)
                waiting = best.in_flight > best.transferring
                if not waiting or now - best.silent_since <= silence_limit(state):
                    return best
                # It has free slots but does not respond: another request would time out as well.
                mark_unresponsive(state, best)
    return None


def _least_loaded(state: BalancerState, now: int, bucket: list[Endpoint]) -> Endpoint:
    """The endpoint with the lowest load cost of CANDIDATE_COUNT sampled from a bucket."""
    random = state.random.random
    count = len(bucket)
    best = bucket[int(random() * count)]
    if count > 1:
        best_cost = best.load_cost if now - best.last_seen < FRESH_ANSWER_NS else DEFAULT_LOAD_COST
        for _ in range(CANDIDATE_COUNT - 1):
            other = bucket[int(random() * count)]
            cost = other.load_cost if now - other.last_seen < FRESH_ANSWER_NS else DEFAULT_LOAD_COST
            if cost < best_cost:
                best, best_cost = other, cost
    return best


def pick_for(state: BalancerState, now: int, request: Request, picked: Endpoint) -> Endpoint | None:
    """The endpoint for this request's next attempt, given the result of `pick`.

    None if the request may only go to a group of endpoints and none of them is ready.
    """
    attempts = request.attempts
    if not attempts:
        return picked
    if repeat_groups.is_bound(request):
        return _pick_in_group(state, request)
    for _ in range(CANDIDATE_COUNT):
        if all(attempt.endpoint is not picked for attempt in attempts):
            break
        other = pick(state, now)
        if other is not None:
            picked = other
    return picked


def _pick_in_group(state: BalancerState, request: Request) -> Endpoint | None:
    """An endpoint that knows the request's key, as `repeat_groups` says.

    The endpoint that executed it is the last choice, and excluded once it is draining.
    """
    executed = request.first_executed
    assert executed is not None
    group = [
        e
        for e in state.endpoints.values()
        if e.state == READY and not e.ejected_until and repeat_groups.contains(request, e)
    ]
    first = executed.endpoint
    return min(group, key=lambda e: (e is first, e.in_flight, e.id)) if group else None
