"""The states of a client's connection, with a fake host and transport."""

from __future__ import annotations

import socket
import struct
from types import SimpleNamespace
from typing import Any, cast

import pytest

from loadbalancer.core.buffer_budget import STREAMING_THRESHOLD_BYTES
from loadbalancer.core.memory_account import REQUEST_BYTES
from loadbalancer.proxy.downstream.connection import (
    LINGER_TIMEOUT_SWEEPS,
    WRITE_TIMEOUT_SWEEPS,
    ClientConnection,
)
from loadbalancer.proxy.downstream.registry import ConnectionRegistry
from loadbalancer.proxy.downstream.request_queue import MAX_QUEUED
from loadbalancer.proxy.downstream.states import (
    AWAITING_REQUEST,
    AWAITING_RESPONSE,
    CLOSED,
    CLOSING,
    LINGERING,
    OPENING,
    STREAMING,
)
from loadbalancer.proxy.flow_control import Flow
from tests.harness import request
from tests.proxy.downstream.connection_fakes import Host, Transport, sweep

SERVED = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved"
LONG = STREAMING_THRESHOLD_BYTES + 1
LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER enabled, with a timeout of 0 seconds


def respond(conn: ClientConnection) -> None:
    conn.respond(b"", [b"served"], len(b"served"))


def begin_stream(conn: ClientConnection, host: Host, length: int = -1) -> Flow:
    """Start a streamed response; returns its flow."""
    source = SimpleNamespace(pause_flow=lambda: None, resume_flow=lambda: None)
    flow = Flow(host.budget, cast(Any, source))
    conn.begin_streaming(b"", length, flow)
    return flow


def is_set_to_reset(conn: ClientConnection) -> bool:
    """Whether closing the socket will reset the connection."""
    return conn._sock.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8) == LINGER_ZERO


