"""A backend sends more than its response, some milliseconds late: no request gets the surplus.

A second copy of a response crosses the next request on its way. Taken for the response to that
request, it would shift the connection by one: its client, and the one after it, would get the
response to another request, and a 503 that promises "not executed" would be believed of a request
that is being executed, which would then be sent again or be refused as if it had never run.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any, cast

import pytest

from loadbalancer.core import Outcome
from loadbalancer.core.buffer_budget import STREAMING_THRESHOLD_BYTES, BufferBudget
from loadbalancer.core.connection_reuse import SETTLING_TIME_NS
from loadbalancer.proxy.flow_control import Flow
from loadbalancer.proxy.upstream.connection import BackendConnection
from loadbalancer.proxy.upstream.pool import ConnectionPool
from tests.harness import answer
from tests.proxy.upstream.backend_link import (
    ADDRESS,
    BACKEND,
    FIRST,
    HEAD,
    LATER_NS,
    Client,
    Host,
    Link,
    Transport,
    attempt,
)

LONG = answer(bytes(2 * STREAMING_THRESHOLD_BYTES))
REJECTION = answer(b"", "503 Service Unavailable", "X-Not-Processed: 1")
SURPLUS = [FIRST, REJECTION, b"\x8a\x00noise", FIRST[:5], b"HTTP/1.1 100 Continue\r\n\r\n"]


@pytest.fixture
def host() -> Host:
    return Host()


@pytest.fixture
def pool(host: Host) -> ConnectionPool:
    return ConnectionPool(cast(Any, host))


@pytest.fixture
def link(pool: ConnectionPool, host: Host, request: pytest.FixtureRequest) -> Iterator[Link]:
    """A connection; an indirect parameter is the response that it has carried."""
    link = Link(pool, host, getattr(request, "param", FIRST))
    yield link
    link.close()


@pytest.fixture
def other(pool: ConnectionPool, host: Host, link: Link) -> Iterator[Link]:
    """A second connection, which has become idle after the first."""
    assert not link.transport.aborted
    other = Link(pool, host)
    yield other
    other.close()


@pytest.mark.parametrize("unsafe", [False, True], ids=["safe", "unsafe"])
@pytest.mark.parametrize("surplus", SURPLUS, ids=["copy", "503", "noise", "a part", "interim"])
def test_a_surplus_that_crosses_the_next_request_moves_it_to_another_connection(
    pool: ConnectionPool, host: Host, link: Link, other: Link, surplus: bytes, unsafe: bool
) -> None:
    client = Client()
    pool.send(attempt(client, unsafe))
    assert link.transport.written.startswith(HEAD)
    assert not link.transport.written.endswith(b"\r\n\r\n")
    link.connection.data_received(surplus)
    assert link.transport.aborted
    assert (client.responses, host.outcomes) == ([], [])
    other.settle()
    host.loop.fire()
    assert other.transport.written.endswith(b"\r\n\r\n")
    other.connection.data_received(answer(b"the second response"))
    assert (client.responses, host.outcomes) == ([b"the second response"], [Outcome.OK])


@pytest.mark.parametrize(
    "link",
    [LONG, REJECTION, answer(b"", "500 -")],
    ids=["long", "rejection", "error"],
    indirect=True,
)
def test_a_surplus_of_any_response_is_kept_apart(
    pool: ConnectionPool, host: Host, link: Link, caplog: pytest.LogCaptureFixture
) -> None:
    """Long responses are streamed, and rejections and errors have no content for the client."""
    client = Client()
    pool.send(attempt(client))
    assert not link.transport.written.endswith(b"\r\n\r\n")
    with caplog.at_level(logging.INFO, "loadbalancer"):
        link.connection.data_received(FIRST)
    assert (client.responses, host.outcomes) == ([], [Outcome.MOOT])
    assert "before the last byte of request 'r-1', which was not executed" in caplog.text


@pytest.mark.parametrize("allowed", [True, False], ids=["no descriptor", "client has left"])
def test_an_attempt_that_can_not_move_was_not_executed(
    pool: ConnectionPool, host: Host, link: Link, allowed: bool
) -> None:
    """Its outcome must not count against a backend that answers, nor end an unsafe request."""
    client = Client()
    pool.send(attempt(client, unsafe=True))
    host.allows_begin = allowed
    link.connection.data_received(REJECTION)
    assert (client.responses, host.outcomes) == ([], [Outcome.MOOT])
    assert host.loop.callbacks == []


def test_a_surplus_that_the_event_loop_has_not_reported_yet_is_found(
    pool: ConnectionPool, host: Host, link: Link
) -> None:
    """The process was held up: the timer of the last byte fires before the bytes are read."""
    pool.send(attempt(Client()))
    link.backend.send(FIRST)
    link.settle()
    host.loop.fire()
    assert link.transport.aborted
    assert not link.transport.written.endswith(b"\r\n\r\n")
    assert host.outcomes == [Outcome.MOOT]


def test_the_last_byte_follows_once_the_connection_has_settled(
    pool: ConnectionPool, host: Host, link: Link
) -> None:
    client = Client()
    pool.send(attempt(client))
    ((delay_s, _),) = host.loop.callbacks
    assert LATER_NS / 2 < delay_s * 1e9 <= LATER_NS + SETTLING_TIME_NS
    host.loop.fire()  # early, as a timer may
    assert not link.transport.written.endswith(b"\r\n\r\n")
    link.settle()
    host.loop.fire()
    assert link.transport.written.endswith(b"\r\n\r\n")
    link.connection.data_received(answer(b"the second response"))
    assert client.responses == [b"the second response"]


def test_on_a_settled_connection_a_safe_request_is_written_at_once(
    pool: ConnectionPool, host: Host, link: Link
) -> None:
    link.settle()
    pool.send(attempt(Client()))
    assert link.transport.written.endswith(b"\r\n\r\n")
    assert host.loop.callbacks == []


def test_a_long_body_is_forwarded_only_once_the_connection_has_settled(
    pool: ConnectionPool, host: Host, link: Link, other: Link
) -> None:
    """Its pieces are written as they come, so no last byte can be withheld."""
    source = SimpleNamespace(pause_flow=lambda: None, resume_flow=lambda: None)
    flow = Flow(BufferBudget(128), cast(Any, source))
    flow.push(b"content")
    pool.send(attempt(Client(), unsafe=True, flow=flow))
    assert link.transport.written == b""
    link.connection.data_received(FIRST)
    assert link.transport.aborted
    other.settle()
    host.loop.fire()
    assert other.transport.written.startswith(HEAD)
    assert other.transport.written.endswith(b"content")
    assert host.outcomes == []


def test_a_response_before_the_last_byte_on_a_new_connection_is_believed(
    pool: ConnectionPool, host: Host
) -> None:
    """A backend that has no capacity may reject a connection before its first request is complete.

    No earlier response can have left anything there.
    """
    transport = Transport()
    connection = BackendConnection(pool, BACKEND, ADDRESS)
    connection.attempt = attempt(Client(), unsafe=True)
    connection.connection_made(cast(Any, transport))
    connection.data_received(REJECTION)
    assert host.outcomes == [Outcome.FULL]
