"""Long responses of unknown length that a backend sends slowly: none is cut off.

While such a response was buffered it was given up if it paused for three times the connect
timeout, or when the time of its attempt ended, though the backend was still sending it.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any, cast

import pytest

from loadbalancer.core import Outcome
from loadbalancer.core.balancing.model import MS
from loadbalancer.core.buffer_budget import MAX_PARSED_BYTES, STREAMING_THRESHOLD_BYTES
from loadbalancer.core.memory_account import Holder
from loadbalancer.proxy.upstream.connection import BackendConnection
from loadbalancer.proxy.upstream.pool import ConnectionPool
from tests.harness import (
    LONG_MS,
    SETTINGS,
    accept,
    listen,
    node,
    patient_classes,
    request,
    roster,
    target,
)
from tests.proxy.upstream.backend_link import TIMEOUT_NS, Client, Host, Link, attempt

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
CONTENT = {CHUNKED: b"4\r\npart\r\n", UNTIL_CLOSE: b"part"}
CONNECT_TIMEOUT_S = 0.25


class Waiting:
    """A client that waits for the response to its attempt on a settled connection."""

    def __init__(self) -> None:
        self.host = Host()
        self.link = Link(ConnectionPool(cast(Any, self.host)), self.host)
        self.client = Client()
        self.attempt = attempt(self.client)
        self.link.settle()
        self.link.connection.begin(self.attempt)


@pytest.fixture
def waiting() -> Iterator[Waiting]:
    waiting = Waiting()
    yield waiting
    waiting.link.close()


@pytest.mark.parametrize("head", [CHUNKED, UNTIL_CLOSE])
@pytest.mark.parametrize("has_content", [False, True])
def test_a_pause_of_a_response_of_unknown_length_begins_its_streaming(
    waiting: Waiting, head: bytes, has_content: bool
) -> None:
    waiting.link.connection.data_received(head + (CONTENT[head] if has_content else b""))
    assert waiting.host.loop.delays_s() == [3 * CONNECT_TIMEOUT_S]
    waiting.host.loop.fire()
    (flow,) = waiting.client.streams
    assert flow.buffered == (4 if has_content else 0)
    waiting.link.connection.data_received(CONTENT[head])
    assert flow.buffered == (8 if has_content else 4)
    assert waiting.host.outcomes == []


def test_the_end_of_the_attempts_time_begins_its_streaming(waiting: Waiting) -> None:
    waiting.attempt.sent_at -= TIMEOUT_NS - 100 * MS
    waiting.link.connection.data_received(CHUNKED)
    (delay_s,) = waiting.host.loop.delays_s()
    assert 0 <= delay_s <= 0.08
    waiting.host.loop.fire()
    assert len(waiting.client.streams) == 1


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
        b"HTTP/1.1 500 Oops\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Enc",
    ],
)
def test_other_responses_that_pause_are_failed_attempts(waiting: Waiting, response: bytes) -> None:
    waiting.link.connection.data_received(response)
    waiting.host.loop.fire()
    assert not waiting.client.streams
    assert waiting.host.outcomes == [Outcome.ERROR]


def test_while_a_hedge_is_in_flight_a_pause_is_a_failed_attempt(waiting: Waiting) -> None:
    """The other attempt may bring a complete response, which this one would exclude."""
    waiting.attempt.request.open_attempts = 2
    waiting.link.connection.data_received(CHUNKED)
    waiting.host.loop.fire()
    assert not waiting.client.streams
    assert waiting.host.outcomes == [Outcome.ERROR]


def test_a_response_that_turns_out_to_be_malformed_is_aborted(waiting: Waiting) -> None:
    """Its client has to see that it is not whole."""
    waiting.link.connection.data_received(CHUNKED)
    waiting.host.loop.fire()
    waiting.link.connection.data_received(b"no chunk\r\n")
    assert waiting.client.aborted
    assert waiting.host.outcomes == [Outcome.ERROR]


def test_a_full_read_ends_a_backends_turn(waiting: Waiting) -> None:
    """A backend that sends at full speed would keep all other connections waiting."""
    connection, transport = waiting.link.connection, waiting.link.transport
    fill(connection, CHUNKED + b"ffff\r\n" + bytes(MAX_PARSED_BYTES))
    assert not transport.reading
    waiting.host.loop.run_next_turn()
    assert transport.reading


def test_the_next_turn_does_not_resume_a_backend_whose_client_is_slow(waiting: Waiting) -> None:
    connection, transport = waiting.link.connection, waiting.link.transport
    connection.data_received(CHUNKED + b"ffffff\r\n" + bytes(2 * STREAMING_THRESHOLD_BYTES))
    (flow,) = waiting.client.streams
    connection.data_received(bytes(waiting.host.budget.window()))
    assert flow.paused
    waiting.host.loop.run_next_turn()
    assert not transport.reading
    flow.discard()
    assert transport.reading


def test_a_response_is_streamed_once_memory_is_too_short_to_buffer_it(waiting: Waiting) -> None:
    """Responses of up to 64 KB were buffered whole, by hundreds, and counted by nobody."""
    budget, connection = waiting.host.budget, waiting.link.connection
    connection.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + bytes(20_000))
    assert budget.held[Holder.RESPONSES] > 20_000
    assert not waiting.client.streams
    budget.reserve(Holder.CONTENT, budget.soft_limit + 1)
    connection.data_received(bytes(1000))
    assert budget.held[Holder.RESPONSES] == 0
    (flow,) = waiting.client.streams
    assert flow.paused
    flow.discard()


def fill(connection: BackendConnection, data: bytes) -> None:
    """Deliver bytes as the event loop does: as many as the connection asks for, at most."""
    buffer = connection.get_buffer(-1)
    size = min(len(buffer), len(data))
    buffer[:size] = data[:size]
    connection.buffer_updated(size)


@pytest.mark.parametrize(
    ("dial_timeout_ms", "target_ms", "path", "head"),
    [
        (50, LONG_MS, "/balance/1", CHUNKED),
        (50, LONG_MS, "/credit/1", UNTIL_CLOSE),
        (LONG_MS, 700, "/balance/1", UNTIL_CLOSE),
        (LONG_MS, 700, "/credit/1", CHUNKED),
    ],
    ids=["pause, safe", "pause, unsafe", "objective, safe", "objective, unsafe"],
)
def test_a_node_delivers_what_its_backend_begins_late(
    tmp_path: Path, dial_timeout_ms: int, target_ms: int, path: str, head: bytes
) -> None:
    classes = [spec | {"target": target_ms * MS, "late_worth": 0.0} for spec in patient_classes()]
    limits = SETTINGS["limits"] | {"dial_timeout": dial_timeout_ms * MS}
    with listen() as backend:
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known, settings={"classes": classes, "limits": limits}) as running:
            client = running.connect()
            body = None if path == "/balance/1" else b"amount=5"
            client.send(request(path, body, timeout=LONG_MS))
            peer = accept(backend)
            peer.message()
            peer.send(head)
            while b"\r\n\r\n" not in client.buffer:
                assert client.more()
            assert client.buffer.startswith(b"HTTP/1.1 200 OK\r\n")
            peer.send(CONTENT[head] + (b"0\r\n\r\n" if head == CHUNKED else b""))
            peer.close()
            while not client.buffer.endswith(b"4\r\npart\r\n0\r\n\r\n"):
                assert client.more(), client.buffer


def test_a_request_that_the_kernel_does_not_accept_is_counted_whole(waiting: Waiting) -> None:
    """The transport keeps all of a message until its last byte is sent."""
    budget, connection, transport = (
        waiting.host.budget,
        waiting.link.connection,
        waiting.link.transport,
    )

    def write(data: bytes) -> None:
        del data
        connection.pause_writing()

    transport.write = write  # type: ignore[method-assign]
    connection._pieces = (bytes(5000),)
    connection._write_pieces()
    assert budget.held[Holder.UNSENT] == 5000
    connection.resume_writing()
    assert budget.held[Holder.UNSENT] == 0


def test_a_withheld_last_byte_keeps_no_copy_of_the_request(waiting: Waiting) -> None:
    """Each request in flight took its bytes twice, and no holder counted the second copy."""
    connection = waiting.link.connection
    connection._delays_last_byte, connection.request_written = True, False
    connection._pieces = (bytes(5000), b"x")
    connection._write_pieces()
    assert [*connection._pieces] == [b"x"]
    assert not connection.request_written
    connection._delays_last_byte = False
    connection._write_pieces()
    assert connection.request_written
