"""Which endpoint a request is sent to (DESIGN-wharfspread, point 5).

The paper leaves this open. Here: among the endpoints in rotation the one with the
fewest of this node's requests in flight, its own zone before the others. Of those
that have equally few, CANDIDATE_COUNT are drawn at random and the one of the lowest load
cost, by its last answer, is taken. A further attempt goes to another endpoint than
the earlier ones where it can; the repeat of a keyed request goes to the group of
endpoints that know its key, whatever their load.
"""

from __future__ import annotations

from loadbalancer.core.balancing.endpoint_caps import FRESH_ANSWER_NS
from loadbalancer.core.balancing.model import Effect, Scope, State
from loadbalancer.core.balancing.outlier_detection import mark_unresponsive, silence_limit
from loadbalancer.core.balancing.records import Endpoint, Request
from loadbalancer.core.balancing.state import BalancerState

CANDIDATE_COUNT = 3  # endpoints drawn at random, of which the best is taken
DEFAULT_LOAD_COST = 1.0  # the load cost of an endpoint whose last answer is old

ALL, ZONE, TOKEN, READY = Scope.ALL, Scope.ZONE, Effect.TOKEN, State.READY


def pick(state: BalancerState, now: int) -> Endpoint | None:
    """The endpoint in rotation with the fewest requests in flight, None where none is.

    Those found silent on the way are marked unresponsive, which takes them out of rotation.
    """
    for pool in (state.local_buckets, state.remote_buckets):
        for bucket in pool:
            while bucket:
                best = _least_loaded(state, now, bucket)
                waiting = best.in_flight > best.transferring
                if not waiting or now - best.silent_since <= silence_limit(state):
                    return best
                # It has free slots but does not answer: a further request would time out too.
                mark_unresponsive(state, best)
    return None


def _least_loaded(state: BalancerState, now: int, bucket: list[Endpoint]) -> Endpoint:
    """The endpoint of lowest load cost among CANDIDATE_COUNT drawn from a non-empty bucket."""
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
    """The endpoint for this request's next attempt, given what `pick` found for any.

    None where the request may only go to a group of which no endpoint is ready.
    """
    attempts = request.attempts
    if not attempts:
        return picked
    executed = request.first_executed
    if executed is not None and request.effect == TOKEN and request.scope != ALL:
        return _pick_in_group(state, request)
    for _ in range(CANDIDATE_COUNT):
        if all(attempt.endpoint is not picked for attempt in attempts):
            break
        other = pick(state, now)
        if other is not None:
            picked = other
    return picked


def _pick_in_group(state: BalancerState, request: Request) -> Endpoint | None:
    """An endpoint that knows the request's key: of the zone or cell that executed it.

    The endpoint that executed it comes last, and not at all once it is draining.
    """
    executed = request.first_executed
    assert executed is not None
    by_zone = request.scope == ZONE
    group = [
        e
        for e in state.endpoints.values()
        if e.state == READY
        and not e.ejected_until
        and (e.zone == executed.zone if by_zone else e.cell == executed.cell)
    ]
    first = executed.endpoint
    return min(group, key=lambda e: (e is first, e.in_flight, e.id)) if group else None
