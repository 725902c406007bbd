"""Tests of which requests are rejected, and with which Retry-After."""

from __future__ import annotations

from dataclasses import replace

import pytest

from loadbalancer.core import (
    Effect,
    Scope,
    Settings,
)
from loadbalancer.core.balancing import final_answer
from loadbalancer.core.balancing.model import MS, SECOND, Timer
from loadbalancer.core.balancing.records import Attempt, Request
from tests.recording_host import KEYED, PURE, build


@pytest.mark.parametrize(
    ("max_retry_after", "marks_retry", "expected"),
    [(SECOND, False, 0), (SECOND, True, SECOND), (100 * MS, False, 100 * MS)],
)
def test_no_retry_after_beyond_the_objective_if_clients_do_not_mark_retries(
    max_retry_after: int, marks_retry: bool, expected: int
) -> None:
    """A client that waits beyond its objective returns late. Without a mark its retry looks like a
    first try, takes a slot from requests that are in time, and so keeps the overload going.
    """
    settings = Settings(classes=(PURE,), max_retry_after=max_retry_after, marks_retry=marks_retry)
    balancer, host = build(settings, count=1)
    for i in range(20):
        balancer.on_request(1, i, 0, SECOND)
    balancer.on_timer(190 * MS, Timer.WAKE)
    assert host.waits
    assert set(host.waits) == {expected}


@pytest.mark.parametrize(
    ("effect", "scope", "executed", "at", "answer"),
    [
        (Effect.PURE, Scope.ALL, True, 0, "refuse"),
        (Effect.SIDE_EFFECT, Scope.ALL, False, 0, "refuse"),
        (Effect.SIDE_EFFECT, Scope.ALL, True, 0, "fail"),
        (Effect.TOKEN, Scope.ALL, True, 59, "refuse"),
        (Effect.TOKEN, Scope.ALL, True, 60, "fail"),  # endpoints may no longer know its key
        (Effect.TOKEN, Scope.ZONE, True, 0, "fail"),  # a client's retry may reach another zone
        (Effect.TOKEN, Scope.ZONE, False, 0, "refuse"),
    ],
)
def test_a_request_is_rejected_only_if_a_retry_is_harmless(
    effect: Effect, scope: Scope, executed: bool, at: int, answer: str
) -> None:
    balancer, host = build(Settings(classes=(replace(KEYED, effect=effect, scope=scope),)))
    request = Request(1, balancer.classes[0], 0, SECOND, 0, 4)
    if executed:
        request.first_executed = Attempt(balancer.endpoints[100], 0)
    balancer.state.now = at * MS
    final_answer.reject_or_fail(balancer.state, request)
    final_answer.reject_or_fail(balancer.state, request)  # a second call does nothing
    assert [c for c in host.calls if c[0] in ("refuse", "fail")] == [(answer, 1)]
