"""Tests that an exception in one step of a control machine does not affect the other steps."""

from __future__ import annotations

import asyncio
import itertools
import time
from pathlib import Path
from typing import Any
from unittest import mock

import pytest

from loadbalancer.config.address import Address
from loadbalancer.control.machine import log_loader, stream
from loadbalancer.control.machine.bound_list import BoundList
from loadbalancer.control.machine.machine import _run_periodically
from loadbalancer.control.machine.messages import message_codec
from loadbalancer.control.machine.stream import Hello, PeerStreams
from loadbalancer.core.assignment.model import Change, Position
from loadbalancer.core.assignment.presence import Presence
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.core.replicated_log.replication import CommittedChange
from loadbalancer.sources.watchers import Watcher
from tests.control.machine.socketless import Connection, SocketlessMachine, run_scenario

FAULT = ZeroDivisionError("a fault")
LIMIT_S = 5.0


def failing_first(then: Any = None) -> Any:
    """Return a mock whose first call raises an exception."""
    return mock.Mock(side_effect=itertools.chain([FAULT], itertools.repeat(then)))


def test_periodic_work_continues_after_an_exception() -> None:
    """If an exception in one tick ended the ticks, the machine would still accept polls but take
    part in no election, and nothing would be logged.
    """

    async def scenario() -> None:
        work = failing_first()
        task = asyncio.create_task(_run_periodically(0.001, work))
        async with asyncio.timeout(LIMIT_S):
            while work.call_count < 3:
                await asyncio.sleep(0.001)
                assert not task.done()
        task.cancel()

    asyncio.run(scenario())


