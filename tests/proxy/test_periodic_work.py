"""Periodic work and the steps of a stop: a fault in one is logged, and the next ones come."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterator
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

import pytest

from loadbalancer.proxy.downstream.registry import Connection, ConnectionRegistry
from loadbalancer.proxy.host import Node
from loadbalancer.proxy.lifecycle import Lifecycle
from loadbalancer.proxy.process import Process
from loadbalancer.proxy.shutdown import FALLBACK_DEADLINE_S, KILL_MARGIN_S, Shutdown
from tests.proxy.host_fakes import Client, admit

DEADLINE_S = 2.0


class StepError(Exception):
    """What a step raises here."""


class Collector(logging.Handler):
    """Collects each message with its exception."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__()
        self._lines = lines

    def emit(self, record: logging.LogRecord) -> None:
        self._lines.append(f"{record.getMessage()} {record.exc_info}")


@pytest.fixture(autouse=True)
def logged() -> Iterator[list[str]]:
    """What is logged meanwhile."""
    lines: list[str] = []
    handler = Collector(lines)
    root = logging.getLogger("loadbalancer")
    root.addHandler(handler)
    yield lines
    root.removeHandler(handler)


class Loop:
    """Notes what is to be called later; the test calls it."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.later: list[tuple[Callable[..., None], tuple[Any, ...]]] = []

    def time(self) -> float:
        return self.now_s

    def call_later(self, _delay_s: float, call: Callable[..., None], *args: Any) -> mock.Mock:
        self.later.append((call, args))
        return mock.Mock()

    def turn(self) -> None:
        later, self.later = self.later, []
        for call, args in later:
            call(*args)


@pytest.fixture
def loop() -> Loop:
    return Loop()


def bare_process(loop: Loop) -> Any:
    """A process that was not started: only its periodic tasks are called."""
    made: Any = object.__new__(Process)
    made.loop = loop
    made.lifecycle = Lifecycle()
    made.listener = mock.Mock()
    made.node = mock.Mock()
    made._drain_timer = None
    return made


def test_sweeps_go_on_after_one_that_raised(loop: Loop, logged: list[str]) -> None:
    """A sweep over the clients raises once.

    The timer of the next sweep was set after it, so there was none: from then on no client
    was timed out and no idle connection to a backend closed, without a line that says so.
    """
    process = bare_process(loop)
    process.listener.sweep.side_effect = [StepError("odd"), None]
    process._sweep()
    process.node.sweep.assert_called_once_with()
    loop.turn()
    assert process.listener.sweep.call_count == 2
    assert len(logged) == 1
    assert "odd" in logged[0]


def test_a_drain_goes_on_after_a_tick_that_raised(loop: Loop, logged: list[str]) -> None:
    """A tick of an operator's drain raises: clients that were idle stayed, for good."""
    process = bare_process(loop)
    process.listener.close_idle_gradually.side_effect = [StepError, None]
    process.set_standby(True)
    loop.turn()
    assert process.listener.close_idle_gradually.call_count == 2
    assert any("StepError" in line for line in logged)


# ---- connections ---------------------------------------------------------------------


@pytest.fixture
def registry(loop: Loop) -> ConnectionRegistry:
    host = SimpleNamespace(
        loop=loop, clients=0, max_clients=lambda: 32, routing=None,
        config=SimpleNamespace(sockets=64, settings=SimpleNamespace(tenants=())),
    )  # fmt: skip
    return ConnectionRegistry(cast(Any, host), Lifecycle())


def two_connections() -> list[Any]:
    return [mock.Mock(spec=Connection), mock.Mock(spec=Connection)]


def test_a_connection_whose_sweep_raises_ends_no_others_time_outs(
    registry: ConnectionRegistry,
) -> None:
    """Each sweep raised at one and the same connection: those behind it were never swept."""
    connections = two_connections()
    registry.connections.update(connections)
    for conn in connections:
        conn.sweep.side_effect = StepError
    registry.sweep()
    registry.sweep()
    assert [conn.sweep.call_count for conn in connections] == [2, 2]


def test_paused_clients_are_checked_after_a_check_that_raised(
    registry: ConnectionRegistry, loop: Loop
) -> None:
    """The check of one paused client raises.

    The next one was never set, so that no end of a paused client's sending was seen any more,
    and requests were sent for clients that had gone.
    """
    first, second = two_connections()
    first.check_half_close.side_effect = StepError
    registry.watch_paused(first)
    registry.watch_paused(second)
    loop.turn()
    loop.turn()
    assert second.check_half_close.call_count == 2


# ---- the stop -------------------------------------------------------------------------


