"""Generations of assignments: answers that are lost or late, and machines that number anew."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import NamedTuple

import pytest

from loadbalancer.config.address import Address
from loadbalancer.control.machine.list_format import NodeAssignment, PollResponse
from loadbalancer.control.machine.subscriber import Subscriber
from loadbalancer.core.assignment.model import START
from loadbalancer.core.subscription.holder import Holder
from loadbalancer.core.subscription.limits import HolderLimits
from tests.control.machine.socketless import Rig, in_loop

MACHINES = [Address("127.0.0.1", 1), Address("127.0.0.1", 2)]
REGIONS = ("east", "west")


@pytest.mark.parametrize(("generation", "is_sent_again"), [(-1, True), (0, False), (1, False)])
def test_an_assignment_whose_answer_was_lost_is_sent_again(
    tmp_path: Path, generation: int, is_sent_again: bool
) -> None:
    """The answer with a node's assignment is lost with its connection. The node comes back and
    reports an earlier generation: the assignment must be sent again, though it has not changed.
    One that reports its generation, counted from the sent one here, has it.
    """

    def play(rig: Rig) -> None:
        lost = rig.connect()
        lost.poll(rig.log.position)
        ((_, answer),) = lost.answers
        assert answer is not None
        assert answer.assignment is not None
        sent = answer.assignment.generation
        again = rig.connect()
        again.poll(rig.log.position, serving="cart", generation=str(sent + generation))
        if is_sent_again:
            ((_, answer),) = again.answers
            assert answer is not None
            assert answer.assignment is not None
            assert answer.assignment.wanted == {"cart": "east", "pay": "east"}
        else:
            assert not again.answers

    in_loop(tmp_path, play)


class Event(NamedTuple):
    """An answer to the poll for a region, or the loss of the machine that it is polled at."""

    region: str
    generation: int | None  # None: the poll fails
    wanted: Mapping[str, str] = {}


def subscriber_after(events: list[Event]) -> Subscriber:
    """A node's subscriber that has polled nobody, and was given these answers."""
    holder = Holder("n1", REGIONS, HolderLimits())
    subscriber = Subscriber(holder, REGIONS, MACHINES, lambda *_: None, 1)
    for event in events:
        state = subscriber._regions[event.region]
        if event.generation is None:
            subscriber._on_failure(event.region, state, "silent")
        else:
            assignment = NodeAssignment(event.wanted, frozenset(), event.generation)
            subscriber._on_response(event.region, state, PollResponse(START, None, assignment))
    return subscriber


def in_subscriber(events: list[Event], look: Callable[[Subscriber], None]) -> None:
    async def run() -> None:
        subscriber = subscriber_after(events)
        look(subscriber)
        subscriber.close()

    asyncio.run(run())


A, B = {"a": "east"}, {"b": "east"}


@pytest.mark.parametrize(
    ("events", "wanted"),
    [
        ([Event("east", 5, A), Event("west", 6, B)], B),
        ([Event("west", 6, B), Event("east", 5, A)], B),  # late
        ([Event("east", 6, B), Event("east", 5, A)], A),  # the machine has restarted
        ([Event("east", 6, B), Event("west", 6, B), Event("east", 5, A)], A),
        ([Event("west", 6, B), Event("east", None), Event("east", 5, A)], A),  # another machine
    ],
)
def test_an_older_assignment_of_the_same_machine_is_ignored(
    events: list[Event], wanted: Mapping[str, str]
) -> None:
    """The answers to a node's polls for two regions overtake each other, each with its assignment.
    The older one, taken last, would bring back what has moved away. Where the machine restarted,
    or is another one, an assignment with a lower number is newer.
    """
    in_subscriber(
        events,
        lambda subscriber: _assert_equal(subscriber.holder.subscribed_services("east"), wanted),
    )


def _assert_equal(held: frozenset[str], wanted: Mapping[str, str]) -> None:
    assert held == wanted.keys()


@pytest.mark.parametrize(
    ("events", "generation"),
    [
        ([], 0),
        ([Event("east", 5)], 5),
        ([Event("west", 6)], 6),  # the same machine
        ([Event("east", 5), Event("east", None)], 0),
        ([Event("west", 6), Event("east", None)], 0),
        ([Event("west", 6), Event("east", None), Event("west", None)], 0),
        ([Event("east", None), Event("east", 3), Event("west", 6)], 3),
    ],
)
def test_a_report_names_the_generation_of_the_machine_that_is_polled(
    events: list[Event], generation: int
) -> None:
    """A node moves to a machine that has counted fewer generations. Reported by the number of the
    earlier machine, what the node serves would count as if it knew all that this one takes back.
    """

    def look(subscriber: Subscriber) -> None:
        target = subscriber._target("east", subscriber._regions["east"])
        assert f"&generation={generation}" in target

    in_subscriber(events, look)