@pytest.mark.parametrize("is_hello", [True, False])
def test_messages_arrive_after_an_exception_while_the_stream_is_opened(
    is_hello: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Sending the Hello, or the callback after it, raises an exception. If that ended the dialling
    task, the other machine could not be reached until a restart. After an exception in the
    callback the stream stays open.
    """
    monkeypatch.setattr(stream, "REDIAL_S", 0.01)
    received: list[Any] = []

    async def scenario() -> None:
        server = PeerStreams(
            Hello("east-b", "f"), {"east-a": Address("127.0.0.1", 9)}, message_codec(), 1 << 20,
            lambda _, message: received.append(message), lambda _: None,
        )  # fmt: skip
        server._others = {}  # opens no streams itself
        port = await server.open(Address("127.0.0.1", 0))
        server._others = {"east-a": Address("127.0.0.1", 9)}
        on_connected = mock.Mock() if is_hello else failing_first()
        client = PeerStreams(
            Hello("east-a", "f"), {"east-b": Address("127.0.0.1", port)}, message_codec(), 1 << 20,
            lambda *_: None, on_connected,
        )  # fmt: skip
        if is_hello:
            encode = client.codec.encode
            calls = iter([FAULT])

            def encode_later(message: object) -> bytes:
                for fault in calls:
                    raise fault
                return encode(message)

            monkeypatch.setattr(client.codec, "encode", encode_later)
        await client.open(Address("127.0.0.1", 0))
        async with asyncio.timeout(LIMIT_S):
            while not on_connected.called:
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.05)
            assert not client._dials[0].done()
            client.send("east-b", Presence(()).complete_update())
            while not received:
                await asyncio.sleep(0.005)
        client.close()
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("step", ["read", "load", "on_loaded"])
def test_a_region_can_be_loaded_after_an_exception_in_an_earlier_load(
    step: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """If an unexpected exception left the load recorded as running, the region would not be loaded
    until a restart.
    """
    monkeypatch.setattr(log_loader, "RETRY_S", 0.01)
    replica: Any = mock.Mock()
    replica.needs_load.return_value = True
    if step == "load":
        replica.load = failing_first()
    loaded = failing_first() if step == "on_loaded" else mock.Mock()

    async def scenario() -> None:
        loader = log_loader.LogLoader(replica, "east", ["pay"], None, loaded)
        if step == "read":
            rows = mock.AsyncMock(side_effect=[FAULT, {"pay": ()}])
            monkeypatch.setattr(loader, "_read", rows)
        for _ in range(2):
            loader.start_if_needed()
            task = loader._task
            assert task is not None
            await asyncio.wait_for(task, LIMIT_S)
            assert loader._task is None

    asyncio.run(scenario())
    assert loaded.called


def test_an_exception_at_one_committed_change_does_not_affect_the_others(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Two regions are restored, two changes are committed and two messages are to be sent, and the
    first of each raises an exception. If the second ones were lost, operators would get 504 for
    committed changes, nodes would not be notified, and messages of the log would not be sent.
    """

    def scenario(control: SocketlessMachine) -> None:
        machine = control.machine
        changes = [Change(Position(1, revision), "cart") for revision in (8, 9)]
        replica: Any = mock.Mock()
        replica.drain_restored.return_value = ["east", "east"]
        replica.drain_committed.return_value = [
            CommittedChange("east", change) for change in changes
        ]
        replica.drain_outgoing.return_value = [("east-b", "m1"), ("east-b", "m2")]
        machine.replica = replica
        steps: dict[str, Any] = {}
        for owner, name in (
            (machine.publisher, "on_restored"),
            (machine.submissions, "on_committed"),
            (machine.publisher, "on_change"),
            (machine.streams, "send"),
        ):
            steps[name] = failing_first(())
            monkeypatch.setattr(owner, name, steps[name])
        machine._process_output()
        assert {name: step.call_count for name, step in steps.items()} == dict.fromkeys(steps, 2)

    run_scenario(tmp_path, scenario)


def connect_two_nodes(control: SocketlessMachine) -> list[Connection]:
    """Return connections of two nodes that know their assignments, each with a pending poll."""
    found = []
    for node in ("n1", "n2"):
        connection = control.connect()
        for _ in range(2):
            connection.answers.clear()
            connection.poll(control.log.position, node=node)
            if not connection.answers:
                break
        assert not connection.answers
        found.append(connection)
    return found


def test_an_exception_in_one_nodes_answer_does_not_affect_others_nor_leave_its_poll_open(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A change wakes two nodes, and the answer to the first one raises an exception. The second
    node must still be notified. The first one must not stay present for an hour without an answer,
    even if it is dead.
    """

    def scenario(control: SocketlessMachine) -> None:
        first, second = connect_two_nodes(control)
        requests = control.machine.node_requests
        answer = requests._answer
        calls = iter([FAULT])

        def answer_later(*args: Any) -> None:
            for fault in calls:
                raise fault
            answer(*args)

        monkeypatch.setattr(requests, "_answer", answer_later)
        requests.wake("east", ["n1", "n2"])
        assert [first.aborted, second.aborted] == [True, False]
        control.machine.nodes.on_tick(time.monotonic_ns() + 5_000_000_000)
        assert control.machine.nodes.presence.local_count() == 1, "the first one has to poll again"

    run_scenario(tmp_path, scenario)


def test_a_push_with_an_exception_at_one_node_reaches_the_others_and_is_repeated(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Assignments change, and reading that of the first node raises an exception. If that ended
    the push, the other nodes would learn of their assignments only after a further change.
    """

    def scenario(control: SocketlessMachine) -> None:
        connect_two_nodes(control)
        nodes = control.machine.nodes
        nodes.changed = True
        changed = failing_first(None)
        monkeypatch.setattr(nodes, "changed_assignment", changed)
        control.machine._tick_nodes()
        assert [call.args[1] for call in changed.call_args_list] == ["n1", "n2"]
        assert nodes.changed, "the next tick pushes again"
        control.machine._tick_nodes()
        assert changed.call_count == 4
        assert not nodes.changed

    run_scenario(tmp_path, scenario)


def test_an_exception_at_one_bound_connection_does_not_affect_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A service changes, and answering the first of two pending polls raises an exception. Its
    connection must be closed, because its poll is no longer pending and would never be answered.
    """
    aborted: list[Watcher] = []
    monkeypatch.setattr(Watcher, "abort", lambda watcher: aborted.append(watcher))

    async def scenario() -> None:
        log = ChangeLog("east", 100, 1 << 20)
        log.append(Change(Position(1, 1), "cart"))
        bound = BoundList(log, "cart", 10)
        watchers = [Watcher(bound) for _ in range(2)]
        for watcher in watchers:
            bound._pending.add(watcher, 1, 60.0)
        answer = failing_first()
        monkeypatch.setattr(bound, "_answer_pending", answer)
        bound.on_change()
        assert [call.args[0] for call in answer.call_args_list] == watchers
        assert aborted == watchers[:1]

    asyncio.run(scenario())


def test_an_exception_in_the_answer_to_a_new_poll_leaves_no_poll_open(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Answering a poll that has just arrived raises an exception. If the poll stayed open, its
    node would count as present for an hour even if it is dead.
    """

    def scenario(control: SocketlessMachine) -> None:
        monkeypatch.setattr(control.machine.publisher, "subscribe", failing_first())
        connection = control.connect()
        connection.poll(control.log.position)
        assert connection.aborted
        assert not control.is_present(5)

    run_scenario(tmp_path, scenario)
