"""Tests of retries under route policies: conditions, timeouts, back-off, and limits."""

from __future__ import annotations

from dataclasses import replace

import pytest

from loadbalancer.core import (
    Balancer,
    Effect,
    Outcome,
    Scope,
    State,
    Update,
)
from loadbalancer.core.balancing import rotation
from loadbalancer.core.balancing.model import MS, SECOND, Timer
from loadbalancer.core.routes.table import BudgetSpec, Condition
from tests.core.balancing.policy_harness import (
    HEDGED_POLICY,
    SAFE_POLICY,
    SETTINGS,
    UNSAFE_POLICY,
    PolicyHarness,
)
from tests.recording_host import Host, rows

FAILURES = [Outcome.ERROR, Outcome.FULL, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET]


@pytest.mark.parametrize("outcome", FAILURES)
@pytest.mark.parametrize("connected", [False, True])
@pytest.mark.parametrize("retried_condition", [*Condition, None])
def test_an_attempt_is_retried_only_if_its_failure_is_a_retry_condition(
    outcome: Outcome, connected: bool, retried_condition: Condition | None
) -> None:
    conditions = {
        Outcome.ERROR: Condition.ERROR,
        Outcome.FULL: Condition.REFUSED,
        Outcome.TIMEOUT: Condition.TIMEOUT,
        Outcome.RESET: Condition.RESET,
        Outcome.CONNECT_FAILED: Condition.RESET_BEFORE_SENT
        if connected
        else Condition.CONNECT_FAILURE,
    }
    harness = PolicyHarness()
    policy = replace(
        SAFE_POLICY, retry_on=frozenset([retried_condition] if retried_condition else [])
    )
    harness.request(0, 1, policy)
    harness.end_attempt(5 * MS, 1, 0, outcome, connected=connected)
    is_retried = conditions[outcome] == retried_condition
    assert len(harness.sends(1)) == 1 + is_retried
    assert harness.final_responses(1) == (not is_retried)  # immediately


@pytest.mark.parametrize("outcome", [*FAILURES, Outcome.CANCELLED])
def test_an_unsafe_request_that_may_have_executed_is_never_resent(outcome: Outcome) -> None:
    """Not even under a policy that the routes file could not express."""
    permissive = replace(
        UNSAFE_POLICY, retry_on=frozenset(Condition), attempts=4, hedging=HEDGED_POLICY.hedging
    )
    harness = PolicyHarness()
    harness.request(0, 1, permissive)
    harness.wake(60 * MS)
    assert len(harness.sends(1)) == 1  # no hedge
    harness.end_attempt(70 * MS, 1, 0, outcome)
    may_have_executed = outcome not in (Outcome.FULL, Outcome.CONNECT_FAILED)
    assert len(harness.sends(1)) == (1 if may_have_executed else 2)
    assert harness.final_responses(1) == may_have_executed


@pytest.mark.parametrize("attempts", [1, 2, 3])
def test_attempts_are_limited_by_the_policy(attempts: int) -> None:
    harness = PolicyHarness()
    harness.request(0, 1, replace(SAFE_POLICY, attempts=attempts))
    for number in range(attempts):
        assert len(harness.sends(1)) == number + 1
        harness.end_attempt((number + 1) * 5 * MS, 1, number, Outcome.ERROR)
    assert len(harness.sends(1)) == attempts
    assert harness.final_responses(1) == 1


def test_the_settings_max_attempts_limit_a_policy() -> None:
    harness = PolicyHarness(settings=replace(SETTINGS, max_attempts=2))
    harness.request(0, 1, replace(SAFE_POLICY, attempts=4))
    for number in range(2):
        harness.end_attempt((number + 1) * 5 * MS, 1, number, Outcome.ERROR)
    assert len(harness.sends(1)) == 2
    assert harness.final_responses(1) == 1


def test_timeouts_follow_the_policy_within_the_remaining_time() -> None:
    harness = PolicyHarness()
    harness.request(0, 1, replace(SAFE_POLICY, attempt_timeout=300 * MS))
    assert harness.sends(1)[0][3] == 300 * MS
    harness.request(0, 2, replace(SAFE_POLICY, timeout=200 * MS, attempt_timeout=300 * MS))
    assert harness.sends(2)[0][3] == 200 * MS
    harness.request(0, 3, replace(SAFE_POLICY, attempt_timeout=300 * MS), remaining=100 * MS)
    assert harness.sends(3)[0][3] == 100 * MS


def test_the_early_timeout_applies_only_if_time_outs_are_retried() -> None:
    """If no retry follows, an early timeout would only fail the request."""
    harness = PolicyHarness()
    # Five such latencies are less than the objective, which is then the early timeout.
    harness.balancer.classes[0].latency = 10.0 * MS
    retries_time_outs, retries_rejections = (
        SAFE_POLICY,
        replace(SAFE_POLICY, retry_on=frozenset([Condition.REFUSED]), wanted=SECOND),
    )
    harness.request(0, 1, replace(retries_time_outs, wanted=SECOND))
    harness.request(0, 2, retries_rejections)
    assert harness.sends(1)[0][3] < harness.sends(2)[0][3]


