"""The final answer of a request that is not served: rejected or failed.

A rejection tells the client that trying again is harmless, so it is given only where
that is true: the request has never executed, or repeating it has no effect, or
every endpoint recognises the repeat by its key for as long as that is retained. Else
the request is failed.
"""

from __future__ import annotations

from loadbalancer.core.balancing.model import Effect, Scope
from loadbalancer.core.balancing.records import Request, RequestState
from loadbalancer.core.balancing.state import BalancerState

ENDED = RequestState.ENDED


def give(state: BalancerState, request: Request) -> None:
    """End a request without service, unless it has ended."""
    if request.state is ENDED:
        return
    end(state, request)
    if not request.deferred:
        request.request_class.rejected += 1
    if not request.in_flight:
        state.requests.pop(request.id, None)
    if _may_reject(state, request):
        state.actions.refuse(request.id, _retry_after(state, request))
    else:
        state.actions.fail(request.id)


def end(state: BalancerState, request: Request) -> None:
    """Its final answer is given, or its client has gone."""
    if request.state is not ENDED:
        request.state = ENDED
        if request.policy_state is not None and state.policies is not None:
            state.policies.ended(request.policy_state)


def _may_reject(state: BalancerState, request: Request) -> bool:
    """Whether the client may try again without harm."""
    if request.effect == Effect.PURE:
        return True
    if request.in_flight:
        return False
    executed = request.first_executed
    if executed is None:
        return True
    keyed = request.effect == Effect.TOKEN and request.scope == Scope.ALL
    return keyed and state.now < executed.sent + request.repeat_window


def _retry_after(state: BalancerState, request: Request) -> int:
    """How long a rejected client should wait, in nanoseconds; 0 asks for no wait.

    Asked to wait past its objective, a client comes back with a try that is late
    whatever is done. Where such tries carry no mark they take slots from those in
    time: then no wait is asked, and what comes back at once can still be answered.
    """
    settings = state.settings
    wait = settings.max_retry_after
    spec = request.request_class.spec
    late = spec.late_weight <= 0 and wait > request.request_class.latency_objective
    return 0 if late and not settings.marks_retry else wait
