"""The final answer of a request that is not served: rejected or failed.

A rejection means that a retry is harmless, so it is given only where that is true: the
request has never executed, or a second execution has no effect, or every endpoint still
recognises the request's key (within its repeat window). Otherwise the request fails.
"""

from __future__ import annotations

from loadbalancer.core.balancing.model import Effect, Scope
from loadbalancer.core.balancing.records import Request, RequestState
from loadbalancer.core.balancing.state import BalancerState

ENDED = RequestState.ENDED


def reject_or_fail(state: BalancerState, request: Request) -> None:
    """End a request without service, unless it has ended."""
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
    """Mark a request as ended: its answer is given, or its client has disconnected."""
    if request.state is not ENDED:
        request.state = ENDED
        if request.policy_state is not None and state.policies is not None:
            state.policies.request_ended(request.policy_state)


def _may_reject(state: BalancerState, request: Request) -> bool:
    """Whether the client may try again without harm."""
    if request.effect == Effect.PURE:
        return True
    if request.in_flight:
        return False  # that attempt may execute yet: the client's next try would be the second
    executed = request.first_executed
    if executed is None:
        return True
    keyed = request.effect == Effect.TOKEN and request.scope == Scope.ALL
    return keyed and state.now < executed.sent + request.repeat_window


def _retry_after(state: BalancerState, request: Request) -> int:
    """The Retry-After of a rejection, in nanoseconds; 0 for none.

    A client that waits past its objective returns with a try that is late in any case.
    Where clients don't mark retries, such tries would take slots from those in time: then
    no wait is requested, and a retry at once can still be answered in time.
    """
    settings = state.settings
    wait = settings.max_retry_after
    spec = request.request_class.spec
    late = spec.late_weight <= 0 and wait > request.request_class.latency_objective
    return 0 if late and not settings.marks_retry else wait
