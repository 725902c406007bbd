"""State transitions of the predecessor and the successor, with a mock process and link."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

import pytest

from loadbalancer.config.address import Address
from loadbalancer.core.request_ids import RequestIdTable
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
    """A process with ten clients, no endpoints, and an event loop whose timers never fire."""
    node = mock.MagicMock()
    node.config.listen = Address("127.0.0.1", 8080)
    node.clients = 10
    node.balancer.endpoints = {}
    node.upstream.idle_count.return_value = 4
    node.releasable_descriptors.return_value = 100
    node.descriptors.return_value = 60
    node.request_ids = RequestIdTable()
    loop = SimpleNamespace(call_later=mock.Mock(side_effect=lambda *_: mock.Mock()))
    return mock.MagicMock(node=node, loop=loop)


@pytest.fixture
def predecessor(process: Any, link: Any) -> Predecessor:
    """A predecessor that has handed over to a successor that is starting up."""
    predecessor = Predecessor(process)
    predecessor._state = HandingOver(link)
    return predecessor


def test_a_predecessor_reports_its_capacity_as_soon_as_its_successor_serves(
    predecessor: Predecessor, process: Any, link: Any
) -> None:
    predecessor._on_message(Serving())
    assert predecessor.relieved
    process.listener.suspend_accepting.assert_called_once_with()
    assert [type(message) for message in link.sent] == [RetainedCapacity] * 2


def test_a_repeated_serving_message_starts_one_drain(
    predecessor: Predecessor, process: Any, link: Any
) -> None:
    predecessor._on_message(Serving())
    predecessor._on_message(Serving())
    assert process.loop.call_later.call_count == 1
    assert len(link.sent) == 2


def test_a_drain_continues_after_a_tick_that_raises(
    predecessor: Predecessor, process: Any, link: Any
) -> None:
    """A drain tick raises once, while closing clients or while counting the retained capacity.

    If the next tick is not scheduled, the clients stay connected, and the successor never
    receives the slots and descriptors of this process.
    """
    process.listener.close_idle_gradually.side_effect = ZeroDivisionError
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
    [
        "listener.suspend_accepting",
        "node.discovery.suspend",
        "node.peers.close",
        "node.use_limit_share",
    ],
)
def test_a_drain_that_fails_to_start_is_undone(process: Any, faulty: str) -> None:
    """The successor serves, and a step by which this process begins to drain raises.

    Closing the link must undo the steps done so far. Otherwise this process would, until a
    restart, neither accept connections nor drain nor poll discovery.
    """
    predecessor = Predecessor(process)
    predecessor._upgrade_listener = mock.Mock()
    process.lifecycle.stopping = False
    link = Link(predecessor._on_message, predecessor._on_closed)
    predecessor._state = HandingOver(link)
    step = process
    for name in faulty.split("."):
        step = getattr(step, name)
    step.side_effect = ZeroDivisionError
    predecessor._on_message(Serving())
    assert not link.is_open
    assert not predecessor.relieved
    process.lifecycle.on_successor_disconnected.assert_called_once_with()
    process.node.end_sharing.assert_called_once_with()
    process.listener.resume_accepting.assert_called_once_with()
    process.node.discovery.resume.assert_called_once_with()
    process.node.peers.reopen.assert_called_once_with()
    process.loop.call_later.assert_not_called()


def test_closing_the_link_cancels_the_timer_of_the_drain(predecessor: Predecessor) -> None:
    """The successor exits and another one takes over within the same tick.

    If the first drain's timer stayed active, both drains would tick, and idle clients would be
    closed at twice the rate.
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
    process.lifecycle.on_successor_disconnected.assert_called_once_with()
    process.listener.resume_accepting.assert_not_called()


def test_nothing_is_forwarded_while_the_successor_is_starting_up(
    predecessor: Predecessor, link: Any
) -> None:
    """It reads the configuration itself, and the handed-over state holds the standby flag."""
    predecessor.forward(SetStandby(on=True))
    assert link.sent == []


def test_a_drain_never_takes_back_what_it_has_released(process: Any) -> None:
    """Clients disconnect, then more connect, as when a long accept queue is emptied.

    The successor may already use the released capacity, so the retained one must not grow.
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


def test_a_malformed_state_closes_the_link(successor: Successor, link: Any) -> None:
    async def receive() -> None:
        successor._state = AwaitingState(link, asyncio.get_running_loop().create_future())
        successor._on_message(HandedState({"rev": 41}))

    asyncio.run(receive())
    assert link.closed


def test_a_state_that_arrives_too_late_is_ignored(successor: Successor, link: Any) -> None:
    """It arrives in the same iteration of the event loop in which the wait timed out."""

    async def receive() -> None:
        inheritance = asyncio.get_running_loop().create_future()
        inheritance.cancel()
        successor._state = AwaitingState(link, inheritance)
        successor._on_message(HandedState({}))

    asyncio.run(receive())
    assert isinstance(successor._state, AwaitingState)
    assert not link.closed


def test_retained_capacity_is_applied_once_this_process_serves(
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
    assert process.node.request_ids.in_use(b"r-1", 0)
    assert process.node.request_ids.own() == []
    process.node.set_other_process_descriptors.assert_called_once_with(60)


def test_the_successor_ends_sharing_when_its_predecessor_exits(
    successor: Successor, link: Any, process: Any
) -> None:
    """The wait for its first report ends at once."""

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
def test_a_forwarded_reload_or_standby_is_not_sent_back(
    side: str, request: pytest.FixtureRequest, process: Any
) -> None:
    """If they were sent back, the two processes would exchange them for ever."""
    either = request.getfixturevalue(side)
    either._on_message(Reload())
    either._on_message(SetStandby(on=True))
    process.reload.assert_called_once_with(forwarded=True)
    process.set_standby.assert_called_once_with(True)


def test_a_state_that_can_not_be_exported_closes_the_link(
    predecessor: Predecessor, process: Any, link: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Exporting the state raises.

    The exception would go unnoticed in its task, and the successor would wait for its timeout.
    It must be logged, and the link closed so that the successor starts without the state.
    """
    monkeypatch.setattr(handed_state, "export", mock.Mock(side_effect=KeyError))
    process.loop.connect_accepted_socket = mock.AsyncMock(return_value=(mock.Mock(), None))
    asyncio.run(predecessor._start_link(link, mock.Mock()))
    assert link.closed


def test_the_memory_limit_is_shared_from_the_successors_connection_to_its_end(
    predecessor: Predecessor, process: Any, link: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each process alone kept the limit, and both together went over it."""
    monkeypatch.setattr(handed_state, "export", mock.Mock(side_effect=KeyError))
    process.loop.connect_accepted_socket = mock.AsyncMock(return_value=(mock.Mock(), None))
    asyncio.run(predecessor._start_link(link, mock.Mock()))
    process.node.share_memory.assert_called_once_with(2)
    predecessor._on_closed()
    assert process.node.share_memory.call_args == mock.call(1)
