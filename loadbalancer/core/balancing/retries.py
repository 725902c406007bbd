"""Retries: whether another attempt may be sent, its timeout, and when to give up.

- A request that may have executed is resent only if a second execution has no effect, or if its
  idempotency key makes the repeat harmless, which it does within the repeat window. There is one
  attempt at a time, apart from hedges (`hedging`).
- The number of attempts is limited by the settings and by the route's policy.
- A retry must be able to finish in time: it is queued, ahead of other requests, only while the
  objective and the client's deadline are more than a mean latency away.
- The retry budget bounds repeated work: each first attempt earns RETRY_CREDIT_PER_FIRST_ATTEMPT of
  a retry, up to MAX_RETRY_CREDIT. An attempt that failed quickly has cost little and is charged by
  its duration; one that never executed costs nothing.
- An attempt times out at its client's deadline, or just before the objective if late responses are
  of no use. While the budget has credit, an attempt that may be repeated times out earlier, after
  EARLY_TIMEOUT_MEAN_LATENCIES mean latencies.

Times are nanoseconds.
"""

from __future__ import annotations

from loadbalancer.core.balancing import admission, final_answer, repeat_groups
from loadbalancer.core.balancing.model import MS, Effect, Outcome, State
from loadbalancer.core.balancing.records import Request, RequestState
from loadbalancer.core.balancing.state import MAX_RETRY_CREDIT, BalancerState

# An attempt times out before its objective by this fraction of it, if late responses are useless.
TIMEOUT_MARGIN_OBJECTIVE_FRACTION = 0.03
# The early timeout of a repeatable attempt is this multiple of its class's mean latency.
EARLY_TIMEOUT_MEAN_LATENCIES = 5.0
# The early timeout is at least this fraction of the latency objective.
MIN_EARLY_TIMEOUT_OBJECTIVE_FRACTION = 1.0
# Each first attempt earns this part of a retry of a request that may have executed.
RETRY_CREDIT_PER_FIRST_ATTEMPT = 0.1
MIN_TIMEOUT_NS = MS
# Outcomes of attempts that have certainly not executed.
NOT_EXECUTED = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)

PURE, TOKEN, SIDE_EFFECT = Effect.PURE, Effect.TOKEN, Effect.SIDE_EFFECT
ERROR, RESET = Outcome.ERROR, Outcome.RESET
ENDED = RequestState.ENDED


def max_attempts(request: Request) -> int:
    """How many attempts a request may have, by the settings and its route's policy."""
    policy_state = request.policy_state
    granted = policy_state.policy.attempts if policy_state is not None else 0
    return min(granted or request.max_attempts, request.max_attempts)


def may_resend(now: int, request: Request) -> bool:
    """Whether the request may be sent again; `endpoint_selection` decides where to."""
    if request.in_flight or request.body_sent:
        return False
    if len(request.attempts) >= max_attempts(request):
        return False
    executed = request.first_executed
    if executed is None or request.effect == PURE:
        return True
    if request.effect == SIDE_EFFECT:
        return False
    return now < executed.sent + request.repeat_window and repeat_groups.is_known(request)


def earn_credit(state: BalancerState) -> None:
    """Add the part of a retry that a first attempt earns."""
    state.retry_credit = min(state.retry_credit + RETRY_CREDIT_PER_FIRST_ATTEMPT, MAX_RETRY_CREDIT)


def attempt_timeout(state: BalancerState, now: int, request: Request) -> int:
    """The timeout of the request's next attempt, in nanoseconds."""
    request_class = request.request_class
    end = request.deadline
    if request_class.spec.late_weight <= 0:
        margin = int(request_class.latency_objective * TIMEOUT_MARGIN_OBJECTIVE_FRACTION)
        end = min(end, request.objective_at - margin)
    timeout = max(end - now, MIN_TIMEOUT_NS)
    allows_early_timeout = True
    if request.policy_state is not None and state.policies is not None:
        timeout, allows_early_timeout = state.policies.begin_attempt(
            now, request, request.policy_state, timeout
        )
    if (
        allows_early_timeout
        and request.effect == PURE
        and len(request.attempts) + 1 < max_attempts(request)
        and state.retry_credit >= 1.0
    ):
        limit = max(
            EARLY_TIMEOUT_MEAN_LATENCIES * request_class.latency,
            MIN_EARLY_TIMEOUT_OBJECTIVE_FRACTION * request_class.latency_objective,
        )
        timeout = min(timeout, int(limit))
    return timeout


def retry_cost(request: Request, outcome: int, duration: int) -> float:
    """What a retry after this outcome costs in the retry budget, 0 to 1."""
    if outcome in (ERROR, RESET):
        return min(duration / request.request_class.latency, 1.0)
    return 1.0


def retry_or_finish(state: BalancerState, now: int, request: Request, cost: float) -> None:
    """Queue the request again, ahead of others, or give its final response."""
    request_class = request.request_class
    request.wait_until = min(request.objective_at, request.deadline) - int(request_class.latency)
    allowed = now < request.wait_until and may_resend(now, request)
    if allowed and request.first_executed is not None:
        allowed = state.retry_credit >= cost
        if allowed:
            state.retry_credit -= cost
    if not allowed:
        final_answer.reject_or_fail(state, request)
        return
    admission.enqueue(state, request, True)
    state.wake(request.wait_until, request)


def may_begin(now: int, request: Request, attempt: int) -> bool:
    """Whether an attempt whose connection is established may send its first byte.

    Guards against changes during the connect: the endpoint may be draining, removed or listed
    in another group, the client may have disconnected, the repeat window may have ended. An
    attempt that may not begin has not executed, so its request is queued again or rejected.
    """
    if request.state is ENDED or attempt >= len(request.attempts) or not request.max_attempts:
        return False
    executed = request.first_executed
    endpoint = request.attempts[attempt].endpoint
    if executed is not None and request.effect == TOKEN:
        is_late = now >= executed.sent + request.repeat_window
        if is_late or not repeat_groups.contains(request, endpoint):
            return False
    return endpoint.state == State.READY
