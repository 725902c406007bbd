"""Processes that run, are paused or are gone: what becomes of events and timers."""

from __future__ import annotations

import pytest

from simulation.control_world.event_loop import EventLoop
from simulation.control_world.processes import ProcessGroup

INDEX = 3
Process = list[str]  # of the events that it got


@pytest.fixture
def loop() -> EventLoop:
    return EventLoop()


@pytest.fixture
def group(loop: EventLoop) -> ProcessGroup[Process]:
    """One process runs."""
    group: ProcessGroup[Process] = ProcessGroup(loop)
    group.running[INDEX] = []
    return group


def test_a_paused_process_gets_its_events_in_order_when_it_is_resumed(
    group: ProcessGroup[Process],
) -> None:
    process = group.running[INDEX]
    group.pause(INDEX)
    group.deliver(INDEX, lambda process: process.append("first"))
    group.deliver(INDEX, lambda process: process.append("second"))
    assert process == []
    assert group.paused == [INDEX]
    group.resume(INDEX)
    assert process == ["first", "second"]
    assert group.paused == []


def test_what_waits_for_a_paused_process_is_lost_when_it_is_killed(
    group: ProcessGroup[Process],
) -> None:
    process = group.running[INDEX]
    group.pause(INDEX)
    group.deliver(INDEX, lambda process: process.append("event"))
    assert group.kill(INDEX) is process
    successor = group.running[INDEX] = []
    group.resume(INDEX)
    assert process == []
    assert successor == []


def test_an_event_for_a_process_that_does_not_run_is_lost(group: ProcessGroup[Process]) -> None:
    process = group.kill(INDEX)
    group.deliver(INDEX, lambda process: process.append("event"))
    assert process == []
    assert group.kill(INDEX) is None


def test_a_timer_skips_pauses_and_ends_with_its_incarnation(
    loop: EventLoop, group: ProcessGroup[Process]
) -> None:
    process = group.running[INDEX]
    group.call_every(INDEX, process, 1, 10, lambda: process.append(str(loop.now)))
    loop.run(15)
    group.pause(INDEX)
    loop.run(10)
    group.resume(INDEX)
    loop.run(10)
    assert process == ["1", "11", "31"]
    group.kill(INDEX)
    group.running[INDEX] = []
    loop.run(100)
    assert process == ["1", "11", "31"]
    assert group.running[INDEX] == []
