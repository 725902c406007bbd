"""The lifecycle of a process: readiness, and how many idle connections it closes."""

from __future__ import annotations

import pytest

from loadbalancer.core.balancing.model import MS
from loadbalancer.proxy.lifecycle import (
    DRAIN_CLOSE_END_NS,
    DRAIN_TICK_NS,
    FAILED_CHECK_DELAY_NS,
    HANDOVER_CLOSE_BEGIN_NS,
    HANDOVER_CLOSE_END_NS,
    UNCHECKED_CLOSE_BEGIN_NS,
    Lifecycle,
)


@pytest.fixture
def lifecycle() -> Lifecycle:
    """A process that has a usable list and serves."""
    lifecycle = Lifecycle()
    lifecycle.has_usable_list = True
    return lifecycle


def test_a_drain_spreads_the_closes_over_the_time_after_the_first_failed_check(
    lifecycle: Lifecycle,
) -> None:
    assert lifecycle.idle_close_count(0, 5) == 0
    assert lifecycle.answer_readiness_check(5)
    lifecycle.begin_standby(1000 * MS)
    assert not lifecycle.answer_readiness_check(1100 * MS)
    assert not lifecycle.answer_readiness_check(1200 * MS)
    assert lifecycle.idle_close_count(1100 * MS + FAILED_CHECK_DELAY_NS - 1, 100) == 0
    idle, now = 100, 1100 * MS + FAILED_CHECK_DELAY_NS
    closed = []
    while now < 1000 * MS + DRAIN_CLOSE_END_NS:
        closed.append(lifecycle.idle_close_count(now, idle))
        idle -= closed[-1]
        now += DRAIN_TICK_NS
    assert max(closed) <= 6
    assert idle == 0
    assert lifecycle.idle_close_count(now, 7) == 7  # later ones are closed at once


def test_a_drain_without_readiness_checks_closes_and_a_second_call_does_not_delay_it(
    lifecycle: Lifecycle,
) -> None:
    lifecycle.begin_standby(1000 * MS)
    lifecycle.begin_standby(1500 * MS)
    assert lifecycle.idle_close_count(1000 * MS + UNCHECKED_CLOSE_BEGIN_NS - 1, 10) == 0
    assert lifecycle.idle_close_count(1000 * MS + UNCHECKED_CLOSE_BEGIN_NS, 10) > 0
    assert lifecycle.idle_close_count(1000 * MS + DRAIN_CLOSE_END_NS, 10) == 10


def test_a_stop_still_closes_connections_after_a_drain_has_ended(lifecycle: Lifecycle) -> None:
    lifecycle.begin_standby(1000 * MS)
    lifecycle.end_standby()
    assert lifecycle.answer_readiness_check(0)
    assert lifecycle.idle_close_count(9000 * MS, 10) == 0
    lifecycle.stopping = True
    assert lifecycle.closes_after_response
    assert not lifecycle.answer_readiness_check(0)
    assert lifecycle.idle_close_count(9000 * MS, 10) == 10


def test_a_process_that_has_handed_over_is_ready_and_closes_idle_connections(
    lifecycle: Lifecycle,
) -> None:
    """Its readiness is the node's, whose clients the successor accepts."""
    lifecycle.on_successor_accepting(1000 * MS)
    lifecycle.stopping = True
    assert lifecycle.answer_readiness_check(1100 * MS)
    assert lifecycle.closes_after_response
    assert lifecycle.idle_close_count(1000 * MS + HANDOVER_CLOSE_BEGIN_NS - 1, 10) == 0
    assert lifecycle.idle_close_count(1000 * MS + HANDOVER_CLOSE_END_NS - DRAIN_TICK_NS, 10) == 10
    lifecycle.on_successor_disconnected()
    assert not lifecycle.answer_readiness_check(1200 * MS)


def test_a_node_becomes_ready_with_its_first_usable_list() -> None:
    lifecycle = Lifecycle()
    lifecycle.serving = True
    assert not lifecycle.can_serve
    assert not lifecycle.answer_readiness_check(5)
    lifecycle.has_usable_list = True
    assert lifecycle.can_serve
    assert lifecycle.answer_readiness_check(6)
