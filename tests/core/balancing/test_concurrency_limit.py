"""Tests of when the concurrency limit grows and when it is cut."""

from __future__ import annotations

from loadbalancer.core import (
    Balancer,
    Effect,
    Outcome,
    RequestClass,
    Settings,
)
from loadbalancer.core.balancing.model import MS, SECOND, Timer
from tests.recording_host import Host, build


def test_time_outs_cut_the_limit() -> None:
    """If only responses were counted, overload would look like light load."""
    balancer, host = build()
    before = balancer.concurrency_limit
    for i in range(8):
        balancer.on_request(MS, i, 0, SECOND)
    for i in range(8):
        balancer.on_outcome(SECOND, i, 0, Outcome.TIMEOUT, 195 * MS, True)
    balancer.on_timer(SECOND, Timer.CYCLE)
    assert balancer.concurrency_limit < before


def test_an_unresponsive_endpoint_does_not_cut_the_limit() -> None:
    """A single long time-out among responses is a fault of that endpoint, not congestion."""
    slow = RequestClass("slow", 200 * MS, 6 * SECOND, Effect.SIDE_EFFECT, late_weight=0.3)
    balancer, host = build(Settings(classes=(slow,)))
    before = balancer.concurrency_limit
    for i in range(10):
        balancer.on_request(MS, i, 0, 6 * SECOND)
    for i in range(9):
        balancer.on_outcome(40 * MS, i, 0, Outcome.OK, 39 * MS, True)
    balancer.on_outcome(6 * SECOND, 9, 0, Outcome.TIMEOUT, 6 * SECOND, True)
    balancer.on_timer(6 * SECOND, Timer.CYCLE)
    assert balancer.concurrency_limit >= before


def test_a_class_near_its_objective_on_idle_endpoints_lets_the_limit_grow() -> None:
    """Only latency above the uncongested one counts: some take half the objective."""
    balancer, host = build()
    before = balancer.concurrency_limit
    for k in range(8):
        now = k * SECOND // 2
        for i in range(30):
            balancer.on_request(now, 100 * k + i, 0, SECOND)
        for c in host.named("send"):
            balancer.on_outcome(now + 120 * MS, int(str(c[1])), 0, Outcome.OK, 120 * MS, True)
        host.calls.clear()
        balancer.on_timer(now + 400 * MS, Timer.CYCLE)
    assert balancer.concurrency_limit > before


def test_overload_from_the_start_is_not_taken_for_the_uncongested_state() -> None:
    """The node starts in overload, so the lowest mean latency so far is that of the overload."""
    balancer, host = build(count=20)
    before = 0.0
    for cycle in range(12):
        start = cycle * 500 * MS
        if cycle == 3:  # by now the mean under overload is the base latency
            assert balancer.classes[1].base_latency > 100 * MS
            before = balancer.concurrency_limit
        for i in range(20):
            balancer.on_request(start, cycle * 100 + i, 1, SECOND)
        for c in host.named("send"):
            # Every endpoint responds, and every fifth attempt reaches its objective.
            request_id = int(str(c[1]))
            late = (request_id + cycle) % 5 == 0
            duration = (195 if late else 110) * MS
            balancer.on_outcome(
                start + duration,
                request_id,
                0,
                Outcome.TIMEOUT if late else Outcome.OK,
                duration,
                False,
            )
        host.calls.clear()
        balancer.on_timer(start + 400 * MS, Timer.CYCLE)
    assert balancer.concurrency_limit < before


def run_cycle(balancer: Balancer, host: Host, start: int, count: int, duration: int) -> None:
    for i in range(count):
        balancer.on_request(start, start // MS * 100 + i, 0, SECOND)
    for c in host.named("send"):
        balancer.on_outcome(start + duration, int(str(c[1])), 0, Outcome.OK, duration, True)
    host.calls.clear()
    balancer.on_timer(start + 400 * MS, Timer.CYCLE)


def test_a_class_with_few_samples_does_not_cut_the_limit() -> None:
    """Its uncongested latency is unknown: it may normally take most of its objective."""
    balancer, host = build(count=20)
    before = balancer.concurrency_limit
    for k in range(4):
        run_cycle(balancer, host, k * SECOND // 2, 4, 150 * MS)
    assert balancer.concurrency_limit >= before


def test_congestion_of_a_class_with_sparse_traffic_is_measured_over_several_cycles() -> None:
    balancer, host = build(count=20)
    for k in range(8):
        run_cycle(balancer, host, k * SECOND // 2, 5, 100 * MS)
    before = balancer.concurrency_limit
    run_cycle(balancer, host, 4 * SECOND, 3, 180 * MS)  # three responses are not significant
    assert balancer.concurrency_limit >= before
    for k in range(9, 13):
        run_cycle(balancer, host, k * SECOND // 2, 5, 180 * MS)
    assert balancer.concurrency_limit < before


def test_few_responses_from_one_congestion_cut_the_limit_once() -> None:
    balancer, host = build(count=20)
    for k in range(8):
        run_cycle(balancer, host, k * SECOND // 2, 10, 60 * MS)
    before = balancer.concurrency_limit
    run_cycle(balancer, host, 4 * SECOND, 5, 190 * MS)
    cut = balancer.concurrency_limit
    assert cut < before
    for k in range(9, 13):  # one fast response per cycle is no evidence of congestion
        run_cycle(balancer, host, k * SECOND // 2, 1, 60 * MS)
    assert balancer.concurrency_limit == cut
