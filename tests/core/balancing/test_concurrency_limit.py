"""When the limit of all nodes at one endpoint grows, and when it is cut."""

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
    """Answers alone would make a jam look like light load."""
    balancer, host = build()
    before = balancer.concurrency_limit
    for i in range(8):
        balancer.on_request(MS, i, 0, SECOND)
    for i in range(8):
        balancer.on_outcome(SECOND, i, 0, Outcome.TIMEOUT, 195 * MS, True)
    balancer.on_timer(SECOND, Timer.CYCLE)
    assert balancer.concurrency_limit < before


def test_an_unresponsive_endpoint_does_not_cut_the_limit() -> None:
    """One long time-out among answers is a matter of that endpoint's health."""
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


def test_a_class_near_its_objective_on_idle_endpoints_does_not_pin_the_limit() -> None:
    """Only what congestion adds counts: some classes take half their objective anyway."""
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


def test_a_jam_from_the_start_does_not_pass_for_the_uncongested_state() -> None:
    """Born in overload, the lowest mean ever seen is the jam's own."""
    balancer, host = build(count=20)
    before = 0.0
    for cycle in range(12):
        start = cycle * 500 * MS
        if cycle == 3:  # enough seen for the jam's mean to have become the base
            assert balancer.classes[1].base_latency > 100 * MS
            before = balancer.concurrency_limit
        for i in range(20):
            balancer.on_request(start, cycle * 100 + i, 1, SECOND)
        for c in host.named("send"):
            # Every endpoint answers, and every fifth attempt runs into its objective.
            rid = int(str(c[1]))
            late = (rid + cycle) % 5 == 0
            duration = (195 if late else 110) * MS
            balancer.on_outcome(
                start + duration, rid, 0, Outcome.TIMEOUT if late else Outcome.OK, duration, False
            )
        host.calls.clear()
        balancer.on_timer(start + 400 * MS, Timer.CYCLE)
    assert balancer.concurrency_limit < before


def answers(balancer: Balancer, host: Host, start: int, count: int, duration: int) -> None:
    for i in range(count):
        balancer.on_request(start, start // MS * 100 + i, 0, SECOND)
    for c in host.named("send"):
        balancer.on_outcome(start + duration, int(str(c[1])), 0, Outcome.OK, duration, True)
    host.calls.clear()
    balancer.on_timer(start + 400 * MS, Timer.CYCLE)


def test_a_class_with_few_samples_does_not_cut_the_limit() -> None:
    """Its uncongested latency is not known yet: most of the objective may be usual."""
    balancer, host = build(count=20)
    before = balancer.concurrency_limit
    for k in range(4):
        answers(balancer, host, k * SECOND // 2, 4, 150 * MS)
    assert balancer.concurrency_limit >= before


def test_a_class_with_thin_traffic_is_judged_by_several_cycles() -> None:
    balancer, host = build(count=20)
    for k in range(8):
        answers(balancer, host, k * SECOND // 2, 5, 100 * MS)
    before = balancer.concurrency_limit
    answers(balancer, host, 4 * SECOND, 3, 180 * MS)  # three answers are chance
    assert balancer.concurrency_limit >= before
    for k in range(9, 13):
        answers(balancer, host, k * SECOND // 2, 5, 180 * MS)
    assert balancer.concurrency_limit < before


def test_few_answers_of_one_jam_cut_the_limit_once() -> None:
    balancer, host = build(count=20)
    for k in range(8):
        answers(balancer, host, k * SECOND // 2, 10, 60 * MS)
    before = balancer.concurrency_limit
    answers(balancer, host, 4 * SECOND, 5, 190 * MS)
    cut = balancer.concurrency_limit
    assert cut < before
    for k in range(9, 13):  # one quick answer a cycle tells nothing of a jam
        answers(balancer, host, k * SECOND // 2, 1, 60 * MS)
    assert balancer.concurrency_limit == cut
