"""Sends queued requests while slots are free.

The two limits are those of Pacifici et al. 2005, "Performance Management for Cluster-Based Web
Services": a request may be sent while the node has fewer than `BalancerState.max_in_flight` (N_g)
attempts in flight and some endpoint is below its cap (N_{g,s}). Unlike there, transfers of long
messages are not counted, so that they leave their slots to other requests. `scheduling` selects
the request, `endpoint_selection` the endpoint.
"""

from __future__ import annotations

from loadbalancer.core.balancing import final_answer, rotation, slow_start
from loadbalancer.core.balancing.endpoint_selection import pick, pick_for
from loadbalancer.core.balancing.records import Attempt, AttemptState, Endpoint, Request
from loadbalancer.core.balancing.retries import attempt_timeout, earn_credit, may_resend
from loadbalancer.core.balancing.scheduling import next_request
from loadbalancer.core.balancing.state import BalancerState

OPEN, TRANSFERRING = AttemptState.OPEN, AttemptState.TRANSFERRING


def dispatch(state: BalancerState, now: int) -> None:
    """Send queued requests while slots are free."""
    while state.in_flight - state.transferring < state.max_in_flight:
        deferred = False
        if not state.queued:
            if not state.deferred:
                return
            deferred = True
        picked = pick(state, now)
        if picked is None:
            return
        request = next_request(state, deferred)
        # A retry's repeat window may end while the request is queued.
        if now > request.wait_until or (request.attempts and not may_resend(now, request)):
            final_answer.reject_or_fail(state, request)
            continue
        endpoint = pick_for(state, now, request, picked)
        if endpoint is None:
            final_answer.reject_or_fail(state, request)
        else:
            send(state, now, request, endpoint)


def send(state: BalancerState, now: int, request: Request, endpoint: Endpoint) -> None:
    """Send a request's next attempt to an endpoint."""
    if not request.attempts:
        earn_credit(state)
    timeout = attempt_timeout(state, now, request)
    request.attempts.append(Attempt(endpoint, now))
    request.in_flight += 1
    request.request_class.in_flight += 1
    state.in_flight += 1
    state.sends += 1
    if not endpoint.in_flight:
        endpoint.silent_since = now
    endpoint.in_flight += 1
    if endpoint.cold_until > now:
        slow_start.space_sends(state, now, endpoint)
    rotation.update(state, endpoint)
    state.actions.send(request.id, endpoint.id, timeout)


def set_transferring(state: BalancerState, attempt: Attempt, transferring: bool) -> None:
    """Mark the start or the end of an attempt's transfer of a long message.

    A transferring attempt does not count as waiting for its endpoint, and its slot can be
    used by another request, for up to `rotation.MAX_TRANSFERRING` transfers per endpoint.
    """
    if attempt.state is (OPEN if transferring else TRANSFERRING):
        attempt.state = TRANSFERRING if transferring else OPEN
        change = 1 if transferring else -1
        endpoint = attempt.endpoint
        endpoint.transferring += change
        state.transferring += change
        rotation.update(state, endpoint)
        if transferring:
            dispatch(state, state.now)
