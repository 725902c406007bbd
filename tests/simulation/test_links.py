"""Links with faults, and the events of a world."""

from __future__ import annotations

from random import Random

from loadbalancer.core.balancing.model import MS
from simulation.event_queue import EventQueue
from simulation.links import Links


def test_a_blocked_link_passes_nothing_in_its_direction_alone() -> None:
    links = Links(Random(1))
    links.block([0], [1, 2])
    assert links.draw_delays(0, 1) == links.draw_delays(0, 2) == []
    assert len(links.draw_delays(1, 0)) == 1
    links.unblock()
    assert len(links.draw_delays(0, 1)) == 1


def test_a_partition_blocks_both_directions_between_its_sides() -> None:
    links = Links(Random(1))
    links.partition({0, 1}, {2})
    assert links.draw_delays(0, 2) == links.draw_delays(2, 1) == []
    assert len(links.draw_delays(0, 1)) == 1


def test_messages_are_lost_duplicated_and_delayed_as_the_links_say() -> None:
    links = Links(Random(1), loss=1.0)
    assert links.draw_delays(0, 1) == []
    links = Links(Random(1), duplication=1.0, delay=3 * MS, jitter=MS)
    for _ in range(100):
        delays = links.draw_delays(0, 1)
        assert len(delays) == 2
        assert all(3 * MS <= delay < 4 * MS for delay in delays)


def test_events_run_by_time_and_in_a_tie_as_scheduled() -> None:
    queue = EventQueue()
    done: list[tuple[int, str]] = []

    def note(text: str) -> None:
        done.append((queue.now, text))

    queue.call_at(2, note, "late")
    queue.call_at(1, note, "first")
    queue.call_at(1, note, "second")
    while queue.run_next(1):
        pass
    assert done == [(1, "first"), (1, "second")]
    assert queue.run_next(2)
    assert done[-1] == (2, "late")
    assert not queue.run_next(10)
