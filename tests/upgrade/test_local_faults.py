"""Exceptions in one step of an upgrade: the other steps and the link continue."""

from __future__ import annotations

import asyncio
import logging
import socket
import tempfile
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest import mock

import pytest

from loadbalancer.config.address import Address
from loadbalancer.core.request_ids import RequestIdTable
from loadbalancer.upgrade.codec import encode
from loadbalancer.upgrade.drain import Drain
from loadbalancer.upgrade.link import Link
from loadbalancer.upgrade.messages import Message, Reload, RetainedCapacity, Serving, SetStandby
from loadbalancer.upgrade.predecessor import HandingOver, Predecessor, Sole
from loadbalancer.upgrade.successor import Sharing, Successor
from loadbalancer.upgrade.upgrade_listener import UpgradeListener


@pytest.fixture
def process() -> Any:
    """A process with ten clients, two endpoints, and an event loop whose timers never fire."""
    node = mock.MagicMock()
    node.config.listen = Address("127.0.0.1", 8080)
    node.clients = 10
    node.balancer.endpoints = {
        backend: SimpleNamespace(id=backend, node_cap=20, in_flight=0, cold_until=0)
        for backend in (1, 2)
    }
    node.upstream.idle_count.return_value = 4
    node.releasable_descriptors.return_value = 100
    node.descriptors.return_value = 60
    node.request_ids = RequestIdTable()
    process = mock.MagicMock(node=node)
    process.lifecycle.stopping = False
    return process


@pytest.fixture
def draining(process: Any) -> Predecessor:
    """A draining predecessor."""
    predecessor = Predecessor(process)
    predecessor._upgrade_listener = mock.Mock()
    predecessor._state = HandingOver(mock.Mock())
    predecessor._on_message(Serving())
    assert predecessor.relieved
    return predecessor


