"""A backend that ends its sending while a part of the request is still to be written.

The loop would go on writing what it buffers. The backend would then have the whole request
and might run it, while the node takes its last byte for one that never left: it would send
an unsafe request to another backend as well, or tell its client that a retry is harmless.
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
from loadbalancer.proxy.exchange import Attempt
from loadbalancer.proxy.flow_control import BufferBudget, Flow
from loadbalancer.proxy.upstream.connection import BackendConnection
from tests.harness import LIMIT, LONG_MS, Peer, accept, node, request, roster, target

RECEIVE_BUFFER_BYTES = 64 << 10  # of the backend's connections
# How much the kernel accepts depends on its settings: with one of these sizes the node has
# read the whole body while a part of it still waits to be written.
BODY_SIZES = (4_000_000, 4_500_000, 5_000_000)
SETTLE_S = 0.2  # for the node to read the body, and to see the backend's end
SHORT_BODY = b"x" * 1000


@contextlib.contextmanager
def slow_backend() -> Any:
    """A listener whose connections receive little ahead of what is read from them."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        sock.settimeout(LIMIT)
        yield sock


def received_completely(peer: Peer) -> bool:
    """Read to the connection's end; whether a request came to its last byte."""
    try:
        peer.message()
    except EOFError:
        return False
    return True


@pytest.mark.parametrize("size", BODY_SIZES)
def test_an_upload_that_a_half_closed_backend_received_is_not_rejected(
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
    """A transport whose kernel accepts nothing: what is written waits in its buffer."""

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
    """A host that lets every attempt begin, and notes how attempts end."""

    on_descriptor_freed: Any = staticmethod(lambda: None)

    def __init__(self) -> None:
        self.concluded: list[Outcome] = []
        self.loop = SimpleNamespace(call_later=lambda *_: SimpleNamespace(cancel=lambda: None))

    def may_begin(self, _attempt: Attempt) -> bool:
        return True

    def body_begins(self, _attempt: Attempt) -> None:
        pass

    def body_sent(self, _attempt: Attempt) -> None:
        pass

    def conclude(self, _attempt: Attempt, outcome: Outcome) -> None:
        self.concluded.append(outcome)


def complete_upload() -> Flow:
    """A body that is forwarded as it comes, all of which has been read."""
    source = SimpleNamespace(pause_flow=lambda: None, resume_flow=lambda: None)
    flow = Flow(BufferBudget(128), cast(Any, source))
    flow.push(SHORT_BODY)
    flow.finish()
    return flow


@pytest.mark.parametrize("streamed", [False, True], ids=["buffered", "streamed"])
def test_nothing_is_written_after_the_end_of_the_backends_sending(streamed: bool) -> None:
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
    connection.resume_writing()  # as the loop does when its buffer is empty
    assert transport.written == written
    assert transport.aborted
    assert host.concluded == [Outcome.CONNECT_FAILED]


class Reader(threading.Thread):
    """A backend that reads one connection to its end, from the moment that it is told to."""

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


async def abandon_within_one_turn(listener: socket.socket, reader: Reader) -> tuple[bool, int]:
    """Abandon an upload in the turn in which its backend has just read all but its end.

    Returns what `abandon` says, and how many bytes the request has.
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
        time.sleep(0.01)  # the loop is late
    written = connection.abandon()
    await closed.wait()
    return written, size


def test_an_abandoned_upload_gets_no_further() -> None:
    """An attempt is given up while the end of its body waits for the kernel.

    The loop is late, the backend has read meanwhile, so that the kernel accepts bytes again:
    the rest would leave before the aborted connection is closed.
    """
    with slow_backend() as listener:
        reader = Reader(listener)
        reader.start()
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            written, size = runner.run(abandon_within_one_turn(listener, reader))
        reader.join(LIMIT)
        assert not written
        assert reader.received < size