@pytest.mark.parametrize("backend_sent_everything", [False, True])
def test_a_response_truncated_by_a_write_timeout_does_not_look_complete(
    conn: ClientConnection,
    transport: Transport,
    host: Host,
    registry: ConnectionRegistry,
    backend_sent_everything: bool,
) -> None:
    """An HTTP/1.0 client stops reading a response without a length, and times out.

    For such a response the close marks the end of the content, so with an orderly close the client
    would take a part of it for the whole. That also holds when the backend has sent everything and
    a part is still buffered in this process.
    """
    conn.data_received(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
    flow = begin_stream(conn, host)
    flow.push(b"part")
    transport.unsent = 1
    if backend_sent_everything:
        flow.finish()
    sweep(registry, WRITE_TIMEOUT_SWEEPS + 2)
    assert transport.aborted
    assert is_set_to_reset(conn)


def test_a_complete_response_without_a_length_is_not_reset(
    conn: ClientConnection, transport: Transport, host: Host, registry: ConnectionRegistry
) -> None:
    """All of a response has been sent, and its client does not close until the linger timeout.

    A reset could destroy content that the client's kernel has not received yet.
    """
    conn.data_received(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
    flow = begin_stream(conn, host)
    flow.push(b"all")
    flow.finish()
    registry.reset_incomplete()
    sweep(registry, LINGER_TIMEOUT_SWEEPS + 1)
    assert transport.aborted
    assert not is_set_to_reset(conn)


def test_states_of_a_connection_closed_by_its_client(
    unreported_conn: ClientConnection, transport: Transport, host: Host
) -> None:
    conn = unreported_conn
    states = [conn._state]
    conn.connection_made(cast(Any, transport))
    states.append(conn._state)
    conn.data_received(request())
    states.append(conn._state)
    flow = begin_stream(conn, host)
    states.append(conn._state)
    flow.finish()
    states.append(conn._state)
    assert not conn.eof_received()
    states.append(conn._state)
    conn.connection_lost(None)
    states.append(conn._state)
    assert states == [
        OPENING, AWAITING_REQUEST, AWAITING_RESPONSE, STREAMING, AWAITING_REQUEST, CLOSING, CLOSED,
    ]  # fmt: skip
    assert host.clients == 0


def test_states_of_a_connection_closed_by_the_proxy(
    conn: ClientConnection, transport: Transport, registry: ConnectionRegistry
) -> None:
    """The client doesn't close after the shutdown: it is aborted after LINGER_TIMEOUT_SWEEPS."""
    conn.close()
    assert conn._state is LINGERING
    assert transport.ended
    assert not conn.is_drained()
    sweep(registry, LINGER_TIMEOUT_SWEEPS)
    assert not transport.aborted
    sweep(registry, 1)
    assert transport.aborted
    assert conn._state is CLOSING


def test_pipelined_requests_start_one_after_another(
    conn: ClientConnection, transport: Transport, host: Host
) -> None:
    """Three requests arrive at once; each starts only when the previous one has been answered."""
    conn.data_received(b"".join(request(rid=rid) for rid in "abc"))
    for count in (1, 2, 3):
        assert host.admitted_ids() == [b"a", b"b", b"c"][:count]
        respond(conn)
        assert (
            len(host.admitted) == count
        )  # not from within respond(): its caller is still processing this one
        host.loop.run_callbacks()
    assert transport.written == 3 * SERVED


def test_exceeding_the_limit_of_queued_requests_closes_the_connection(
    conn: ClientConnection, transport: Transport, host: Host
) -> None:
    """One client must not fill the queues: all requests that it has queued are dropped."""
    conn.data_received(request(rid="open"))
    conn.data_received(b"".join(request(rid=f"r{i}") for i in range(MAX_QUEUED)))
    assert conn._state is AWAITING_RESPONSE
    conn.data_received(request(rid="beyond"))
    assert conn._state is LINGERING
    assert transport.written.startswith(b"HTTP/1.1 400")
    assert host.events == [("gone", b"open")]
    host.loop.run_callbacks()
    assert host.admitted_ids() == [b"open"]


def test_requests_rejected_synchronously_are_answered_in_order(
    conn: ClientConnection, transport: Transport, host: Host
) -> None:
    host.rejects = True
    conn.data_received(request(rid="a") + request(rid="b"))
    assert transport.written.count(b"HTTP/1.1 503") == 2
    assert conn._state is AWAITING_REQUEST


def test_no_queued_request_starts_on_an_aborted_connection(
    conn: ClientConnection, transport: Transport, host: Host, registry: ConnectionRegistry
) -> None:
    """A client that reads nothing times out just after its first request has been answered.

    The request queued behind it must not be sent for a client that has been disconnected.
    """
    conn.data_received(request(rid="a") + request(rid="b"))
    transport.unsent = 1
    sweep(registry, WRITE_TIMEOUT_SWEEPS + 1)
    assert not transport.aborted
    respond(conn)
    sweep(registry, 1)
    assert transport.aborted
    host.loop.run_callbacks()
    assert host.admitted_ids() == [b"a"]


@pytest.mark.parametrize("open_request", [True, False])
def test_a_half_close_drops_incomplete_requests(
    conn: ClientConnection, host: Host, open_request: bool
) -> None:
    """A client half-closes in the middle of a request, which can never complete.

    If another request is open, the connection stays open for its response.
    """
    if open_request:
        conn.data_received(request(rid="open"))
    conn.data_received(request("/credit/1", b"half", rid="half")[:-2])
    assert host.budget.buffered
    assert conn.eof_received() is open_request
    assert host.budget.buffered == sum(r.head_size + REQUEST_BYTES for r in host.admitted)
    assert host.events == ([("half-closed", b"open")] if open_request else [])


def test_a_half_close_during_an_upload_closes_the_connection(
    conn: ClientConnection, host: Host
) -> None:
    """A client half-closes in the middle of a long body, a part of which may be at a backend.

    The request can never complete, so there is nothing to wait for. The host is told when the
    connection is closed.
    """
    conn.data_received(request("/credit/1", b"x" * 2 * LONG, rid="upload")[:-LONG])
    assert host.admitted_ids() == [b"upload"]
    assert not conn.eof_received()
    conn.connection_lost(None)
    assert host.events == [("gone", b"upload")]


@pytest.mark.parametrize(
    ("version", "length", "expected"),
    [
        (b"1.1", 4, b"Content-Length: 4\r\n\r\npart"),
        (b"1.1", -1, b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n"),
        (b"1.0", -1, b"Connection: close\r\n\r\npart"),
    ],
    ids=["length", "chunked", "close"],
)
def test_framing_of_a_streamed_response(
    conn: ClientConnection,
    transport: Transport,
    host: Host,
    version: bytes,
    length: int,
    expected: bytes,
) -> None:
    head = request().replace(b"HTTP/1.1", b"HTTP/" + version)
    conn.data_received(head.replace(b"\r\n\r\n", b"\r\nConnection: keep-alive\r\n\r\n"))
    flow = begin_stream(conn, host, length)
    flow.push(b"part")
    flow.finish()
    assert transport.written == b"HTTP/1.1 200 OK\r\n" + expected
    assert conn._state is (LINGERING if version == b"1.0" else AWAITING_REQUEST)


def test_invalid_input_during_a_streamed_response_aborts_it(
    conn: ClientConnection, transport: Transport, host: Host
) -> None:
    """Input that is not HTTP arrives while the response to the open request is streamed.

    The client would take an error response for a part of that response's content.
    """
    conn.data_received(request(rid="open"))
    flow = begin_stream(conn, host)
    flow.push(b"part")
    written = transport.written
    conn.data_received(b"\x8a\xff\x00\r\n\r\n")
    assert transport.aborted
    assert transport.written == written
    assert host.events == [("gone", b"open")]


def test_a_request_with_the_id_of_an_open_one_is_rejected_and_its_buffer_released(
    conn: ClientConnection, transport: Transport, host: Host
) -> None:
    host.request_ids.begin(b"same", 1)
    conn.data_received(request("/credit/1", b"body", rid="same"))
    assert transport.written.startswith(b"HTTP/1.1 409")
    assert not host.budget.buffered
    assert not host.admitted


@pytest.mark.parametrize("end", ["written", "aborted", "lost"])
def test_the_host_is_told_when_a_long_response_is_no_longer_held(
    conn: ClientConnection, transport: Transport, host: Host, end: str
) -> None:
    """Until then the response's request is open, though its backend may have finished."""
    conn.data_received(request(rid="long"))
    flow = begin_stream(conn, host)
    flow.block()
    flow.push(b"part")
    flow.finish()
    assert host.events == []
    if end == "written":
        flow.unblock()
        assert transport.written.endswith(b"0\r\n\r\n")
    elif end == "aborted":
        conn.abort_response()
    else:
        conn.connection_lost(None)
    expected = "gone" if end == "lost" else "delivered"
    assert host.events == [(expected, b"long")]


def test_the_host_is_told_when_an_upload_is_complete(conn: ClientConnection, host: Host) -> None:
    """The request's timeout runs from then on; the time before that is up to the client."""
    message = request("/credit/1", b"x" * 2 * LONG, rid="upload")
    conn.data_received(message[:-1])
    assert host.admitted_ids() == [b"upload"]
    assert not host.events
    conn.data_received(message[-1:])
    assert host.events == [("body received", b"upload")]
    assert host.admitted[0].flow.complete
