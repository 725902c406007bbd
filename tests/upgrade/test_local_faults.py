"""A step of one process raises during an upgrade: neither process takes the other for dead."""

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
from loadbalancer.upgrade.codec import encode
from loadbalancer.upgrade.drain import Drain
from loadbalancer.upgrade.link import Link
from loadbalancer.upgrade.messages import Message, Reload, RetainedCapacity, Serving, SetStandby
from loadbalancer.upgrade.predecessor import HandingOver, Predecessor, Sole
from loadbalancer.upgrade.successor import Sharing, Successor
from loadbalancer.upgrade.upgrade_listener import UpgradeListener


@pytest.fixture
def process() -> Any:
    """A process with ten clients and two endpoints, over a loop whose timers never fire."""
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
    node.open_request_ids = set()
    made = mock.MagicMock(node=node)
    made.lifecycle.stopping = False
    return made


@pytest.fixture
def draining(process: Any) -> Predecessor:
    """A predecessor whose successor serves."""
    made = Predecessor(process)
    made._upgrade_listener = mock.Mock()
    made._state = HandingOver(mock.Mock())
    made._on_message(Serving())
    assert made.relieved
    return made


def test_a_message_whose_handling_raises_does_not_close_the_link(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The other process passed on a reload, and this one's own reload raised.

    The exception left `data_received`, and the event loop closed the link for it. Each process
    took the other for dead while both served, and used the whole of every endpoint's cap.
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


def test_a_share_that_can_not_be_used_leaves_the_successor_sharing(process: Any) -> None:
    """The successor's `use_limit_share` raises once; the next report is used."""

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


RESUMED = ["listener.accept_again", "node.discovery.resume", "node.peers.reopen"]


@pytest.mark.parametrize("faulty", ["lifecycle.successor_gone", "node.end_sharing", *RESUMED])
def test_a_step_that_raises_does_not_keep_the_others_from_resuming(
    draining: Predecessor, process: Any, faulty: str
) -> None:
    """The successor exits, and one step of the old process's return raises.

    No later step came: it accepted again but polled no discovery, or did not gossip, or no
    further successor could find it, until a restart.
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


def test_a_drain_that_can_not_be_made_closes_the_link(process: Any) -> None:
    """What this process still uses can't be counted when its successor serves.

    Were the link kept, the successor would wait for a report that never comes, and this
    process would accept beside it, with the whole of every cap, as if none had come.
    """
    made = Predecessor(process)
    made._upgrade_listener = mock.Mock()
    link = Link(made._on_message, made._on_closed)
    made._state = HandingOver(link)
    process.node.upstream.idle_count.side_effect = ZeroDivisionError
    link.data_received(encode(Serving()))
    assert not link.is_open
    assert isinstance(made._state, Sole)


def test_a_link_that_can_not_be_started_leaves_the_predecessor_sole(
    process: Any, caplog: pytest.LogCaptureFixture
) -> None:
    """The link's transport could not be made, by another fault than the operating system's.

    It ended in a task that nobody looked at, with nothing in the log. The process stayed with
    a successor that had gone: every later one was rejected, until a restart.
    """
    made = Predecessor(process)
    link = Link(made._on_message, made._on_closed)
    made._state = HandingOver(link)
    process.loop.connect_accepted_socket = mock.AsyncMock(side_effect=ValueError("no stream"))
    ours, theirs = socket.socketpair()
    with ours, theirs:
        asyncio.run(made._start_link(link, ours))
    assert isinstance(made._state, Sole)
    assert "no stream" in caplog.text


@pytest.mark.parametrize(
    "faulty", ["upstream.trim", "use_limit_share", "set_other_process_descriptors"]
)
def test_released_slots_are_reported_after_a_tick_that_raised(process: Any, faulty: str) -> None:
    """Slots are released, and a later step of the tick raises before they are reported.

    The next report held what had changed since, so not these: the successor did without the
    slots, which neither process used until the old one exited.
    """
    drain = Drain(process.node)
    begun = drain.begin().slots
    assert begun[1] >= 10
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


def test_the_log_does_not_say_that_a_successor_exited_which_still_serves(
    process: Any, caplog: pytest.LogCaptureFixture
) -> None:
    """The drain could not begin, and this process closed the link itself.

    The log then said that the successor had exited: whoever read it did not look for the
    process that went on accepting beside this one.
    """
    caplog.set_level(logging.INFO)
    made = Predecessor(process)
    made._upgrade_listener = mock.Mock()
    link = Link(made._on_message, made._on_closed)
    made._state = HandingOver(link)
    process.listener.hold_back.side_effect = ZeroDivisionError
    link.data_received(encode(Serving()))
    assert "can't start to drain" in caplog.text
    assert "the link to the successor has closed; serving again" in caplog.text
    assert "exited" not in caplog.text


def test_an_upgrade_socket_that_is_open_is_not_opened_again(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    """The drain can't begin, before the upgrade's socket is closed, and this process resumes.

    The socket was opened a second time: the first one and its reader stayed for good.
    """
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))
    loop = mock.Mock()
    listener = UpgradeListener(loop, Address("127.0.0.1", 8080), lambda: True, mock.Mock())
    listener.open()
    listener.open()
    assert loop.add_reader.call_count == 1
    listener.close()
