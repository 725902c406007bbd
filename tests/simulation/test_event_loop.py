"""Simulated time: the order of callbacks, and when a run ends."""

from __future__ import annotations

from functools import partial

from simulation.control_world.event_loop import EventLoop
from simulation.control_world.settings import CONDITION_INTERVAL


def test_callbacks_run_by_time_and_in_a_tie_by_their_scheduling() -> None:
    loop, run = EventLoop(), list[str]()
    for delay, name in ((20, "third"), (10, "first"), (10, "second")):
        loop.call_later(delay, partial(run.append, name))
    assert not loop.run(20)
    assert run == ["first", "second", "third"]
    assert loop.now == 20


def test_callbacks_after_the_duration_wait_for_the_next_run() -> None:
    loop, run = EventLoop(), list[int]()
    loop.call_later(11, lambda: run.append(loop.now))
    loop.run(10)
    assert run == []
    loop.run(1)
    assert run == [11]


def test_a_run_ends_at_the_first_check_at_which_its_condition_holds() -> None:
    loop, run = EventLoop(), list[int]()
    for delay in (1, 2, CONDITION_INTERVAL + 1, 2 * CONDITION_INTERVAL):
        loop.call_later(delay, lambda: run.append(loop.now))
    assert loop.run(CONDITION_INTERVAL * 10, lambda: len(run) >= 2)
    assert run == [1, 2, CONDITION_INTERVAL + 1]
    assert loop.now == CONDITION_INTERVAL + 1


def test_a_condition_that_never_holds_is_checked_at_the_end() -> None:
    loop = EventLoop()
    assert not loop.run(10, lambda: False)
    assert loop.run(10, lambda: loop.now == 20)
