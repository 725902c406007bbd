"""Whether a further attempt may be sent, attempt timeouts, and when a request is given up.

- No second send of what may have executed, unless repeating has no effect, or the
  request's key makes the repeat harmless within its window. Never two attempts at a
  time, but for hedges (`hedging`).
- At most the attempts of the settings or, lower, of the route's policy.
- A further attempt must be able to end in time: it is queued, ahead of the others, only
  while its objective and its client's deadline are at least a mean latency away.
- The retry budget bounds work that is done twice: RETRY_PART of a retry is earned with
  each first attempt, up to RETRY_BURST. An attempt that failed at once has cost little and is
  charged by its duration; one that never executed costs nothing.
- An attempt ends at its client's deadline, or just before the objective where late
  answers are of no use; one that may be repeated ends earlier, after EARLY_LATENCIES mean
  latencies, while the budget has credit.

Times are nanoseconds.
"""

from __future__ import annotations

from loadbalancer.core.balancing import admission, final_answer
from loadbalancer.core.balancing.model import MS, Effect, Outcome, State
from loadbalancer.core.balancing.records import Request, RequestState
from loadbalancer.core.balancing.state import RETRY_BURST, BalancerState

OBJECTIVE_MARGIN = 0.03  # of the objective, that an attempt ends before it
EARLY_LATENCIES = 5.0  # early timeout of an attempt that may be repeated, in mean latencies ...
EARLY_OBJECTIVE_PART = 1.0  # ... and at least this part of the latency objective
RETRY_PART = 0.1  # retries after executed attempts allowed per first attempt
MIN_TIMEOUT_NS = MS
# Outcomes after which an attempt has certainly not executed.
NOT_EXECUTED = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)

PURE, TOKEN, SIDE_EFFECT = Effect.PURE, Effect.TOKEN, Effect.SIDE_EFFECT
ERROR, RESET = Outcome.ERROR, Outcome.RESET
ENDED = RequestState.ENDED


def max_attempts(request: Request) -> int:
    """The most attempts that a request may have."""
    policy_state = request.policy_state
    granted = policy_state.policy.attempts if policy_state is not None else 0
    return min(granted or request.max_attempts, request.max_attempts)


def may_resend(now: int, request: Request) -> bool:
    """Whether another attempt is allowed; `endpoint_selection` says where to."""
    if request.in_flight or request.body_sent:
        return False
    if len(request.attempts) >= max_attempts(request):
        return False
    executed = request.first_executed
    if executed is None or request.effect == PURE:
        return True
    if request.effect == SIDE_EFFECT:
        return False
    return now < executed.sent + request.repeat_window


def earn_credit(state: BalancerState) -> None:
    """Earn a first attempt's part of a retry."""
    state.retry_credit = min(state.retry_credit + RETRY_PART, RETRY_BURST)


def attempt_timeout(state: BalancerState, now: int, request: Request) -> int:
    """How long the request's next attempt may take, in nanoseconds."""
    c = request.request_class
    end = request.deadline
    if c.spec.late_weight <= 0:
        margin = int(c.latency_objective * OBJECTIVE_MARGIN)
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
        limit = max(EARLY_LATENCIES * c.latency, EARLY_OBJECTIVE_PART * c.latency_objective)
        timeout = min(timeout, int(limit))
    return timeout


def retry_cost(request: Request, outcome: int, duration: int) -> float:
    """What a retry after this outcome is charged to the retry budget, up to 1."""
    if outcome in (ERROR, RESET):
        return min(duration / request.request_class.latency, 1.0)
    return 1.0


def retry_or_finish(state: BalancerState, now: int, request: Request, cost: float) -> None:
    """Queue a further attempt ahead of the others, or give the final answer."""
    c = request.request_class
    request.wait_until = min(request.objective_at, request.deadline) - int(c.latency)
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
    """Whether an attempt's first byte may still leave, now that its connection is up.

    Guards against changes while it connected: its endpoint is draining or removed, its client
    has disconnected, its repeat window has ended. An attempt that may not begin has not
    executed: its request is queued again, or rejected.
    """
    if request.state is ENDED or attempt >= len(request.attempts) or not request.max_attempts:
        return False
    executed = request.first_executed
    if (
        executed is not None
        and request.effect == TOKEN
        and now >= executed.sent + request.repeat_window
    ):
        return False
    return request.attempts[attempt].endpoint.state == State.READY
