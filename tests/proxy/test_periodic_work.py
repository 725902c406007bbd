"""Periodic work and the steps of a stop: an exception is logged, and the next step still runs."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterator
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

import pytest

from loadbalancer.core.buffer_budget import BufferBudget
from loadbalancer.proxy.downstream.registry import Connection, ConnectionRegistry
from loadbalancer.proxy.host import Node
from loadbalancer.proxy.lifecycle import Lifecycle
from loadbalancer.proxy.process import Process
from loadbalancer.proxy.shutdown import FALLBACK_DEADLINE_S, KILL_MARGIN_S, Shutdown
from tests.proxy.host_fakes import Client, admit

DEADLINE_S = 2.0


class StepError(Exception):
    """Raised by a faulty step in these tests."""


class Collector(logging.Handler):
    """A log handler that collects each message with its exception."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__()
        self._lines = lines

    def emit(self, record: logging.LogRecord) -> None:
        self._lines.append(f"{record.getMessage()} {record.exc_info}")


@pytest.fixture(autouse=True)
def logged() -> Iterator[list[str]]:
    """The log messages of the test."""
    lines: list[str] = []
    handler = Collector(lines)
    root = logging.getLogger("loadbalancer")
    root.addHandler(handler)
    yield lines
    root.removeHandler(handler)


class Loop:
    """An event loop that records delayed calls; `turn` runs them."""

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
    """A process that was not started, for tests of its periodic work."""
    made: Any = object.__new__(Process)
    made.loop = loop
    made.lifecycle = Lifecycle()
    made.listener = mock.Mock()
    made.node = mock.Mock()
    made._drain_timer = None
    return made


def test_sweeps_continue_after_one_that_raised(loop: Loop, logged: list[str]) -> None:
    """Guards against the end of all sweeps because one raised.

    The timer of the next sweep was set after the sweep itself. Once one raised, no client was
    timed out and no idle backend connection closed any more, and nothing was logged.
    """
    process = bare_process(loop)
    process.listener.sweep.side_effect = [StepError("odd"), None]
    process._sweep()
    process.node.sweep.assert_called_once_with()
    loop.turn()
    assert process.listener.sweep.call_count == 2
    assert len(logged) == 1
    assert "odd" in logged[0]


def test_a_drain_continues_after_a_tick_that_raised(loop: Loop, logged: list[str]) -> None:
    """Guards against a drain that ends at the first exception and keeps idle clients forever."""
    process = bare_process(loop)
    process.listener.close_idle_gradually.side_effect = [StepError, None]
    process.set_standby(True)
    loop.turn()
    assert process.listener.close_idle_gradually.call_count == 2
    assert any("StepError" in line for line in logged)


@pytest.fixture
def registry(loop: Loop) -> ConnectionRegistry:
    host = SimpleNamespace(
        loop=loop, clients=0, max_clients=lambda: 32, routing=None,
        config=SimpleNamespace(sockets=64, settings=SimpleNamespace(tenants=())),
        budget=BufferBudget(128),
    )  # fmt: skip
    return ConnectionRegistry(cast(Any, host), Lifecycle())


def two_connections() -> list[Any]:
    return [mock.Mock(spec=Connection), mock.Mock(spec=Connection)]


def test_connections_are_swept_after_one_whose_sweep_raises(
    registry: ConnectionRegistry,
) -> None:
    """Guards against a sweep that always ends at the same faulty connection."""
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
    """Guards against the end of the half-close checks because one raised.

    No half-close of a paused client was noticed any more, and requests were sent to backends for
    clients that had disconnected.
    """
    first, second = two_connections()
    first.check_half_close.side_effect = StepError
    registry.watch_paused(first)
    registry.watch_paused(second)
    loop.turn()
    loop.turn()
    assert second.check_half_close.call_count == 2


class Stop:
    """A `Shutdown` whose collaborators are mocks."""

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

    def run_to_the_time_limit(self) -> None:
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
def test_a_stop_ends_after_a_step_that_raises(loop: Loop, logged: list[str], faulty: str) -> None:
    """Guards against a stop that ends at its first exception.

    The later steps did not run. The process went on until it was killed, and the clients of open
    requests received no response.
    """
    stop = Stop(loop)
    step: Any = stop
    for name in faulty.split("."):
        step = getattr(step, name)
    step.side_effect = StepError
    stop.run_to_the_time_limit()
    assert stop.has_ended
    stop.node.fail_all.assert_called_once_with()
    stop.listener.stop_accepting.assert_called_once_with()
    assert any("StepError" in line for line in logged)


def test_a_stop_ends_in_time_if_computing_the_longest_deadline_raises(
    loop: Loop, logged: list[str]
) -> None:
    """Guards against a stop that raises before the timer of its next step is set.

    Such a stop never ended, and a second signal did nothing because the stop had begun.
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


def test_a_check_that_raises_each_time_is_logged_once(loop: Loop, logged: list[str]) -> None:
    """Guards against a flood of log lines: the check of a stop runs every 10 ms.

    When each exception was logged, the rate limit of twenty lines a second was used up, and
    messages about other faults were dropped.
    """
    stop = Stop(loop)
    stop.listener.close_idle_and_check_drained.side_effect = StepError
    stop.shutdown.begin()
    for _ in range(9):
        loop.turn()
    assert stop.listener.close_idle_and_check_drained.call_count > 1
    assert len([line for line in logged if "raised" in line]) == 1


def test_a_stop_waits_for_open_requests_even_if_the_listener_is_finished(loop: Loop) -> None:
    """Guards against cutting off the response to an open request.

    The listener ignores a connection whose check raises. The stop ended once all others were
    finished, although a request on the ignored connection was still open.
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


def test_a_connection_whose_check_raises_does_not_delay_a_stop(
    registry: ConnectionRegistry, logged: list[str]
) -> None:
    """Guards against a stop that waits until its time limit for a single faulty connection.

    All clients have their responses, but the check of one connection raises each time.
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


def test_the_end_of_a_stop_answers_the_other_clients_if_one_raises(host: Node) -> None:
    """Guards against missing responses at the time limit of a stop.

    The open requests are failed then, and the connection of the first one's client raises. The
    clients of the others received no response and could not tell whether to retry.
    """
    first, second = mock.Mock(), Client()
    first.respond_empty.side_effect = StepError
    admit(host, first)
    admit(host, second)
    host.fail_all()
    assert second.statuses == [502]