def test_a_message_whose_handling_raises_does_not_close_the_link(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The other process forwards a reload, and this one's reload raises.

    If the exception leaves `data_received`, the event loop closes the link. Each process then
    assumes that the other has exited, and both use each endpoint's whole limit.
    """
    handled: list[Message] = []

    def handle(message: Message) -> None:
        handled.append(message)
        if isinstance(message, Reload):
            raise ZeroDivisionError

    on_closed = mock.Mock()
    link = Link(handle, on_closed)
    link.data_received(encode(Reload()) + encode(SetStandby(on=True)))
    assert link.is_open
    assert [type(message) for message in handled] == [Reload, SetStandby]
    on_closed.assert_not_called()
    assert "ZeroDivisionError" in caplog.text


def test_a_report_whose_handling_raises_leaves_the_successor_sharing(process: Any) -> None:
    """The successor's `use_limit_share` raises once; the next report is applied."""

    async def share() -> None:
        successor = Successor(process)
        link = Link(successor._on_message, successor._on_closed)
        successor._state = Sharing(link, asyncio.get_running_loop().create_future())
        report = RetainedCapacity({1: 4}, 60, (), drained=False)
        process.node.use_limit_share.side_effect = [ZeroDivisionError, None]
        link.data_received(encode(report))
        assert isinstance(successor._state, Sharing)
        link.data_received(encode(report))
        process.node.set_other_process_descriptors.assert_called_once_with(60)

    asyncio.run(share())


RESUMED = ["listener.resume_accepting", "node.discovery.resume", "node.peers.reopen"]


@pytest.mark.parametrize(
    "faulty", ["lifecycle.on_successor_disconnected", "node.end_sharing", *RESUMED]
)
def test_resuming_continues_after_a_step_that_raises(
    draining: Predecessor, process: Any, faulty: str
) -> None:
    """The successor exits, and one step by which the old process resumes raises.

    If the later steps are skipped, it accepts connections but, until a restart, does not poll
    discovery, does not gossip, or does not listen for another successor.
    """

    def step(name: str) -> Any:
        found = process
        for part in name.split("."):
            found = getattr(found, part)
        return found

    step(faulty).side_effect = ZeroDivisionError
    draining._on_closed()
    for name in RESUMED:
        step(name).assert_called_once_with()
    opened: Any = draining._upgrade_listener.open
    opened.assert_called_once_with()


def test_a_drain_that_can_not_start_closes_the_link(process: Any) -> None:
    """Counting the capacity in use raises when the successor begins to serve.

    If the link stayed open, the successor would wait for a report that never arrives, and this
    process would continue to accept connections and use each endpoint's whole limit.
    """
    predecessor = Predecessor(process)
    predecessor._upgrade_listener = mock.Mock()
    link = Link(predecessor._on_message, predecessor._on_closed)
    predecessor._state = HandingOver(link)
    process.node.upstream.idle_count.side_effect = ZeroDivisionError
    link.data_received(encode(Serving()))
    assert not link.is_open
    assert isinstance(predecessor._state, Sole)


def test_a_link_that_can_not_be_started_leaves_the_predecessor_sole(
    process: Any, caplog: pytest.LogCaptureFixture
) -> None:
    """Connecting the link's transport raises something other than OSError.

    The exception would go unnoticed in its task, and the process would keep waiting for that
    successor and reject every later one until a restart.
    """
    predecessor = Predecessor(process)
    link = Link(predecessor._on_message, predecessor._on_closed)
    predecessor._state = HandingOver(link)
    process.loop.connect_accepted_socket = mock.AsyncMock(side_effect=ValueError("no stream"))
    ours, theirs = socket.socketpair()
    with ours, theirs:
        asyncio.run(predecessor._start_link(link, ours))
    assert isinstance(predecessor._state, Sole)
    assert "no stream" in caplog.text


@pytest.mark.parametrize(
    "faulty", ["upstream.trim", "use_limit_share", "set_other_process_descriptors"]
)
def test_released_slots_are_reported_after_a_tick_that_raised(process: Any, faulty: str) -> None:
    """Slots are released, and a later step of the tick raises before they are reported.

    If the next report held only later changes, neither process would use these slots until the
    old one exits.
    """
    drain = Drain(process.node)
    initial_slots = drain.begin().slots
    assert initial_slots[1] >= 10
    process.node.clients = 0
    step = process.node
    for part in faulty.split("."):
        step = getattr(step, part)
    step.side_effect = ZeroDivisionError
    with pytest.raises(ZeroDivisionError):
        drain.advance()
    step.side_effect = None
    reported = drain.advance().slots
    assert set(reported) == {1, 2}
    assert all(slots <= 1 for slots in reported.values())
    assert drain.advance().slots == {}


def test_the_log_does_not_report_the_exit_of_a_successor_that_still_serves(
    process: Any, caplog: pytest.LogCaptureFixture
) -> None:
    """The drain can't begin, and this process closes the link itself.

    If the log said that the successor had exited, an operator would not look for the second
    process, which still accepts connections.
    """
    caplog.set_level(logging.INFO)
    predecessor = Predecessor(process)
    predecessor._upgrade_listener = mock.Mock()
    link = Link(predecessor._on_message, predecessor._on_closed)
    predecessor._state = HandingOver(link)
    process.listener.suspend_accepting.side_effect = ZeroDivisionError
    link.data_received(encode(Serving()))
    assert "can't start to drain" in caplog.text
    assert "the link to the successor has closed; serving again" in caplog.text
    assert "exited" not in caplog.text


def test_opening_an_open_upgrade_socket_does_nothing(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    """The drain fails before the upgrade socket is closed, and this process resumes.

    A second `open` must not create another socket: the first one and its reader would leak.
    """
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))
    loop = mock.Mock()
    listener = UpgradeListener(loop, Address("127.0.0.1", 8080), lambda: True, mock.Mock())
    listener.open()
    listener.open()
    assert loop.add_reader.call_count == 1
    listener.close()
