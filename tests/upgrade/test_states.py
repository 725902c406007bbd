"""The states of both sides, over a process and a link that only record what is asked of them."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

import pytest

from loadbalancer.config.address import Address
from loadbalancer.upgrade import handed_state
from loadbalancer.upgrade.drain import Drain
from loadbalancer.upgrade.link import Link
from loadbalancer.upgrade.messages import (
    HandedState,
    Message,
    Reload,
    RetainedCapacity,
    Serving,
    SetStandby,
)
from loadbalancer.upgrade.predecessor import Draining, HandingOver, Predecessor
from loadbalancer.upgrade.successor import Alone, AwaitingState, Sharing, Starting, Successor


class RecordingLink:
    def __init__(self) -> None:
        self.sent: list[Message] = []
        self.closed = False

    def send(self, message: Message) -> None:
        self.sent.append(message)

    def close(self) -> None:
        self.closed = True


@pytest.fixture
def link() -> Any:
    return RecordingLink()


@pytest.fixture
def process() -> Any:
    """A process with ten clients, no backend, and a loop whose timers never fire."""
    node = mock.MagicMock()
    node.config.listen = Address("127.0.0.1", 8080)
    node.clients = 10
    node.balancer.endpoints = {}
    node.upstream.idle_count.return_value = 4
    node.releasable_descriptors.return_value = 100
    node.descriptors.return_value = 60
    node.open_request_ids = set()
    loop = SimpleNamespace(call_later=mock.Mock(side_effect=lambda *_: mock.Mock()))
    return mock.MagicMock(node=node, loop=loop)


@pytest.fixture
def predecessor(process: Any, link: Any) -> Predecessor:
    """It has handed over to a successor that starts."""
    made = Predecessor(process)
    made._state = HandingOver(link)
    return made


def test_a_predecessor_says_what_it_retains_as_soon_as_its_successor_serves(
    predecessor: Predecessor, process: Any, link: Any
) -> None:
    predecessor._on_message(Serving())
    assert predecessor.relieved
    process.listener.hold_back.assert_called_once_with()
    assert [type(message) for message in link.sent] == [RetainedCapacity] * 2


def test_serving_said_twice_begins_one_drain(
    predecessor: Predecessor, process: Any, link: Any
) -> None:
    predecessor._on_message(Serving())
    predecessor._on_message(Serving())
    assert process.loop.call_later.call_count == 1
    assert len(link.sent) == 2


def test_a_drain_goes_on_after_a_tick_that_raised(
    predecessor: Predecessor, process: Any, link: Any
) -> None:
    """A tick of the drain raises once, in closing clients or in counting what is retained.

    The next tick was never set: the clients stayed, and the successor was never given the
    caps and descriptors that this process held.
    """
    process.listener.send_away.side_effect = ZeroDivisionError
    predecessor._on_message(Serving())
    assert [type(message) for message in link.sent] == [RetainedCapacity] * 2
    process.node.upstream.trim.side_effect = ZeroDivisionError
    advance, *args = process.loop.call_later.call_args.args[1:]
    advance(*args)
    process.node.upstream.trim.side_effect = None
    advance(*args)
    assert process.loop.call_later.call_count == 3
    assert len(link.sent) == 3


@pytest.mark.parametrize(
    "faulty",
    ["listener.hold_back", "node.discovery.suspend", "node.peers.close", "node.use_limit_share"],
)
def test_a_drain_that_fails_to_begin_is_undone(process: Any, faulty: str) -> None:
    """The successor serves, and a step of this process's retreat raises.

    The link closed, which was taken for the end of a successor that had never served: nothing
    was undone. This process neither accepted nor drained, and asked for no list, for good.
    """
    made = Predecessor(process)
    made._upgrade_listener = mock.Mock()
    process.lifecycle.stopping = False
    link = Link(made._on_message, made._on_closed)
    made._state = HandingOver(link)
    step = process
    for name in faulty.split("."):
        step = getattr(step, name)
    step.side_effect = ZeroDivisionError
    made._on_message(Serving())
    assert not link.is_open
    assert not made.relieved
    process.lifecycle.successor_gone.assert_called_once_with()
    process.node.end_sharing.assert_called_once_with()
    process.listener.accept_again.assert_called_once_with()
    process.node.discovery.resume.assert_called_once_with()
    process.node.peers.reopen.assert_called_once_with()
    process.loop.call_later.assert_not_called()


def test_the_tick_of_a_drain_ends_with_its_link(predecessor: Predecessor) -> None:
    """The successor ends and another one takes over within the same tick.

    Were the first drain's timer still set, both would tick, and idle clients would be closed
    at twice the pace.
    """
    predecessor._on_message(Serving())
    state = cast(Draining, predecessor._state)
    timer = cast(mock.Mock, state.timer)
    predecessor._on_closed()
    timer.cancel.assert_called_once_with()
    assert not predecessor.relieved


def test_a_predecessor_that_stops_does_not_accept_again(
    predecessor: Predecessor, process: Any
) -> None:
    process.lifecycle.stopping = True
    predecessor._on_message(Serving())
    predecessor._on_closed()
    process.lifecycle.successor_gone.assert_called_once_with()
    process.listener.accept_again.assert_not_called()


def test_a_successor_that_starts_is_passed_nothing(predecessor: Predecessor, link: Any) -> None:
    """It reads the configuration itself, and is handed the standby with the state."""
    predecessor.pass_on(SetStandby(on=True))
    assert link.sent == []


def test_a_drain_never_takes_back_what_it_has_released(process: Any) -> None:
    """Clients leave, then more are counted again, as where a long accept queue empties.

    The successor may use what was released by then: the figures must not rise.
    """
    drain = Drain(process.node)
    drain.begin()
    process.node.clients = 2
    drain.advance()
    process.node.clients = 8
    process.node.releasable_descriptors.return_value = 50
    drain.advance()
    assert drain.remaining_fraction == 0.2
    process.node.set_other_process_descriptors.assert_called_with(100)
    process.node.upstream.trim.assert_called_with(0)


def test_a_drain_reports_its_end(process: Any) -> None:
    drain = Drain(process.node)
    assert not drain.begin().drained
    process.node.clients = 0
    assert drain.advance().drained


@pytest.fixture
def successor(process: Any) -> Successor:
    return Successor(process)


def test_a_state_that_can_not_be_used_closes_the_link(successor: Successor, link: Any) -> None:
    async def receive() -> None:
        successor._state = AwaitingState(link, asyncio.get_running_loop().create_future())
        successor._on_message(HandedState({"rev": 41}))

    asyncio.run(receive())
    assert link.closed


def test_a_state_that_comes_too_late_is_ignored(successor: Successor, link: Any) -> None:
    """It arrives in the turn of the loop in which the wait for it has ended."""

    async def receive() -> None:
        inheritance = asyncio.get_running_loop().create_future()
        inheritance.cancel()
        successor._state = AwaitingState(link, inheritance)
        successor._on_message(HandedState({}))

    asyncio.run(receive())
    assert isinstance(successor._state, AwaitingState)
    assert not link.closed


def test_what_the_predecessor_retains_counts_once_this_process_serves(
    successor: Successor, link: Any, process: Any
) -> None:
    report = RetainedCapacity({7: 3}, 60, (b"r-1",), drained=False)
    successor._state = Starting(link)
    successor._on_message(report)
    process.node.use_limit_share.assert_not_called()

    async def receive() -> None:
        first_report = asyncio.get_running_loop().create_future()
        sharing = successor._state = Sharing(link, first_report)
        successor._on_message(report)
        assert first_report.done()
        assert sharing.share.cap_for(7, 10) == 7

    asyncio.run(receive())
    assert process.node.other_process_request_ids == {b"r-1"}
    process.node.set_other_process_descriptors.assert_called_once_with(60)


def test_a_predecessor_that_ends_leaves_the_whole_node(
    successor: Successor, link: Any, process: Any
) -> None:
    """Whoever waits for its first report goes on at once."""

    async def close() -> None:
        first_report = asyncio.get_running_loop().create_future()
        successor._state = Sharing(link, first_report)
        successor._on_closed()
        assert first_report.done()

    asyncio.run(close())
    assert isinstance(successor._state, Alone)
    assert process.node.discovery.forward is None
    process.node.end_sharing.assert_called_once_with()


@pytest.mark.parametrize("side", ["predecessor", "successor"])
def test_a_reload_and_a_standby_are_not_passed_back(
    side: str, request: pytest.FixtureRequest, process: Any
) -> None:
    """Passed back to the process that was asked, they would go to and fro for ever."""
    either = request.getfixturevalue(side)
    either._on_message(Reload())
    either._on_message(SetStandby(on=True))
    process.reload.assert_called_once_with(passed_on=True)
    process.set_standby.assert_called_once_with(True)


def test_a_state_that_can_not_be_exported_closes_the_link(
    predecessor: Predecessor, process: Any, link: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What this process would hand over can't be put together, by a fault of its own.

    The successor was sent nothing, and the fault ended in a task that nobody looked at. Now it
    is logged, and the successor learns at once that it starts alone.
    """
    monkeypatch.setattr(handed_state, "export", mock.Mock(side_effect=KeyError))
    process.loop.connect_accepted_socket = mock.AsyncMock(return_value=(mock.Mock(), None))
    asyncio.run(predecessor._start_link(link, mock.Mock()))
    assert link.closed
