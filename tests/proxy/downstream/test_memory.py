"""What clients can make a node hold: hundreds at once, each within its limits.

With 300 clients that sent heads of many short fields, half a long request, or a long request
slowly, a node of the least memory that operators give one passed its limit and was killed.
"""

from __future__ import annotations

import contextlib
import socket
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import pytest

from loadbalancer.core.buffer_budget import (
    MAX_WAITING_BYTES,
    STREAMING_THRESHOLD_BYTES,
    BufferBudget,
)
from loadbalancer.core.memory_account import REQUEST_BYTES, SMALL_HEAD_BYTES, Holder
from loadbalancer.proxy.downstream.connection import LINGER_TIMEOUT_SWEEPS, ClientConnection
from loadbalancer.proxy.downstream.registry import ConnectionRegistry
from loadbalancer.proxy.downstream.request_parser import MAX_HEAD_BYTES
from tests.harness import Running, request, until
from tests.proxy.downstream.connection_fakes import Host, Transport, sweep

MEMORY_MB = 32  # the least that operators give a node
CLIENTS = 150
LONG = 2 * STREAMING_THRESHOLD_BYTES
HEAD = request()[:-2]
CHUNKED = request("/credit/1", b"", Content_Length="", Transfer_Encoding="chunked")
FIELDS = b"a:b\r\n" * ((MAX_HEAD_BYTES - len(HEAD)) // 10)


def test_short_fields_take_no_more_memory_than_their_bytes(conn: ClientConnection) -> None:
    conn.data_received(HEAD + FIELDS)
    incoming = conn._incoming
    assert incoming is not None
    assert len(incoming.lines) > len(FIELDS)
    assert sys.getsizeof(incoming.lines) < 3 * len(FIELDS)
    assert not incoming.body


def test_incomplete_heads_are_limited_together(host: Host, registry: ConnectionRegistry) -> None:
    """Small ones always pass: a client may take seconds for its head."""
    host.budget = BufferBudget(MEMORY_MB)
    conns = [open_connection(registry) for _ in range(200)]
    for conn, transport in conns:
        conn.data_received(HEAD + FIELDS)
        if transport.written:
            break
    assert transport.written.startswith(b"HTTP/1.1 503 ")
    assert host.budget.held[Holder.INCOMPLETE_HEADS] <= host.budget.soft_limit // 2 + MAX_HEAD_BYTES
    conn, transport = open_connection(registry)
    conn.data_received(HEAD[:SMALL_HEAD_BYTES])
    assert not transport.written
    for open_conn, open_transport in conns:
        if open_transport.written:
            open_conn.connection_lost(None)
        else:
            open_conn.data_received(b"\r\n")
    assert host.budget.held[Holder.INCOMPLETE_HEADS] == 0


@pytest.mark.parametrize("declared", [True, False], ids=["length", "chunked"])
def test_a_long_request_is_forwarded_before_much_of_it_is_buffered(
    conn: ClientConnection, host: Host, declared: bool
) -> None:
    """Its length tells that it is long; otherwise it is long once it exceeds the threshold."""
    host.budget.small_content_bytes = 1000
    content = bytes(1001)
    if declared:
        conn.data_received(request("/credit/1", bytes(LONG), rid="long")[: -LONG + len(content)])
    else:
        conn.data_received(CHUNKED + b"%x\r\n%s\r\n" % (len(content), content))
    assert bool(host.admitted) == declared


def test_many_small_chunks_are_read_in_small_pieces(conn: ClientConnection) -> None:
    """Each chunk takes time: 256 KB of them held up all other connections for seconds."""
    conn.data_received(CHUNKED)
    usual = conn.read_size()
    conn.data_received(b"1\r\na\r\n" * 1000)
    assert conn.read_size() < usual
    conn.data_received(b"3e8\r\n%s\r\n" % bytes(1000))
    assert conn.read_size() == usual


def test_a_full_read_ends_the_connections_turn(
    conn: ClientConnection, transport: Transport, host: Host
) -> None:
    """The event loop went on reading one connection for as long as it sent at full speed."""
    fill(conn, b"\r\n" * conn.read_size())
    assert not transport.reading
    host.loop.run_callbacks()
    assert transport.reading
    fill(conn, b"\r\n")
    assert transport.reading


def test_the_next_turn_does_not_resume_a_body_that_is_paused(
    conn: ClientConnection, transport: Transport, host: Host
) -> None:
    conn.data_received(CHUNKED)
    fill(conn, b"ffff\r\n" + bytes(conn.read_size()))
    assert not transport.reading
    conn.pause_flow()
    host.loop.run_callbacks()
    assert not transport.reading
    conn.resume_flow()
    assert transport.reading


def test_reading_waits_behind_an_open_request_once_enough_has_been_read(
    conn: ClientConnection, transport: Transport, host: Host
) -> None:
    """Eight requests a connection were queued, however little memory was free."""
    conn.data_received(request(rid="open"))
    conn.data_received(request("/credit/1", bytes(MAX_WAITING_BYTES), rid="a"))
    assert not transport.reading
    conn.respond_empty(503, 0)
    host.loop.run_callbacks()
    assert host.admitted_ids() == [b"open", b"a"]
    conn.respond_empty(503, 0)
    host.loop.run_callbacks()
    assert transport.reading
    assert conn in conn._registry.idle


def test_requests_are_counted_with_their_objects(conn: ClientConnection, host: Host) -> None:
    """Small requests behind an open one took ten times the memory of their heads."""
    for number in range(4):
        conn.data_received(request(rid=f"r-{number}"))
    assert host.budget.held[Holder.REQUESTS] == 4 * REQUEST_BYTES
    conn.connection_lost(None)
    assert host.budget.held[Holder.REQUESTS] == REQUEST_BYTES  # the open one's, until it is over


def test_nothing_more_is_read_behind_an_open_request_while_memory_is_short(
    conn: ClientConnection, transport: Transport, host: Host
) -> None:
    host.budget.reserve(Holder.FLOWS, host.budget.soft_limit + 1)
    conn.data_received(request(rid="open"))
    assert transport.reading
    conn.data_received(request(rid="a"))
    assert not transport.reading


def test_no_request_begins_while_the_client_has_not_taken_the_response_before(
    conn: ClientConnection, transport: Transport, host: Host
) -> None:
    """A client that sends requests and reads nothing had all responses buffered for it."""
    conn.data_received(request(rid="open"))
    transport.unsent = 1000
    conn.pause_writing()
    conn.respond(b"", [bytes(1000)], 1000)
    assert host.budget.held[Holder.UNSENT] > 1000
    conn.data_received(request(rid="a"))
    host.loop.run_callbacks()
    assert host.admitted_ids() == [b"open"]
    assert not transport.reading
    transport.unsent = 0
    conn.resume_writing()
    host.loop.run_callbacks()
    assert host.admitted_ids() == [b"open", b"a"]
    assert host.budget.held[Holder.UNSENT] == 0


@pytest.mark.parametrize("is_valid", [True, False])
def test_only_the_rest_of_a_valid_request_counts_as_activity_after_its_rejection(
    conn: ClientConnection,
    transport: Transport,
    host: Host,
    registry: ConnectionRegistry,
    is_valid: bool,
) -> None:
    """Its client reads the answer once it has written all; a bad one could hold a descriptor."""
    host.budget.reserve(Holder.FLOWS, host.budget.capacity_bytes + 1)
    path = "/credit/1" if is_valid else "/nothing/1"
    conn.data_received(request(path, b"", Content_Length="50000"))
    assert transport.written.startswith(b"HTTP/1.1 503 ") is is_valid
    for _ in range(2 * LINGER_TIMEOUT_SWEEPS):
        conn.data_received(b"x")
        sweep(registry, 1)
    assert transport.aborted is not is_valid
    sweep(registry, LINGER_TIMEOUT_SWEEPS + 1)
    assert transport.aborted


def test_the_head_of_a_readiness_check_is_released(conn: ClientConnection, host: Host) -> None:
    conn.data_received(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    assert host.budget.total == 0


def test_the_head_of_an_upload_is_released_once(conn: ClientConnection, host: Host) -> None:
    """Its connection and its request both knew it."""
    conn.data_received(request("/credit/1", bytes(LONG))[:-1])
    (admitted,) = host.admitted
    conn.connection_lost(None)
    assert host.budget.held[Holder.REQUEST_HEADS] == admitted.head_size > 0


@pytest.mark.parametrize("size", [100, MAX_HEAD_BYTES - 1000])
def test_a_complete_head_is_counted_until_its_request_is_over_or_rejected(
    conn: ClientConnection, transport: Transport, host: Host, size: int
) -> None:
    """Complete heads that waited for their content were counted by nobody."""
    host.budget.reserve(Holder.REQUEST_HEADS, host.budget.soft_limit)
    before = host.budget.held[Holder.REQUEST_HEADS]
    conn.data_received(request("/credit/1", b"", Content_Length="4", X_Pad="p" * size))
    is_large = size > SMALL_HEAD_BYTES
    assert transport.written.startswith(b"HTTP/1.1 503 ") is is_large
    assert (host.budget.held[Holder.REQUEST_HEADS] - before > size) is not is_large
    conn.connection_lost(None)
    assert host.budget.held[Holder.REQUEST_HEADS] == before


@pytest.mark.parametrize(
    "message",
    [
        HEAD + FIELDS,
        HEAD + b"X-Pad: " + b"p" * (MAX_HEAD_BYTES - 1000),
        request("/credit/1", bytes(LONG))[: LONG // 2],
        CHUNKED + b"10000\r\n" + bytes(0x10000),
    ],
    ids=["short fields", "long field", "half a request", "half a request in chunks"],
)
def test_many_clients_at_once_stay_within_the_least_memory(
    start: Callable[..., Running], message: bytes
) -> None:
    running = start(limits={"memory_mb": MEMORY_MB, "sockets": 1024})
    clients = [running.connect() for _ in range(CLIENTS)]
    for client in clients:
        client.sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            client.sock.send(message)
    # Each client has been read once its connection ends: with an error, or by its time limit.
    for client in clients:
        client.sock.setblocking(True)
        client.sock.settimeout(20.0)
        client.more()
        client.close()
    until(running.ready)
    assert peak_mb(running) <= MEMORY_MB


def peak_mb(running: Running) -> float:
    lines = Path(f"/proc/{running.process.pid}/status").read_text().splitlines()
    (peak,) = (line.split()[1] for line in lines if line.startswith("VmHWM:"))
    return int(peak) / 1024


def open_connection(registry: ConnectionRegistry) -> tuple[ClientConnection, Transport]:
    conn, transport = ClientConnection(registry, socket.socket()), Transport()
    conn.connection_made(cast(Any, transport))
    return conn, transport


def fill(conn: ClientConnection, data: bytes) -> None:
    """Deliver bytes as the event loop does: as many as the connection asks for, at most."""
    buffer = conn.get_buffer(-1)
    size = min(len(buffer), len(data))
    buffer[:size] = data[:size]
    conn.buffer_updated(size)
