"""Clients that half-close or disconnect while their request is queued or at a backend."""

from __future__ import annotations

import select
import socket
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from loadbalancer.core.buffer_budget import MIN_WINDOW_BYTES
from tests.harness import (
    LONG_MS,
    Peer,
    Running,
    accept,
    answer,
    node,
    request,
    roster,
    target,
    until,
)
from tests.proxy.downstream.exchanges import half_close, send_to_backend
from tests.proxy.full_backlog import FullBacklog, patient_settings

SCARCE_MB = 8  # less than a process takes, so that the least window applies
SLOTS = 4  # of one backend: the initial concurrency limit
SOON_S = 4.0  # limit for an immediate reaction, far below the timeouts of waiting requests
SETTLED_S = 0.05  # after a response, its connection is used for another request at once
NOTHING_MORE_S = 0.0  # timeout for a check that nothing more has been received


@pytest.fixture
def proxy_with_long_queue_wait(
    start: Callable[..., Running], request: pytest.FixtureRequest
) -> Running:
    """A node in which requests may wait a long time for a slot."""
    limits = {"memory_mb": getattr(request, "param", 128)}
    return start(settings=patient_settings(), limits=limits)


@pytest.fixture
def in_flight(
    proxy_with_long_queue_wait: Running, backend: socket.socket
) -> list[tuple[Peer, Peer]]:
    """Send a request for each slot; returns their clients and backend connections."""
    pairs = []
    for i in range(SLOTS):
        client = proxy_with_long_queue_wait.connect()
        client.send(request(rid=f"in-flight-{i}", timeout=LONG_MS))
        peer = accept(backend)
        assert peer.message()[1]["x-request-id"] == f"in-flight-{i}"
        pairs.append((client, peer))
    return pairs


@pytest.mark.parametrize("size", [0, 10, 300_000])
def test_a_queued_request_is_rejected_at_once_when_its_client_half_closes(
    backend: socket.socket,
    proxy_with_long_queue_wait: Running,
    in_flight: list[tuple[Peer, Peer]],
    size: int,
) -> None:
    """A client sends a request and half-closes while every slot is in use.

    The client may have disconnected, so its request is rejected at once and removed from the
    queue: the next free slot goes to another client. The same holds for a body that is too long
    to be buffered.

    The later request has a timeout of LONG_MS too: the node may read it before the response that
    frees the slot, and with a timeout below its class's expected latency it would be rejected
    instead of queued.
    """
    disconnected = proxy_with_long_queue_wait.connect()
    disconnected.sock.settimeout(SOON_S)  # waiting for a slot may take some ten seconds
    path, body = ("/credit/7f3a", b"x" * size) if size else ("/balance/7f3a", None)
    disconnected.send(request(path, body, rid="gone", timeout=LONG_MS))
    half_close(disconnected)
    assert disconnected.message()[0] == "HTTP/1.1 503 Service Unavailable"
    later = proxy_with_long_queue_wait.connect()
    later.send(request(rid="later", timeout=LONG_MS))
    client, peer = in_flight[0]
    peer.send(answer(b"served"))
    assert client.message()[2] == b"served"
    assert peer.message()[1]["x-request-id"] == "later"
    peer.send(answer(b"served"))
    assert later.message()[2] == b"served"
    # No byte of the rejected request was sent, on these connections or on a new one.
    peers = [peer for _, peer in in_flight]
    sockets = [backend, *(peer.sock for peer in peers)]
    assert not select.select(sockets, (), (), NOTHING_MORE_S)[0]
    assert not any(peer.buffer for peer in peers)


def unread_bytes(client: Peer) -> int:
    """Return the number of bytes from this client that the node has not read from its kernel."""
    local, remote = client.sock.getpeername()[1], client.sock.getsockname()[1]
    rows = (line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:])
    queues = [r[4] for r in rows if (int(r[1][-4:], 16), int(r[2][-4:], 16)) == (local, remote)]
    assert queues, "the connection is closed"
    return int(queues[0].partition(":")[2], 16)


@pytest.mark.parametrize("proxy_with_long_queue_wait", [SCARCE_MB], indirect=True)
def test_a_queued_upload_is_rejected_at_once_on_a_half_close_while_reading_is_paused(
    backend: socket.socket, proxy_with_long_queue_wait: Running, in_flight: list[tuple[Peer, Peer]]
) -> None:
    """A request with a long body waits for a slot, and more of it has arrived than is buffered.

    The node has paused reading, so the event loop can't report the half-close, which follows
    unread bytes. The request must be rejected all the same, and no byte of it forwarded.
    """
    read, unread = b"x" * (MIN_WINDOW_BYTES + 1000), b"x" * 20_000
    client = proxy_with_long_queue_wait.connect()
    client.sock.settimeout(SOON_S)
    length = str(len(read) + len(unread))
    head = request("/credit/7f3a", b"", rid="gone", timeout=LONG_MS, Content_Length=length)
    client.send(head + read)
    until(lambda: not unread_bytes(client))
    client.send(unread)
    until(lambda: unread_bytes(client) == len(unread))
    half_close(client)
    assert client.message()[0] == "HTTP/1.1 503 Service Unavailable"
    sockets = [backend, *(peer.sock for _, peer in in_flight)]
    assert not select.select(sockets, (), (), NOTHING_MORE_S)[0]


