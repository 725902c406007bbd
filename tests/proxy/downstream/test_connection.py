"""The states of a client's connection, over a host and a transport that only note what comes."""

from __future__ import annotations

import socket
import struct
from types import SimpleNamespace
from typing import Any, cast

import pytest

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
from loadbalancer.proxy.flow_control import STREAMING_THRESHOLD_BYTES, Flow
from tests.harness import request
from tests.proxy.downstream.surroundings import Host, Transport, sweep

SERVED = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved"
LONG = STREAMING_THRESHOLD_BYTES + 1
LINGER_ZERO = struct.pack("ii", 1, 0)  # as SO_LINGER has it


def serve(conn: ClientConnection) -> None:
    conn.respond(b"", [b"served"], len(b"served"))


def stream(conn: ClientConnection, host: Host, length: int = -1) -> Flow:
    """Begin a streamed response; returns its flow."""
    source = SimpleNamespace(pause_flow=lambda: None, resume_flow=lambda: None)
    flow = Flow(host.budget, cast(Any, source))
    conn.begin_streaming(b"", length, flow)
    return flow


def resets_on_close(conn: ClientConnection) -> bool:
    """Whether the connection's end will be a reset."""
    return conn._sock.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8) == LINGER_ZERO


@pytest.mark.parametrize("all_has_come", [False, True])
def test_a_response_that_a_write_time_out_cuts_does_not_look_complete(
    conn: ClientConnection,
    transport: Transport,
    host: Host,
    registry: ConnectionRegistry,
    all_has_come: bool,
) -> None:
    """A client of HTTP/1.0 stops reading a response without a length, and is given up.

    To such a client the connection's end completes the response, so that it took a part for
    all of it. Also where its backend has sent everything, and a part waits in this process.
    """
    conn.data_received(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
    flow = stream(conn, host)
    flow.push(b"part")
    transport.unsent = 1
    if all_has_come:
        flow.finish()
    sweep(registry, WRITE_TIMEOUT_SWEEPS + 2)
    assert transport.aborted
    assert resets_on_close(conn)


def test_a_complete_response_without_a_length_is_not_reset(
    conn: ClientConnection, transport: Transport, host: Host, registry: ConnectionRegistry
) -> None:
    """All of it has left the process; its client stays, and is given up after a while.

    A reset could destroy what the client's kernel has not received yet.
    """
    conn.data_received(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
    flow = stream(conn, host)
    flow.push(b"all")
    flow.finish()
    registry.reset_incomplete()
    sweep(registry, LINGER_TIMEOUT_SWEEPS + 1)
    assert transport.aborted
    assert not resets_on_close(conn)


def test_the_states_of_a_connection_that_its_client_closes(
    unreported: ClientConnection, transport: Transport, host: Host
) -> None:
    conn = unreported
    states = [conn._state]
    conn.connection_made(cast(Any, transport))
    states.append(conn._state)
    conn.data_received(request())
    states.append(conn._state)
    flow = stream(conn, host)
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


def test_the_states_of_a_connection_that_is_ended_here(
    conn: ClientConnection, transport: Transport, registry: ConnectionRegistry
) -> None:
    """The client doesn't close after our end: it is aborted after LINGER_TIMEOUT_SWEEPS."""
    conn.close()
    assert conn._state is LINGERING
    assert transport.ended
    assert not conn.is_drained()
    sweep(registry, LINGER_TIMEOUT_SWEEPS)
    assert not transport.aborted
    sweep(registry, 1)
    assert transport.aborted
    assert conn._state is CLOSING


def test_pipelined_requests_begin_in_turn(
    conn: ClientConnection, transport: Transport, host: Host
) -> None:
    """Three requests come at once: each begins only once the one before it is answered."""
    conn.data_received(b"".join(request(rid=rid) for rid in "abc"))
    for count in (1, 2, 3):
        assert host.admitted_ids() == [b"a", b"b", b"c"][:count]
        serve(conn)
        assert len(host.admitted) == count  # whoever responds is still at work with this one
        host.loop.turn()
    assert transport.written == 3 * SERVED


def test_more_requests_than_may_wait_end_the_connection(
    conn: ClientConnection, transport: Transport, host: Host
) -> None:
    """Guards against one client that fills the queues: what it has sent is dropped."""
    conn.data_received(request(rid="open"))
    conn.data_received(b"".join(request(rid=f"r{i}") for i in range(MAX_QUEUED)))
    assert conn._state is AWAITING_RESPONSE
    conn.data_received(request(rid="beyond"))
    assert conn._state is LINGERING
    assert transport.written.startswith(b"HTTP/1.1 400")
    assert host.events == [("gone", b"open")]
    host.loop.turn()
    assert host.admitted_ids() == [b"open"]


def test_requests_that_are_rejected_within_the_call_are_answered_in_turn(
    conn: ClientConnection, transport: Transport, host: Host
) -> None:
    host.rejects = True
    conn.data_received(request(rid="a") + request(rid="b"))
    assert transport.written.count(b"HTTP/1.1 503") == 2
    assert conn._state is AWAITING_REQUEST


def test_nothing_begins_on_a_connection_that_has_been_aborted(
    conn: ClientConnection, transport: Transport, host: Host, registry: ConnectionRegistry
) -> None:
    """A client reads nothing and is given up, just as its first request has been answered.

    The request that waits behind it must not be sent for a client that is gone.
    """
    conn.data_received(request(rid="a") + request(rid="b"))
    transport.unsent = 1
    sweep(registry, WRITE_TIMEOUT_SWEEPS + 1)
    assert not transport.aborted
    serve(conn)
    sweep(registry, 1)
    assert transport.aborted
    host.loop.turn()
    assert host.admitted_ids() == [b"a"]


@pytest.mark.parametrize("open_request", [True, False])
def test_an_end_of_sending_drops_what_has_not_begun(
    conn: ClientConnection, host: Host, open_request: bool
) -> None:
    """A client ends its sending within a request: that one never completes.

    With another one open the connection stays, for its response.
    """
    if open_request:
        conn.data_received(request(rid="open"))
    conn.data_received(request("/credit/1", b"half", rid="half")[:-2])
    assert host.budget.buffered
    assert conn.eof_received() is open_request
    assert not host.budget.buffered
    assert host.events == ([("half-closed", b"open")] if open_request else [])


def test_an_upload_that_is_cut_off_closes_the_connection(
    conn: ClientConnection, host: Host
) -> None:
    """A client ends its sending within a long body, of which a part may be at a backend.

    The request never completes: there is nothing to wait for, and the host learns of it with
    the connection's end.
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
def test_a_streamed_response_says_how_it_ends(
    conn: ClientConnection,
    transport: Transport,
    host: Host,
    version: bytes,
    length: int,
    expected: bytes,
) -> None:
    head = request().replace(b"HTTP/1.1", b"HTTP/" + version)
    conn.data_received(head.replace(b"\r\n\r\n", b"\r\nConnection: keep-alive\r\n\r\n"))
    flow = stream(conn, host, length)
    flow.push(b"part")
    flow.finish()
    assert transport.written == b"HTTP/1.1 200 OK\r\n" + expected
    assert conn._state is (LINGERING if version == b"1.0" else AWAITING_REQUEST)


def test_noise_behind_a_streamed_response_aborts_it(
    conn: ClientConnection, transport: Transport, host: Host
) -> None:
    """What follows the open request can't be read while its response is being streamed.

    An error written now would be taken for more of that response.
    """
    conn.data_received(request(rid="open"))
    flow = stream(conn, host)
    flow.push(b"part")
    written = transport.written
    conn.data_received(b"\x8a\xff\x00\r\n\r\n")
    assert transport.aborted
    assert transport.written == written
    assert host.events == [("gone", b"open")]


def test_a_request_under_an_open_ones_id_is_rejected_and_gives_its_buffer_back(
    conn: ClientConnection, transport: Transport, host: Host
) -> None:
    host.open_request_ids.add(b"same")
    conn.data_received(request("/credit/1", b"body", rid="same"))
    assert transport.written.startswith(b"HTTP/1.1 409")
    assert not host.budget.buffered
    assert not host.admitted


def test_the_host_learns_when_an_upload_has_been_read_to_its_end(
    conn: ClientConnection, host: Host
) -> None:
    """The request's time runs from here on: before, it is its client that takes time."""
    message = request("/credit/1", b"x" * 2 * LONG, rid="upload")
    conn.data_received(message[:-1])
    assert host.admitted_ids() == [b"upload"]
    assert not host.events
    conn.data_received(message[-1:])
    assert host.events == [("body received", b"upload")]
    assert host.admitted[0].flow.complete
