"""The final response of a request that could not be served: rejected or failed.

A rejection tells the client that a retry is harmless. It is given only if that is true: the
request has certainly not executed, or a second execution has no effect, or all endpoints still
know the request's idempotency key (within its repeat window). Otherwise the request fails.
"""

from __future__ import annotations

from loadbalancer.core.balancing.model import Effect, Scope
from loadbalancer.core.balancing.records import Request, RequestState
from loadbalancer.core.balancing.state import BalancerState

ENDED = RequestState.ENDED


def reject_or_fail(state: BalancerState, request: Request) -> None:
    """Reject or fail a request that could not be served, unless it has already ended."""
    if request.state is ENDED:
        return
    mark_ended(state, request)
    if not request.deferred:
        request.request_class.rejected += 1
    if not request.in_flight:
        state.requests.pop(request.id, None)
    if _may_reject(state, request):
        state.actions.refuse(request.id, _retry_after(state, request))
    else:
        state.actions.fail(request.id)


def mark_ended(state: BalancerState, request: Request) -> None:
    """Mark a request as ended: it was answered, or its client has disconnected."""
    if request.state is not ENDED:
        request.state = ENDED
        if request.policy_state is not None and state.policies is not None:
            state.policies.request_ended(request.policy_state)


def _may_reject(state: BalancerState, request: Request) -> bool:
    """Whether the client can retry without harm."""
    if request.effect == Effect.PURE:
        return True
    if request.in_flight:
        return False  # that attempt may still execute, a client's retry would be the second time
    executed = request.first_executed
    if executed is None:
        return True
    keyed = request.effect == Effect.TOKEN and request.scope == Scope.ALL
    return keyed and state.now < executed.sent + request.repeat_window


def _retry_after(state: BalancerState, request: Request) -> int:
    """The Retry-After of a rejection, in nanoseconds; 0 for none.

    A client that waits beyond its objective returns with a retry that is already late. If
    clients don't mark their retries, such retries would take slots from requests that are
    in time. Then no wait is requested, and an immediate retry can still be in time.
    """
    settings = state.settings
    wait = settings.max_retry_after
    spec = request.request_class.spec
    late = spec.late_weight <= 0 and wait > request.request_class.latency_objective
    return 0 if late and not settings.marks_retry else wait
