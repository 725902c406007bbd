"""Tests of assignment generations: lost or late responses, and machines that have restarted."""

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
from tests.control.machine.socketless import SocketlessMachine, run_scenario

MACHINES = [Address("127.0.0.1", 1), Address("127.0.0.1", 2)]
REGIONS = ("east", "west")


@pytest.mark.parametrize(("generation", "is_sent_again"), [(-1, True), (0, False), (1, False)])
def test_an_assignment_whose_answer_was_lost_is_sent_again(
    tmp_path: Path, generation: int, is_sent_again: bool
) -> None:
    """The response with a node's assignment is lost with its connection. If the node then reports
    an earlier generation, the assignment must be sent again although it has not changed. A node
    that reports the sent generation or a later one has received it. The parameter is the reported
    generation relative to the sent one.
    """

    def scenario(control: SocketlessMachine) -> None:
        lost = control.connect()
        lost.poll(control.log.position)
        ((_, answer),) = lost.answers
        assert answer is not None
        assert answer.assignment is not None
        sent = answer.assignment.generation
        again = control.connect()
        again.poll(control.log.position, serving="cart", generation=str(sent + generation))
        if is_sent_again:
            ((_, answer),) = again.answers
            assert answer is not None
            assert answer.assignment is not None
            assert answer.assignment.wanted == {"cart": "east", "pay": "east"}
        else:
            assert not again.answers

    run_scenario(tmp_path, scenario)


class Event(NamedTuple):
    """A response to the poll for a region, or its failure."""

    region: str
    generation: int | None  # None: the poll fails
    wanted: Mapping[str, str] = {}


def subscriber_after(events: list[Event]) -> Subscriber:
    """Create a node's subscriber without sockets, and let it handle `events` in order."""
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


def check_subscriber_after(events: list[Event], check: Callable[[Subscriber], None]) -> None:
    async def run() -> None:
        subscriber = subscriber_after(events)
        check(subscriber)
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
def test_an_older_assignment_is_ignored_unless_the_machine_restarted_or_is_another_one(
    events: list[Event], wanted: Mapping[str, str]
) -> None:
    """The responses to a node's polls for two regions, each with an assignment, can overtake each
    other. Applying the older assignment last would bring back services that have moved away. After
    a restart of the machine, or from another machine, a lower generation is the newer one.
    """
    check_subscriber_after(
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
    """A node moves to a machine with lower generations. With the previous machine's generation,
    its report would be treated as if the node already knew this machine's assignment.
    """

    def check(subscriber: Subscriber) -> None:
        target = subscriber._target("east", subscriber._regions["east"])
        assert f"&generation={generation}" in target

    check_subscriber_after(events, check)
