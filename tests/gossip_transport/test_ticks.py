"""The ticks of a gossip transport, with mocks for the gossip node and the event loop."""

from __future__ import annotations

import errno
from collections import Counter
from typing import Any
from unittest import mock

import pytest

from loadbalancer.gossip_transport.transport import BIND_RETRY_S, FAULT_RETRY_NS, GossipTransport

NS_PER_SECOND = 1_000_000_000


@pytest.fixture
def transport() -> Any:
    """A transport with an open socket, between two ticks."""
    made: Any = object.__new__(GossipTransport)
    made._host = mock.Mock()
    made.node, made.bridge, made._sock = mock.Mock(), mock.Mock(), mock.Mock()
    made.node.tick.return_value = []
    made.node.recover_if_paused.return_value = False
    made.node.next_tick_at = 0
    made.bridge.collect.return_value = None
    made._alive, made._caught_up = made.bridge.alive, made.node.caught_up
    made._list_sharing = made._timer = None
    made._tick_due = 0
    return made


@pytest.mark.parametrize("step", ["bridge.report", "node.tick", "bridge.collect"])
def test_a_tick_that_raises_is_followed_by_another_one(transport: Any, step: str) -> None:
    """If a step of a tick raises, the next tick must still be scheduled.

    Otherwise the other nodes consider this node dead and replace its slots while it continues to
    serve. The next tick must not follow immediately: with a lasting fault, ticks would use all the
    processor time.
    """
    faulty = transport
    for name in step.split("."):
        faulty = getattr(faulty, name)
    faulty.side_effect = ZeroDivisionError
    transport._run_tick()
    delay_s, next_tick = transport._host.loop.call_later.call_args.args
    assert delay_s == FAULT_RETRY_NS / NS_PER_SECOND
    faulty.side_effect = None
    next_tick()
    assert transport.node.tick.called
    assert transport._host.loop.call_later.call_count == 2


def test_no_tick_follows_one_that_raises_after_the_socket_was_closed(transport: Any) -> None:
    def close_and_fail(_now: int) -> None:
        transport._sock = None
        raise ZeroDivisionError

    transport.bridge.report.side_effect = close_and_fail
    transport._run_tick()
    transport._host.loop.call_later.assert_not_called()


def test_an_exception_while_the_port_is_in_use_does_not_end_the_attempts(transport: Any) -> None:
    """Another process has the port, and passing the state without gossip to the Balancer raises.

    The port must be tried again: otherwise this node takes no part in gossip until a restart.
    """
    transport._sock, transport._listen = None, ("127.0.0.1", 9)
    transport.counters = Counter()
    transport.bridge.collect.side_effect = ZeroDivisionError
    transport._open_later(OSError(errno.EADDRINUSE, "Address already in use"))
    transport._host.loop.call_later.assert_called_once_with(BIND_RETRY_S, transport.open)