def test_a_route_stricter_than_its_class_prevails() -> None:
    harness = PolicyHarness()
    unsafe = replace(SAFE_POLICY, effect=Effect.SIDE_EFFECT, hedging=HEDGED_POLICY.hedging)
    harness.request(0, 1, unsafe)
    harness.wake(60 * MS)
    harness.end_attempt(70 * MS, 1, 0, Outcome.RESET)
    assert len(harness.sends(1)) == 1
    # It may have executed, so it is not rejected.
    assert harness.host.named("fail") == [("fail", 1)]


@pytest.mark.parametrize(("duration", "sends"), [(5 * MS, 2), (40 * MS, 1)])
def test_a_keyed_request_is_repeated_within_its_routes_window_and_zone(
    duration: int, sends: int
) -> None:
    settings = replace(SETTINGS, zones=2)
    harness = PolicyHarness(0, settings=settings)
    harness.balancer.on_members(0, Update.FULL, [*rows(2, zone=0), *rows(6, zone=1, first=200)])
    keyed = replace(SAFE_POLICY, effect=Effect.TOKEN, scope=Scope.ZONE, window=30 * MS)
    harness.request(0, 1, keyed)
    harness.end_attempt(duration, 1, 0, Outcome.RESET, duration)
    assert len(harness.sends(1)) == sends
    assert len({send[2] // 100 for send in harness.sends(1)}) == 1


def test_a_back_off_delays_the_retry_and_no_other_request() -> None:
    harness = PolicyHarness()
    policy = replace(SAFE_POLICY, backoff_base=40 * MS, max_backoff=80 * MS)
    harness.request(0, 1, policy)
    harness.end_attempt(5 * MS, 1, 0, Outcome.ERROR)
    assert len(harness.sends(1)) == 1
    assert not harness.final_responses(1)
    due = [c for c in harness.host.named("timer") if c[1] == Timer.WAKE][-1][2]
    assert isinstance(due, int)
    assert 5 * MS < due <= 45 * MS
    harness.request(6 * MS, 2, policy)
    assert len(harness.sends(2)) == 1
    harness.wake(due)
    assert len(harness.sends(1)) == 2


def test_a_request_whose_back_off_would_end_too_late_is_answered_immediately() -> None:
    harness = PolicyHarness()
    policy = replace(SAFE_POLICY, backoff_base=5 * SECOND, max_backoff=5 * SECOND)
    harness.request(0, 1, policy)
    harness.end_attempt(5 * MS, 1, 0, Outcome.ERROR)
    assert harness.final_responses(1) == 1


def test_a_client_that_disconnects_during_a_back_off_leaves_no_state() -> None:
    harness = PolicyHarness()
    harness.request(0, 1, replace(SAFE_POLICY, backoff_base=40 * MS, max_backoff=40 * MS))
    harness.end_attempt(5 * MS, 1, 0, Outcome.ERROR)
    harness.balancer.on_client_disconnected(6 * MS, 1)
    harness.wake(100 * MS)
    assert len(harness.sends(1)) == 1
    assert not harness.balancer.state.requests
    assert harness.policies.node_budget.active == 0


def test_back_offs_are_spread_over_their_full_range() -> None:
    """Full jitter: requests that failed at the same time are not retried at the same time."""
    harness = PolicyHarness()
    policy = replace(SAFE_POLICY, backoff_base=40 * MS, max_backoff=40 * MS)
    due_times = []
    for request_id in range(1, 60):
        harness.request(0, request_id, policy)
        if harness.sends(request_id):
            harness.end_attempt(0, request_id, 0, Outcome.ERROR)
            due_times.append(harness.balancer.state.requests[request_id].policy_state.due)  # type: ignore[union-attr]
        for b in harness.balancer.endpoints.values():
            b.backoff_until = 0
            rotation.update(harness.balancer.state, b)
    assert len(due_times) > 40
    assert min(due_times) < 8 * MS
    assert max(due_times) > 32 * MS


def test_a_request_keeps_the_policy_it_was_admitted_with() -> None:
    harness = PolicyHarness()
    policy = replace(SAFE_POLICY, attempts=2, backoff_base=40 * MS, max_backoff=40 * MS)
    harness.request(0, 1, policy)
    harness.end_attempt(5 * MS, 1, 0, Outcome.ERROR)
    harness.policies.replace(BudgetSpec(0.1, 1.0), set())  # its route is removed
    harness.wake(60 * MS)
    assert len(harness.sends(1)) == 2
    harness.end_attempt(70 * MS, 1, 1, Outcome.OK)
    assert harness.policies.node_budget.active == 0


def test_requests_without_a_policy_are_not_affected() -> None:
    harness = PolicyHarness()
    other_host = Host()
    other = Balancer(SETTINGS, 1, other_host)
    other.start(0)
    other.on_members(0, Update.CACHED, rows(4))
    for balancer in (harness.balancer, other):
        for request_id in range(1, 50):
            balancer.on_request(request_id * MS, request_id, request_id % 2, 2000 * MS)
            if request_id % 3 == 0:
                balancer.on_outcome(
                    request_id * MS, request_id, 0, FAILURES[request_id % 5], MS, False
                )
    assert harness.host.calls == other_host.calls
    assert State.READY in {b.state for b in other.endpoints.values()}
