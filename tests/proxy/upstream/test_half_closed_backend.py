"""A backend that shuts down its sending side before the whole request has been written.

If the event loop went on writing the rest from its buffer, the backend would receive the whole
request and might execute it. The node, however, would take the last byte as unsent: it would
send an unsafe request to another backend too, or tell the client that a retry is safe.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import threading
import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest
import uvloop

from loadbalancer.config.address import Address
from loadbalancer.core import Outcome
from loadbalancer.core.buffer_budget import BufferBudget
from loadbalancer.proxy.exchange import Attempt
from loadbalancer.proxy.flow_control import Flow
from loadbalancer.proxy.upstream.connection import BackendConnection
from tests.harness import LIMIT, LONG_MS, Peer, accept, node, request, roster, target

RECEIVE_BUFFER_BYTES = 64 << 10  # of the backend's connections
# The test needs a body that the node has read completely but not written completely. How much the
# kernel accepts depends on its settings; one of these sizes fits.
BODY_SIZES = (4_000_000, 4_500_000, 5_000_000)
SETTLE_S = 0.2  # for the node to read the body, or to notice the backend's shutdown
SHORT_BODY = b"x" * 1000


@contextlib.contextmanager
def slow_backend() -> Any:
    """Listen with a small receive buffer, so that senders block unless the test reads."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        sock.settimeout(LIMIT)
        yield sock


def received_completely(peer: Peer) -> bool:
    """Read until the connection ends; returns whether a complete request was received."""
    try:
        peer.message()
    except EOFError:
        return False
    return True


@pytest.mark.parametrize("size", BODY_SIZES)
def test_an_upload_received_by_a_half_closed_backend_is_not_rejected(
    tmp_path: Path, size: int
) -> None:
    with slow_backend() as backend:
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known) as running:
            client = running.connect()
            client.send(request("/credit", bytes(size), timeout=LONG_MS))
            peer = accept(backend)
            time.sleep(SETTLE_S)
            peer.sock.shutdown(socket.SHUT_WR)
            time.sleep(SETTLE_S)
            complete = received_completely(peer)
            rejected = client.message()[0] == "HTTP/1.1 503 Service Unavailable"
            assert not (complete and rejected)


class Transport:
    """A transport for which the kernel accepts nothing: written bytes stay in its buffer."""

    def __init__(self, connection: BackendConnection) -> None:
        self.connection = connection
        self.written = b""
        self.aborted = False

    def get_write_buffer_size(self) -> int:
        return len(self.written)

    def set_write_buffer_limits(self, high: int) -> None:
        assert high == 0

    def write(self, data: bytes) -> None:
        self.written += data
        self.connection.pause_writing()

    def abort(self) -> None:
        self.aborted = True

    def is_closing(self) -> bool:
        return self.aborted


class Host:
    """A host that lets every attempt begin, and records outcomes."""

    on_descriptor_freed: Any = staticmethod(lambda: None)

    def __init__(self) -> None:
        self.outcomes: list[Outcome] = []
        self.budget = BufferBudget(128)
        self.loop = SimpleNamespace(call_later=lambda *_: SimpleNamespace(cancel=lambda: None))

    def may_begin(self, _attempt: Attempt) -> bool:
        return True

    def on_body_started(self, _attempt: Attempt) -> None:
        pass

    def on_body_sent(self, _attempt: Attempt) -> None:
        pass

    def record_outcome(self, _attempt: Attempt, outcome: Outcome) -> None:
        self.outcomes.append(outcome)


def complete_upload() -> Flow:
    """Return the flow of a streamed body that has been read completely."""
    source = SimpleNamespace(pause_flow=lambda: None, resume_flow=lambda: None)
    flow = Flow(BufferBudget(128), cast(Any, source))
    flow.push(SHORT_BODY)
    flow.finish()
    return flow


@pytest.mark.parametrize("streamed", [False, True], ids=["buffered", "streamed"])
def test_nothing_is_written_after_the_backend_has_half_closed(streamed: bool) -> None:
    host = Host()
    pool = SimpleNamespace(host=host, pending={}, count=1, remove=lambda _: None)
    connection = BackendConnection(cast(Any, pool), 1, Address("127.0.0.1", 8001))
    body = [] if streamed else [SHORT_BODY]
    flow = complete_upload() if streamed else None
    outgoing = SimpleNamespace(head=b"", flow=flow, chunked=False, body=body, unsafe=True)
    connection.attempt = Attempt(cast(Any, outgoing), 0, 1, time.monotonic_ns())
    transport = Transport(connection)
    connection.connection_made(cast(Any, transport))
    written = transport.written
    connection.eof_received()
    connection.resume_writing()  # as the event loop does once the transport's buffer is empty
    assert transport.written == written
    assert transport.aborted
    assert host.outcomes == [Outcome.CONNECT_FAILED]


class Reader(threading.Thread):
    """A backend that reads one connection to its end once `begin` is set."""

    def __init__(self, listener: socket.socket) -> None:
        super().__init__()
        self.listener = listener
        self.begin = threading.Event()
        self.received = 0

    def run(self) -> None:
        peer, _ = self.listener.accept()
        with peer, contextlib.suppress(ConnectionError):
            self.begin.wait(LIMIT)
            while data := peer.recv(65536):
                self.received += len(data)


async def abandon_within_one_iteration(listener: socket.socket, reader: Reader) -> tuple[bool, int]:
    """Abandon an upload in the loop iteration in which its backend has read all but its end.

    Returns the result of `abandon` and the size of the body.
    """
    host = Host()
    loop = asyncio.get_running_loop()
    host.loop = cast(Any, loop)
    closed = asyncio.Event()
    pool = SimpleNamespace(host=host, pending={}, count=1, remove=lambda _: None)
    host.on_descriptor_freed = closed.set
    connection = BackendConnection(
        cast(Any, pool), 1, Address("127.0.0.1", listener.getsockname()[1])
    )
    sock = socket.create_connection(listener.getsockname())
    sock.setblocking(False)
    connection._sock = sock
    source = SimpleNamespace(pause_flow=lambda: None, resume_flow=lambda: None)
    flow = Flow(BufferBudget(128), cast(Any, source))
    outgoing = SimpleNamespace(head=b"", flow=flow, chunked=False, body=[], unsafe=True)
    connection.attempt = Attempt(cast(Any, outgoing), 0, 1, time.monotonic_ns())
    transport, _ = await loop.create_connection(lambda: connection, sock=sock)
    size = 0
    while not transport.get_write_buffer_size():
        flow.push(SHORT_BODY * 50)
        size += len(SHORT_BODY) * 50
    flow.finish()
    reader.begin.set()
    while reader.received < size - len(SHORT_BODY) * 50:
        time.sleep(0.01)  # blocks the event loop on purpose
    written = connection.abandon()
    await closed.wait()
    return written, size


def test_nothing_more_of_an_abandoned_upload_is_sent() -> None:
    """An attempt is aborted while the end of its body is in the transport's buffer.

    The event loop is late and the backend has read meanwhile, so the kernel accepts bytes again.
    The event loop could write the rest before it closes the aborted connection.
    """
    with slow_backend() as listener:
        reader = Reader(listener)
        reader.start()
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            written, size = runner.run(abandon_within_one_iteration(listener, reader))
        reader.join(LIMIT)
        assert not written
        assert reader.received < size