@pytest.mark.parametrize(
    ("disconnect", "is_answered"),
    [(half_close, True), (Peer.close, False), (Peer.reset, False)],
    ids=["half", "close", "reset"],
)
def test_no_further_attempt_is_made_for_a_client_that_has_disconnected(
    backend: socket.socket,
    proxy_with_long_queue_wait: Running,
    disconnect: Callable[[Peer], None],
    is_answered: bool,
) -> None:
    """A client disconnects while its safe request is at the backend, which then fails it.

    The request could be retried, but the client may no longer be waiting: the next request that
    the backend receives must be another client's. A client that has only half-closed still gets
    a response.
    """
    client = proxy_with_long_queue_wait.connect()
    peer = send_to_backend(client, backend, request(rid="first", timeout=LONG_MS))
    disconnect(client)
    peer.send(answer(b"", "500 Oops"))
    if is_answered:
        assert client.message()[0] == "HTTP/1.1 503 Service Unavailable"
    other = proxy_with_long_queue_wait.connect()
    other.send(request(rid="other", timeout=LONG_MS))
    assert peer.message()[1]["x-request-id"] == "other"


def test_a_half_closed_client_gets_the_response_to_its_open_request(
    backend: socket.socket, proxy: Running
) -> None:
    """A client pipelines two requests and half-closes while the first is at a backend.

    The first gets its response; the queued one is dropped.
    """
    client = proxy.connect()
    pipelined = request("/credit/1", b"once", rid="a") + request(rid="behind")
    peer = send_to_backend(client, backend, pipelined)
    half_close(client)
    peer.send(answer(b"served"))
    assert client.message()[2] == b"served"
    assert client.ends() == b""
    assert proxy.stop() == 0


@pytest.mark.parametrize(
    ("path", "body"), [("/balance/1", None), ("/credit/1", b"x")], ids=["safe", "unsafe"]
)
def test_connecting_is_abandoned_for_a_client_that_has_disconnected(
    tmp_path: Path, path: str, body: bytes | None
) -> None:
    """A client half-closes while the node's connection to the backend is not established.

    The request is rejected at once. When the backend accepts connections again, the first bytes
    that it receives are those of a later request.
    """
    with FullBacklog() as backend:
        known = roster(target("s-1", backend.port))
        with node(tmp_path, known, settings=patient_settings()) as proxy:
            client = proxy.connect()
            client.sock.settimeout(SOON_S)  # the connect timeout may be far longer
            client.send(request(path, body, rid="gone", timeout=LONG_MS))
            half_close(client)
            assert client.message()[0] == "HTTP/1.1 503 Service Unavailable"
            later = proxy.connect()
            # The kernel retransmits a dropped SYN after one second, then after two more.
            later.send(request(rid="later", timeout=LONG_MS))
            assert backend.open().message()[1]["x-request-id"] == "later"


@pytest.mark.parametrize("size", [60_000, 100_000, 1_000_000])
def test_what_waits_behind_an_open_request_is_not_sent_for_a_client_that_has_left(
    proxy_with_long_queue_wait: Running, in_flight: list[tuple[Peer, Peer]], size: int
) -> None:
    """A client closed its connection with much still unread, and its requests were sent on.

    While reading is paused, the event loop does not report that the client has left.
    """
    (client, first), *others = in_flight
    for other, peer in others:
        peer.send(answer(b"served"))
        assert other.message()[2] == b"served"
    client.send(request("/credit", bytes(size), rid="waiting", timeout=LONG_MS))
    time.sleep(SETTLED_S)  # so that a request may be sent on the other connections at once
    until(lambda: proxy_with_long_queue_wait.ready())
    client.close()
    first.send(answer(b"nobody reads this"))
    client = proxy_with_long_queue_wait.connect()
    client.send(request("/credit", b"", rid="next", timeout=LONG_MS))
    peers = [peer for _, peer in in_flight]
    (sock,) = select.select([peer.sock for peer in peers], (), (), SOON_S)[0]
    (peer,) = (peer for peer in peers if peer.sock is sock)
    assert peer.message()[1]["x-request-id"] == "next"
    peer.send(answer(b"served"))
    assert client.message()[2] == b"served"
