"""Faults in the steps of a control machine: what each one costs, and that the rest goes on."""

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
from loadbalancer.control.machine.machine import _every
from loadbalancer.control.machine.messages import message_codec
from loadbalancer.control.machine.stream import Hello, PeerStreams
from loadbalancer.core.assignment.model import Change, Position
from loadbalancer.core.assignment.presence import Presence
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.core.replicated_log.replication import CommittedChange
from loadbalancer.sources.watchers import Watcher
from tests.control.machine.socketless import Connection, Rig, in_loop

FAULT = ZeroDivisionError("a fault")
LIMIT_S = 5.0


def failing_first(then: Any = None) -> Any:
    """Calls of which the first one raises."""
    return mock.Mock(side_effect=itertools.chain([FAULT], itertools.repeat(then)))


def test_a_tick_that_raises_is_followed_by_the_next_one() -> None:
    """One tick of the replica raises. There was no further one until a restart: the machine still
    accepted polls, but took part in no election, and the log had no line.
    """

    async def play() -> None:
        work = failing_first()
        task = asyncio.create_task(_every(0.001, work))
        async with asyncio.timeout(LIMIT_S):
            while work.call_count < 3:
                await asyncio.sleep(0.001)
                assert not task.done()
        task.cancel()

    asyncio.run(play())


@pytest.mark.parametrize("is_hello", [True, False])
def test_messages_reach_another_machine_after_a_fault_as_the_stream_began(
    is_hello: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What follows a new stream's connection raises. The machine at its other end was not dialled
    again until a restart; after a fault past the Hello the stream stays, and messages go on.
    """
    monkeypatch.setattr(stream, "REDIAL_S", 0.01)
    received: list[Any] = []

    async def play() -> None:
        server = PeerStreams(
            Hello("east-b", "f"), {"east-a": Address("127.0.0.1", 9)}, message_codec(), 1 << 20,
            lambda _, message: received.append(message), lambda _: None,
        )  # fmt: skip
        server._others = {}  # it dials none
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

    asyncio.run(play())


@pytest.mark.parametrize("step", ["read", "load", "on_loaded"])
def test_a_region_is_loaded_after_a_fault_in_its_load(
    step: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A load ends by a fault that is none of its source. It counted as under way until a restart,
    and its region was never loaded.
    """
    monkeypatch.setattr(log_loader, "RETRY_S", 0.01)
    replica: Any = mock.Mock()
    replica.needs_load.return_value = True
    if step == "load":
        replica.load = failing_first()
    loaded = failing_first() if step == "on_loaded" else mock.Mock()

    async def play() -> None:
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

    asyncio.run(play())
    assert loaded.called


def test_a_fault_at_one_committed_change_costs_no_other(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Two regions are restored, two changes are committed and two messages wait. The first of each
    raises: the rest was drained and lost. Operators got 504 for committed changes, nodes were not
    told, and messages of the log were not sent.
    """

    def play(rig: Rig) -> None:
        machine = rig.machine
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

    in_loop(tmp_path, play)


def two_nodes_wait(rig: Rig) -> list[Connection]:
    """The connections of two nodes that know their assignments, and wait."""
    found = []
    for node in ("n1", "n2"):
        connection = rig.connect()
        for _ in range(2):
            connection.answers.clear()
            connection.poll(rig.log.position, node=node)
            if not connection.answers:
                break
        assert not connection.answers
        found.append(connection)
    return found


def test_a_fault_in_one_nodes_answer_costs_no_other_and_leaves_no_poll_open(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A change wakes two nodes, and the answer to the first raises. The second one was not told of
    the change; the first one had no answer, and counted as present for an hour, dead or not.
    """

    def play(rig: Rig) -> None:
        first, second = two_nodes_wait(rig)
        requests = rig.machine.node_requests
        answer = requests._answer
        calls = iter([FAULT])

        def answer_later(*args: Any) -> None:
            for fault in calls:
                raise fault
            answer(*args)

        monkeypatch.setattr(requests, "_answer", answer_later)
        requests.wake("east", ["n1", "n2"])
        assert [first.ended, second.ended] == [True, False]
        rig.machine.nodes.on_time(time.monotonic_ns() + 5_000_000_000)
        assert rig.machine.nodes.presence.local_count() == 1, "the first one has to poll again"

    in_loop(tmp_path, play)


def test_a_push_that_raises_at_one_node_reaches_the_others_and_is_repeated(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Assignments change, and reading that of the first waiting node raises. The others learnt of
    theirs only after a further change.
    """

    def play(rig: Rig) -> None:
        two_nodes_wait(rig)
        nodes = rig.machine.nodes
        nodes.changed = True
        changed = failing_first(None)
        monkeypatch.setattr(nodes, "changed_assignment", changed)
        rig.machine._tick_nodes()
        assert [call.args[1] for call in changed.call_args_list] == ["n1", "n2"]
        assert nodes.changed, "the next tick pushes again"
        rig.machine._tick_nodes()
        assert changed.call_count == 4
        assert not nodes.changed

    in_loop(tmp_path, play)


def test_a_fault_at_one_bound_connection_costs_no_other(monkeypatch: pytest.MonkeyPatch) -> None:
    """A service changes, and the first of two waiting connections raises as it is answered.

    Its own poll was taken by then: it ends, or its caller would wait for an answer in vain.
    """
    aborted: list[Watcher] = []
    monkeypatch.setattr(Watcher, "abort", lambda watcher: aborted.append(watcher))

    async def play() -> None:
        log = ChangeLog("east", 100, 1 << 20)
        log.append(Change(Position(1, 1), "cart"))
        bound = BoundList(log, "cart", 10)
        watchers = [Watcher(bound) for _ in range(2)]
        for watcher in watchers:
            bound._waiting.add(watcher, 1, 60.0)
        answer = failing_first()
        monkeypatch.setattr(bound, "_answer_waiting", answer)
        bound.on_change()
        assert [call.args[0] for call in answer.call_args_list] == watchers
        assert aborted == watchers[:1]

    asyncio.run(play())


def test_a_fault_in_the_answer_to_a_new_poll_leaves_no_poll_open(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The answer to a poll that has just come raises. Its connection ended, and its node counted
    as present for an hour, dead or not.
    """

    def play(rig: Rig) -> None:
        monkeypatch.setattr(rig.machine.publisher, "subscribe", failing_first())
        connection = rig.connect()
        connection.poll(rig.log.position)
        assert connection.ended
        assert not rig.is_present(5)

    in_loop(tmp_path, play)
