"""Tests of which requests are resent, attempt timeouts, and the retry budget."""

from __future__ import annotations

from dataclasses import replace

import pytest

from loadbalancer.core import (
    Effect,
    Outcome,
    Settings,
)
from loadbalancer.core.balancing import retries
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.balancing.records import Attempt, Request
from tests.recording_host import KEYED, PURE, UNSAFE, build


def test_an_unsafe_request_that_may_have_executed_is_failed() -> None:
    """An unsafe request's attempt may end with an error after it has executed. Resending it, or
    telling the client to retry, could have its effect twice.
    """
    balancer, host = build()
    balancer.on_request(1, 9, 1, SECOND)
    balancer.on_outcome(5 * MS, 9, 0, Outcome.ERROR, 5 * MS, False)
    assert host.named("fail") == [("fail", 9)]
    assert len(host.named("send")) == 1


def test_a_keyed_request_is_resent_within_its_repeat_window_only() -> None:
    """After a reset a keyed request may have executed. Endpoints discard a repeat within the window
    only: a later one, by the node or by the client, would have the effect twice.
    """
    balancer, host = build()
    balancer.on_request(MS, 1, 2, SECOND)
    balancer.on_request(MS, 2, 2, SECOND)
    balancer.on_outcome(50 * MS, 1, 0, Outcome.RESET, 49 * MS, False)
    balancer.on_outcome(70 * MS, 2, 0, Outcome.RESET, 69 * MS, False)
    assert [c[1] for c in host.named("send")] == [1, 2, 1]
    # A rejection would invite a retry that no endpoint discards any more.
    assert host.named("fail") == [("fail", 2)]
    assert not host.named("refuse")


def test_an_unsafe_request_that_has_not_executed_is_resent() -> None:
    balancer, host = build()
    balancer.on_request(1, 9, 1, SECOND)
    balancer.on_outcome(5 * MS, 9, 0, Outcome.FULL, 5 * MS, False)
    assert len(host.named("send")) == 2


def test_immediate_errors_do_not_use_up_the_retry_budget() -> None:
    """Charged in full, a few failing endpoints would use up the budget while others are idle."""
    balancer, host = build(Settings(classes=(PURE,), max_attempts=3))
    for i in range(40):
        balancer.on_request(MS * i, i, 0, SECOND)
        balancer.on_outcome(MS * i + 1000, i, 0, Outcome.ERROR, 1000, False)
        balancer.on_outcome(MS * i + 2000, i, 1, Outcome.OK, 1000, True)
    assert len(host.named("send")) == 80


def test_retries_after_slow_errors_are_limited_by_the_retry_budget() -> None:
    balancer, host = build(Settings(classes=(PURE,), max_attempts=3))
    for i in range(40):
        balancer.on_request(SECOND * i, i, 0, SECOND)
        balancer.on_outcome(SECOND * i + 100 * MS, i, 0, Outcome.ERROR, 100 * MS, False)
        balancer.on_outcome(SECOND * i + 101 * MS, i, 1, Outcome.OK, MS, True)
    assert len(host.named("send")) < 80


def test_an_attempt_times_out_before_the_objective_and_a_repeatable_one_earlier() -> None:
    """Objective 200 ms, latency 10 ms: the early timeout is at least the objective."""
    classes = (replace(PURE, deadline=6 * SECOND), UNSAFE, replace(UNSAFE, late_weight=0.5))
    balancer, _ = build(Settings(classes=classes, max_attempts=2), count=1)
    timeouts = []
    for c in balancer.classes:
        c.latency = 10.0 * MS
        request = Request(1, c, 0, 900 * MS, 0, 2)
        request.objective_at = 600 * MS
        timeouts.append(retries.attempt_timeout(balancer.state, 0, request))
    assert timeouts == [200 * MS, 594 * MS, 900 * MS]


def test_without_retry_credit_there_is_no_early_timeout() -> None:
    balancer, _ = build(Settings(classes=(PURE,), max_attempts=2), count=1)
    request = Request(1, balancer.classes[0], 0, 900 * MS, 0, 2)
    request.objective_at = 600 * MS
    balancer.state.retry_credit = 0.0
    assert retries.attempt_timeout(balancer.state, 0, request) == 594 * MS


@pytest.mark.parametrize(
    ("effect", "executed", "at", "allowed"),
    [
        (Effect.PURE, True, 0, True),
        (Effect.SIDE_EFFECT, False, 0, True),
        (Effect.SIDE_EFFECT, True, 0, False),
        (Effect.TOKEN, True, 59, True),
        (Effect.TOKEN, True, 60, False),
        (Effect.TOKEN, False, 60, True),
    ],
)
def test_a_retry_is_allowed_by_effect_execution_and_repeat_window(
    effect: Effect, executed: bool, at: int, allowed: bool
) -> None:
    balancer, _ = build(Settings(classes=(replace(KEYED, effect=effect),)), count=1)
    request = Request(1, balancer.classes[0], 0, SECOND, 0, 4)
    request.attempts.append(Attempt(balancer.endpoints[100], 0))
    if executed:
        request.first_executed = request.attempts[0]
    assert retries.may_resend(at * MS, request) == allowed
    request.in_flight = 1
    assert not retries.may_resend(at * MS, request)  # only one attempt at a time
    request.in_flight = 0
    request.body_sent = True
    assert not retries.may_resend(at * MS, request)  # its body is not buffered
    request.body_sent = False
    request.max_attempts = 1
    assert not retries.may_resend(at * MS, request)