class Stop:
    """A stop whose parts are mocks."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.node = mock.MagicMock()
        self.node.open_count = 0
        self.node.balancer.classes = [SimpleNamespace(spec=SimpleNamespace(deadline=2 * 10**9))]
        self.listener = mock.Mock()
        self.listener.close_idle_and_check_drained.return_value = False
        self.before_close = mock.Mock()
        future = mock.Mock()
        future.done.return_value = False
        with mock.patch.object(loop, "create_future", return_value=future, create=True):
            self.shutdown = Shutdown(
                cast(asyncio.AbstractEventLoop, loop), self.node, self.listener, Lifecycle(),
                self.before_close,
            )  # fmt: skip

    @property
    def has_ended(self) -> bool:
        return bool(cast(Any, self.shutdown.ended).set_result.called)

    def run_to_the_last_moment(self) -> None:
        self.shutdown.begin()
        for _ in range(4):
            self.loop.turn()
        assert not self.has_ended
        self.loop.now_s = DEADLINE_S + KILL_MARGIN_S
        for _ in range(3):
            self.loop.turn()


@pytest.mark.parametrize(
    "faulty",
    [
        "node.peers.close", "before_close", "listener.stop_accepting",
        "listener.close_idle_and_check_drained", "node.fail_all", "node.discovery.close",
    ],
)  # fmt: skip
def test_a_stop_ends_whatever_one_of_its_steps_raises(
    loop: Loop, logged: list[str], faulty: str
) -> None:
    """A step of the stop raises, and the later ones never came.

    The process went on until it was killed: the open requests' clients got no answer.
    """
    stop = Stop(loop)
    step: Any = stop
    for name in faulty.split("."):
        step = getattr(step, name)
    step.side_effect = StepError
    stop.run_to_the_last_moment()
    assert stop.has_ended
    stop.node.fail_all.assert_called_once_with()
    stop.listener.stop_accepting.assert_called_once_with()
    assert any("StepError" in line for line in logged)


def test_a_stop_whose_longest_deadline_raises_ends_in_time(loop: Loop, logged: list[str]) -> None:
    """A signal begins the stop, and the longest deadline of the classes can't be had.

    The stop had begun without a timer of its next step: it never ended, and a second signal
    changed nothing, as the stop had begun.
    """
    stop = Stop(loop)
    stop.node.balancer.classes = []
    stop.shutdown.begin()
    for _ in range(4):
        loop.turn()
    stop.listener.stop_accepting.assert_called_once_with()
    stop.node.fail_all.assert_not_called()
    loop.now_s = FALLBACK_DEADLINE_S + KILL_MARGIN_S
    for _ in range(3):
        loop.turn()
    assert stop.has_ended
    stop.node.fail_all.assert_called_once_with()
    assert any("raised" in line for line in logged)


def test_a_look_that_raises_each_time_is_logged_once(loop: Loop, logged: list[str]) -> None:
    """While a process stops, the look at its connections raises, each 10 ms.

    Each was logged, and with twenty lines a second the log dropped those of other faults.
    """
    stop = Stop(loop)
    stop.listener.close_idle_and_check_drained.side_effect = StepError
    stop.shutdown.begin()
    for _ in range(9):
        loop.turn()
    assert stop.listener.close_idle_and_check_drained.call_count > 1
    assert len([line for line in logged if "raised" in line]) == 1


def test_a_stop_waits_for_open_requests_whatever_the_listener_says(loop: Loop) -> None:
    """A connection whose state raises is not waited for, while its request is open.

    The stop ended as soon as all others were done, and cut the answer that came a moment later.
    """
    stop = Stop(loop)
    stop.node.open_count = 1
    stop.listener.close_idle_and_check_drained.return_value = True
    stop.shutdown.begin()
    for _ in range(6):
        loop.turn()
    assert not stop.has_ended
    stop.node.open_count = 0
    for _ in range(3):
        loop.turn()
    assert stop.has_ended


def test_one_connection_that_raises_does_not_hold_a_stop(
    registry: ConnectionRegistry, logged: list[str]
) -> None:
    """All clients have their answers, and one connection raises when asked whether it is done.

    The stop went on to its last moment for it, however long the longest deadline was.
    """
    faulty, other = two_connections()
    registry.connections.update((faulty, other))
    faulty.is_drained.side_effect = StepError
    other.is_drained.return_value = False
    assert not registry.all_drained()
    other.is_drained.return_value = True
    assert registry.all_drained()
    assert registry.all_drained()
    assert len(logged) == 1


def test_a_client_whose_answer_raises_costs_no_others_answer_at_a_stops_end(host: Node) -> None:
    """The last moment of a stop fails the open requests, and the first one's client raises.

    Those behind it got no answer, and could not tell whether to come again.
    """
    first, second = mock.Mock(), Client()
    first.respond_empty.side_effect = StepError
    admit(host, first)
    admit(host, second)
    host.fail_all()
    assert second.statuses == [502]
