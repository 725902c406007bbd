"""Tests of back-off, ejection and probing of endpoints."""

from __future__ import annotations

from loadbalancer.core import (
    Outcome,
    Settings,
)
from loadbalancer.core.balancing import outlier_detection
from loadbalancer.core.balancing.model import MS, SECOND, Timer
from tests.recording_host import PURE, UNSAFE, build


def test_an_endpoint_that_rejects_backs_off() -> None:
    """It responds immediately, so it would always have the fewest requests in flight and attract
    all traffic.
    """
    balancer, host = build(Settings(classes=(PURE, UNSAFE), max_attempts=2), count=2)
    for i in range(20):
        balancer.on_request(MS * i, i, 0, SECOND)
        sent = host.named("send")[-1]
        if sent[1] == i and sent[2] == 100:
            balancer.on_outcome(MS * i, i, 0, Outcome.FULL, 0, False)
    to_full = [c for c in host.named("send") if c[2] == 100]
    assert len(to_full) == 1


def test_ejections_are_logged_once_a_second() -> None:
    balancer, host = build(count=6)
    for i in range(24):
        balancer.on_request(MS, i, 1, SECOND)
    for i in range(24):
        balancer.on_outcome(2 * MS, i, 0, Outcome.RESET, MS, True)
    assert balancer.state.ejected > 1
    assert len(host.named("log")) == 1


def test_a_single_time_out_leaves_an_endpoint_in_rotation() -> None:
    """Under load, attempts also time out at healthy endpoints; three in a row mean silence."""
    balancer, host = build(Settings(classes=(UNSAFE,)), count=4)
    endpoint = balancer.endpoints[100]
    for i in range(40):
        at = i * SECOND
        balancer.on_request(at, i, 0, SECOND)
        for c in host.named("send"):
            if c[1] == i:
                code = Outcome.TIMEOUT if c[2] == 100 else Outcome.OK
                balancer.on_outcome(at + 195 * MS, i, 0, code, 195 * MS, True)
        if endpoint.consecutive_failures in (1, 2):
            assert not endpoint.ejected_until
        if endpoint.consecutive_failures == 3:
            break
    assert endpoint.ejected_until


def test_an_unresponsive_endpoint_is_probed_once_nothing_is_in_flight() -> None:
    """An unresponsive endpoint gets no requests, so no response could ever clear the state."""
    balancer, host = build(Settings(classes=(UNSAFE,)), count=1)
    balancer.on_request(MS, 0, 0, SECOND)
    balancer.on_request(SECOND, 1, 0, SECOND)
    assert balancer.endpoints[100].unresponsive
    assert len(host.named("send")) == 1
    balancer.on_outcome(SECOND + MS, 0, 0, Outcome.TIMEOUT, SECOND, True)
    assert [c[1] for c in host.named("send")] == [0, 1]


def test_random_resets_eject_no_endpoint_and_do_not_use_up_the_budget() -> None:
    """Every third connection breaks when it is used, and all requests are still served."""
    balancer, host = build(Settings(classes=(PURE,), max_attempts=4), count=4)
    for i in range(90):
        now = 10 * MS * (i + 1)
        balancer.on_request(now, i, 0, SECOND)
        if i % 3 == 0:
            balancer.on_outcome(now + 1000, i, 0, Outcome.RESET, 1000, False)
            balancer.on_outcome(now + 9 * MS, i, 1, Outcome.OK, 9 * MS, True)
        else:
            balancer.on_outcome(now + 9 * MS, i, 0, Outcome.OK, 9 * MS, True)
    assert balancer.state.ejected == 0
    assert not balancer.state.requests
    assert len(host.named("send")) == 120
    assert not host.named("refuse")


def test_never_more_than_half_of_the_endpoints_are_ejected() -> None:
    """An apparent loss of most endpoints is more likely a fault of this node."""
    balancer, _ = build(count=5)
    for endpoint in balancer.endpoints.values():
        outlier_detection.eject(balancer.state, SECOND, endpoint, True, False)
    assert balancer.state.ejected == 2
    assert sum(e.ejected_until > 0 for e in balancer.endpoints.values()) == 2


def test_ejections_double_until_a_response_and_end_with_a_probe() -> None:
    balancer, host = build(Settings(classes=(UNSAFE,)), count=4)
    state, endpoint = balancer.state, balancer.endpoints[100]
    now, durations = SECOND, []
    for _ in range(5):
        outlier_detection.eject(state, now, endpoint, True, False)
        durations.append(endpoint.ejected_until - now)
        now = endpoint.ejected_until
        balancer.on_timer(now, Timer.WAKE)
        assert not endpoint.ejected_until
        assert endpoint.probing
    assert durations == [SECOND, 2 * SECOND, 4 * SECOND, 8 * SECOND, 8 * SECOND]
    for request in range(12):
        balancer.on_request(now, request, 0, SECOND)
    (probe,) = (c[1] for c in host.named("send") if c[2] == 100)  # one at a time
    balancer.on_outcome(now + MS, int(str(probe)), 0, Outcome.OK, MS, True)
    assert not endpoint.probing
    assert endpoint.next_ejection_ns == SECOND


def test_only_consecutive_errors_make_an_endpoint_back_off() -> None:
    balancer, _ = build(count=2)
    state, endpoint, c = balancer.state, balancer.endpoints[100], balancer.classes[0]
    for number in range(1, outlier_detection.MAX_ERRORS + 1):
        assert not endpoint.backoff_until
        outlier_detection.record_failure(state, SECOND, c, endpoint, Outcome.ERROR, MS)
        assert endpoint.consecutive_errors == number
    assert SECOND < endpoint.backoff_until <= SECOND + outlier_detection.MAX_BACKOFF_NS
    outlier_detection.record_success(state, 4 * SECOND, c, endpoint, MS, ())
    assert endpoint.consecutive_errors == 0


def test_after_failed_connects_an_endpoint_returns_cold() -> None:
    """The new process may respond before it is in the list, so the endpoint returns cold."""
    balancer, _ = build(count=4)
    endpoint, c = balancer.endpoints[100], balancer.classes[0]
    for _ in range(outlier_detection.MAX_LOST_FAILURES):
        outlier_detection.record_failure(
            balancer.state, SECOND, c, endpoint, Outcome.CONNECT_FAILED, MS
        )
    assert endpoint.connect_failed
    assert endpoint.ejected_until > SECOND
    assert endpoint.cold_until == endpoint.ejected_until + balancer.settings.cold
