"""Tests of queueing times and deferred requests."""

from __future__ import annotations

from loadbalancer.core import (
    Effect,
    Outcome,
    RequestClass,
    Settings,
)
from loadbalancer.core.balancing.model import MS, SECOND, Timer
from tests.recording_host import PURE, build


def test_every_queued_request_is_rejected_at_the_end_of_its_own_wait() -> None:
    """A request at the head of the queue that may wait longer must not delay those behind it."""
    short_deadline = RequestClass("short_deadline", 200 * MS, 250 * MS, Effect.SIDE_EFFECT)
    balancer, host = build(Settings(classes=(short_deadline,)), count=1)
    for i in range(10):
        balancer.on_request(1, i, 0, 250 * MS)
    slots = balancer.state.max_in_flight
    balancer.on_request(1, 90, 0, 170 * MS)
    assert len(host.named("send")) == slots
    due = min(int(str(c[2])) for c in host.named("timer") if c[1] == Timer.WAKE)
    balancer.on_timer(due, Timer.WAKE)
    assert host.named("refuse") == [("refuse", 90)]


def test_a_marked_client_retry_is_deferred() -> None:
    """A client that was asked to wait beyond its objective returns late."""
    balancer, host = build(Settings(classes=(PURE,), max_retry_after=SECOND), count=1)
    for i in range(balancer.state.max_in_flight):
        balancer.on_request(MS, i, 0, SECOND)
    balancer.on_request(MS, 50, 0, SECOND, client_retry=True)
    balancer.on_request(MS, 51, 0, SECOND)
    host.calls.clear()
    balancer.on_outcome(2 * MS, 0, 0, Outcome.OK, MS, True)
    balancer.on_outcome(2 * MS, 1, 0, Outcome.OK, MS, True)
    assert [c[1] for c in host.named("send")] == [51, 50]


def test_a_request_late_by_its_first_try_is_deferred() -> None:
    """A remaining time other than the usual one shows how long ago the client's first try was."""
    balancer, host = build(Settings(classes=(PURE,)), count=1)
    for i in range(balancer.state.max_in_flight):
        balancer.on_request(MS, i, 0, 500 * MS)
    balancer.on_request(MS, 50, 0, 300 * MS)  # first try 700 ms ago, with an objective of 200 ms
    balancer.on_request(MS, 51, 0, 980 * MS)  # a last try; first try 20 ms ago
    balancer.on_request(MS, 52, 0, 500 * MS)
    host.calls.clear()
    for i in range(3):
        balancer.on_outcome(2 * MS, i, 0, Outcome.OK, MS, True)
    assert [c[1] for c in host.named("send")] == [51, 52, 50]


def test_first_tries_are_not_deferred_for_last_tries_with_more_time() -> None:
    """Last tries may have the longest remaining time; compared with them others would look late."""
    balancer, _ = build(Settings(classes=(PURE,)), count=1)
    for i in range(30):
        balancer.on_request(MS, i, 0, 980 * MS if i % 3 == 2 else 400 * MS)
    assert balancer.state.deferred == 0
    assert balancer.state.queued > 0


def test_with_varied_remaining_times_nothing_is_deferred() -> None:
    balancer, _ = build(Settings(classes=(PURE,)), count=1)
    for i in range(40):
        balancer.on_request(MS, i, 0, (1000 - 25 * (i * 7 % 40)) * MS)
    assert balancer.state.deferred <= 2  # only while there are few samples


def test_a_queue_that_is_never_served_does_not_grow() -> None:
    """Deferred requests may all be rejected without ever being sent: their queue must not grow."""
    balancer, _ = build(Settings(classes=(PURE,), max_retry_after=SECOND), count=1)
    for k in range(50):
        now = k * SECOND
        for i in range(20):
            balancer.on_request(
                now, 100 * k + i, 0, SECOND, client_retry=i >= balancer.state.max_in_flight
            )
        assert balancer.state.deferred == 20 - balancer.state.max_in_flight
        balancer.on_timer(now + 190 * MS, Timer.WAKE)
        for i in range(balancer.state.max_in_flight):
            balancer.on_outcome(now + 191 * MS, 100 * k + i, 0, Outcome.OK, 191 * MS, True)
    assert len(balancer.classes[0].deferred_queue) == 0
