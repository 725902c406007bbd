"""Timeouts of clients that send no complete request, with a fake host and transport."""

from __future__ import annotations

import math
from unittest import mock

import pytest

from loadbalancer.core.buffer_budget import STREAMING_THRESHOLD_BYTES
from loadbalancer.core.memory_account import Holder
from loadbalancer.proxy.downstream.connection import (
    FIRST_BYTE_TIMEOUT_SWEEPS,
    REQUEST_TIMEOUT_SWEEPS,
    SWEEP_S,
    ClientConnection,
)
from loadbalancer.proxy.downstream.registry import ConnectionRegistry
from loadbalancer.proxy.downstream.states import (
    AWAITING_REQUEST,
    AWAITING_RESPONSE,
    LINGERING,
)
from tests.harness import request
from tests.proxy.downstream.connection_fakes import Host, Transport, sweep

LONG = STREAMING_THRESHOLD_BYTES + 1

HALF_IN_CHUNKS = (
    request("/credit/1", b"", timeout=1000, Content_Length="", Transfer_Encoding="chunked")
    + b"400\r\n"
    + b"x" * 500
)
MAX_WAIT_SWEEPS = 4  # the time of that request


@pytest.mark.parametrize(
    ("sent", "sweeps", "response"),
    [(b"", FIRST_BYTE_TIMEOUT_SWEEPS, b""), (b"GET /ba", REQUEST_TIMEOUT_SWEEPS, b"HTTP/1.1 408")],
    ids=["nothing", "half a head"],
)
def test_a_client_that_sends_no_complete_request_times_out(
    conn: ClientConnection,
    transport: Transport,
    registry: ConnectionRegistry,
    sent: bytes,
    sweeps: int,
    response: bytes,
) -> None:
    conn.data_received(sent)
    sweep(registry, sweeps)
    assert conn._state is AWAITING_REQUEST
    sweep(registry, 1)
    assert conn._state is LINGERING
    assert transport.written.startswith(response)
    assert bool(transport.written) == bool(response)


def test_a_partial_request_behind_an_open_one_does_not_time_out(
    conn: ClientConnection, transport: Transport, registry: ConnectionRegistry
) -> None:
    """Reading may be paused until the open request is answered, which is not the client's fault."""
    conn.data_received(request(rid="open") + b"GET /ba")
    sweep(registry, REQUEST_TIMEOUT_SWEEPS + 1)
    assert conn._state is AWAITING_RESPONSE
    assert not transport.written


def test_a_backend_that_accepts_no_more_of_an_upload_is_reported(
    conn: ClientConnection, transport: Transport, host: Host, registry: ConnectionRegistry
) -> None:
    """No backend accepts the body, so reading is paused and the client can't send more.

    It may have written its last byte long ago, as far as it can tell. It waited for its answer for
    5 s, though its request was to be answered within 0.75 s.
    """
    host.budget.reserve(Holder.CONTENT, host.budget.soft_limit + 1)  # windows shrink to one read
    message = request("/credit/1", b"x" * 2 * LONG, rid="upload", timeout=750)
    conn.data_received(message[:-LONG])
    assert not transport.reading
    sweep(registry, sweeps_of(0.75))  # the first one notes the backlog
    assert not host.events
    sweep(registry, 1)
    assert host.events == [("upload stalled", b"upload")]
    assert not transport.written


def test_an_upload_that_its_backend_accepts_slowly_is_not_given_up(
    conn: ClientConnection, transport: Transport, host: Host, registry: ConnectionRegistry
) -> None:
    """It may take seconds until enough has been accepted to read on."""
    host.budget.reserve(Holder.CONTENT, host.budget.soft_limit + 1)
    host.unaccepted = 100
    message = request("/credit/1", b"x" * 2 * LONG, rid="upload", timeout=750)
    conn.data_received(message[:-LONG])
    for _ in range(10):
        sweep(registry, sweeps_of(0.75) - 1)
        host.unaccepted -= 1
    assert not transport.reading
    assert not host.events


def sweeps_of(seconds: float) -> int:
    return math.ceil(seconds / SWEEP_S)


def test_a_pause_for_lack_of_memory_does_not_extend_a_bodys_time(
    conn: ClientConnection, transport: Transport, host: Host, registry: ConnectionRegistry
) -> None:
    """Clients that stop in the middle of a body were read in turns, each with a new time limit."""
    budget = host.budget
    budget.incomplete[mock.Mock(missing_bytes=lambda: 0)] = None  # an older body
    budget.reserve(Holder.CONTENT, budget.soft_limit)
    conn.data_received(HALF_IN_CHUNKS)
    assert not transport.reading
    sweep(registry, MAX_WAIT_SWEEPS - 1)
    budget.release(Holder.CONTENT, budget.soft_limit)
    assert transport.reading
    sweep(registry, REQUEST_TIMEOUT_SWEEPS - MAX_WAIT_SWEEPS + 1)
    assert not transport.written
    sweep(registry, 1)
    assert transport.written.startswith(b"HTTP/1.1 408 ")


def test_a_body_that_waits_for_memory_is_rejected_once_its_requests_time_is_over(
    conn: ClientConnection, transport: Transport, host: Host, registry: ConnectionRegistry
) -> None:
    """Its client may have written all of it: the answer came after the client's time, or never."""
    host.budget.incomplete[mock.Mock(missing_bytes=lambda: 0)] = None  # an older body
    host.budget.reserve(Holder.CONTENT, host.budget.soft_limit)
    conn.data_received(HALF_IN_CHUNKS)
    sweep(registry, MAX_WAIT_SWEEPS - 1)
    assert not transport.written
    sweep(registry, 1)
    assert transport.written.startswith(b"HTTP/1.1 503 ")
    assert host.budget.rejected == 1
