"""The timer heap, tested with a fake event loop that records the timers set on it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

import pytest

from loadbalancer.proxy.timers import MIN_COMPACTED_ENTRIES, TimerHeap

SECOND_NS = 1_000_000_000
OVER = 7  # an item that needs no timer any more


class Handle:
    """A timer of the fake event loop."""

    def __init__(self, delay_s: float, callback: Callable[[], None]) -> None:
        self.delay_s = delay_s
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class Loop:
    """A fake event loop whose timers are fired by the test."""

    def __init__(self) -> None:
        self.handles: list[Handle] = []

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Handle:
        self.handles.append(Handle(delay_s, callback))
        return self.handles[-1]

    def armed(self) -> list[float]:
        """The delays in seconds of the timers not cancelled, rounded to two digits."""
        return [round(handle.delay_s, 2) for handle in self.handles if not handle.cancelled]


@pytest.fixture
def loop() -> Loop:
    return Loop()


@pytest.fixture
def fired() -> list[str]:
    return []


@pytest.fixture
def heap(loop: Loop, fired: list[str], monkeypatch: pytest.MonkeyPatch) -> TimerHeap:
    """An empty heap. The monotonic clock is patched to return 100 s."""
    monkeypatch.setattr("time.monotonic_ns", lambda: 100 * SECOND_NS)
    return TimerHeap(cast(Any, loop), lambda: fired.append("due"), lambda item: item == OVER)


def test_items_that_are_over_do_not_stay_until_they_are_due(heap: TimerHeap) -> None:
    """Each request stayed with its head for the time that its client had named."""
    for number in range(4 * MIN_COMPACTED_ENTRIES):
        heap.add(200 * SECOND_NS, OVER if number % 100 else 1)
    assert len(heap._heap) <= MIN_COMPACTED_ENTRIES
    due = iter(lambda: heap.pop_due(200 * SECOND_NS), None)
    assert sum(item == 1 for item in due) == 4 * MIN_COMPACTED_ENTRIES / 100 // 1 + 1


def test_an_empty_heap_sets_no_timer(heap: TimerHeap, loop: Loop) -> None:
    heap.arm()
    assert not loop.handles
    assert heap.pop_due(1 << 62) is None


def test_the_loop_has_one_timer_for_the_earliest_item(heap: TimerHeap, loop: Loop) -> None:
    for due_s in (107, 103, 105):
        heap.add(due_s * SECOND_NS, due_s)
        heap.arm()
    assert loop.armed() == [3.0]
    assert len(loop.handles) == 2  # the item due at 105 s set no timer


def test_an_item_due_in_the_past_fires_immediately(heap: TimerHeap, loop: Loop) -> None:
    heap.add(90 * SECOND_NS, 1)
    heap.arm()
    assert loop.armed() == [0.0]


def test_items_are_returned_by_due_time_and_then_in_order_of_insertion(heap: TimerHeap) -> None:
    for due, item in ((30, 3), (20, 1), (20, 2), (40, 4)):
        heap.add(due, item)
    popped = [heap.pop_due(30) for _ in range(4)]
    assert popped == [1, 2, 3, None]


def test_after_firing_the_timer_is_set_for_the_next_item(
    heap: TimerHeap, loop: Loop, fired: list[str]
) -> None:
    heap.add(101 * SECOND_NS, 1)
    heap.add(104 * SECOND_NS, 2)
    heap.arm()
    loop.handles.pop().callback()
    assert fired == ["due"]
    assert heap.pop_due(102 * SECOND_NS) == 1
    heap.arm()
    assert loop.armed() == [4.0]
