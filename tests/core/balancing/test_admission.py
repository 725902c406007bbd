"""What is queued, what goes behind the others, and how long each waits."""

from __future__ import annotations

from loadbalancer.core import (
    Effect,
    Outcome,
    RequestClass,
    Settings,
)
from loadbalancer.core.balancing.model import MS, SECOND, Timer
from tests.recording_host import PURE, build


def test_every_queued_request_is_answered_by_its_own_time() -> None:
    """A head that may wait longer must not hide those behind it."""
    near = RequestClass("near", 200 * MS, 250 * MS, Effect.SIDE_EFFECT)
    balancer, host = build(Settings(classes=(near,)), count=1)
    for i in range(10):
        balancer.on_request(1, i, 0, 250 * MS)
    slots = balancer.state.max_in_flight
    balancer.on_request(1, 90, 0, 170 * MS)
    assert len(host.named("send")) == slots
    due = min(int(str(c[2])) for c in host.named("timer") if c[1] == Timer.WAKE)
    balancer.on_timer(due, Timer.WAKE)
    assert host.named("refuse") == [("refuse", 90)]


def test_a_marked_client_retry_goes_behind_first_tries() -> None:
    """Asked to stay away past its objective, a client that is back is late already."""
    balancer, host = build(Settings(classes=(PURE,), max_retry_after=SECOND), count=1)
    for i in range(balancer.state.max_in_flight):
        balancer.on_request(MS, i, 0, SECOND)
    balancer.on_request(MS, 50, 0, SECOND, client_retry=True)
    balancer.on_request(MS, 51, 0, SECOND)
    host.calls.clear()
    balancer.on_outcome(2 * MS, 0, 0, Outcome.OK, MS, True)
    balancer.on_outcome(2 * MS, 1, 0, Outcome.OK, MS, True)
    assert [c[1] for c in host.named("send")] == [51, 50]


def test_a_try_late_by_its_first_goes_behind() -> None:
    """Less time remaining than usual shows how long ago the client began."""
    balancer, host = build(Settings(classes=(PURE,)), count=1)
    for i in range(balancer.state.max_in_flight):
        balancer.on_request(MS, i, 0, 500 * MS)
    balancer.on_request(MS, 50, 0, 300 * MS)  # began 700 ms ago, its objective is 200
    balancer.on_request(MS, 51, 0, 980 * MS)  # a last try, begun 20 ms ago
    balancer.on_request(MS, 52, 0, 500 * MS)
    host.calls.clear()
    for i in range(3):
        balancer.on_outcome(2 * MS, i, 0, Outcome.OK, MS, True)
    assert [c[1] for c in host.named("send")] == [51, 52, 50]


def test_first_tries_do_not_pass_for_late_beside_longer_last_tries() -> None:
    """Last tries may have the most time left; compared with them all others would look late."""
    balancer, _ = build(Settings(classes=(PURE,)), count=1)
    for i in range(30):
        balancer.on_request(MS, i, 0, 980 * MS if i % 3 == 2 else 400 * MS)
    assert balancer.state.deferred == 0
    assert balancer.state.queued > 0


def test_remaining_times_that_vary_show_nothing() -> None:
    balancer, _ = build(Settings(classes=(PURE,)), count=1)
    for i in range(40):
        balancer.on_request(MS, i, 0, (1000 - 25 * (i * 7 % 40)) * MS)
    assert balancer.state.deferred <= 2  # only while few have been seen


def test_a_queue_that_is_never_served_does_not_grow() -> None:
    """Deferred requests may be rejected for ever without a turn: their queue must not grow."""
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
