"""Clients that end their sending, or go, while their request waits or is at a backend."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable
from pathlib import Path

import pytest

from loadbalancer.proxy.flow_control import WINDOW_FRACTION, BufferBudget
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
from tests.proxy.downstream.exchanges import end_sending, send_to_backend
from tests.proxy.full_backlog import FullBacklog, patient_settings

MEMORY_MB = 128  # of a node in tests
SLOTS = 4  # of one backend, by the initial concurrency limit
SOON_S = 4.0  # far less than the time for which anything that may wait long does
NOTHING_MORE_S = 0.0  # for a look at whether bytes have come


@pytest.fixture
def patient_proxy(start: Callable[..., Running]) -> Running:
    """A node whose requests may wait long for a slot."""
    return start(settings=patient_settings())


@pytest.fixture
def in_flight(patient_proxy: Running, backend: socket.socket) -> list[tuple[Peer, Peer]]:
    """As many requests as there are slots: their clients, and their backend connections."""
    pairs = []
    for i in range(SLOTS):
        client = patient_proxy.connect()
        client.send(request(rid=f"in-flight-{i}", timeout=LONG_MS))
        peer = accept(backend)
        assert peer.message()[1]["x-request-id"] == f"in-flight-{i}"
        pairs.append((client, peer))
    return pairs


@pytest.mark.parametrize("size", [0, 10, 300_000])
def test_a_queued_request_is_rejected_at_once_when_its_client_ends_its_sending(
    backend: socket.socket, patient_proxy: Running, in_flight: list[tuple[Peer, Peer]], size: int
) -> None:
    """A client sends a request and ends its sending while every slot is in use.

    It may have gone, so its request is rejected at once and leaves the queue: the slot that
    comes free next is another client's. The same where its body is too long to be buffered.

    The later request may take LONG_MS as well: the node may read it before the answer that
    frees the slot, and with less time than its class's expected latency it would be
    rejected instead of queued.
    """
    disconnected = patient_proxy.connect()
    disconnected.sock.settimeout(SOON_S)  # it may wait for a slot for some ten seconds
    path, body = ("/credit/7f3a", b"x" * size) if size else ("/balance/7f3a", None)
    disconnected.send(request(path, body, rid="gone", timeout=LONG_MS))
    end_sending(disconnected)
    assert disconnected.message()[0] == "HTTP/1.1 503 Service Unavailable"
    later = patient_proxy.connect()
    later.send(request(rid="later", timeout=LONG_MS))
    client, peer = in_flight[0]
    peer.send(answer(b"served"))
    assert client.message()[2] == b"served"
    assert peer.message()[1]["x-request-id"] == "later"
    peer.send(answer(b"served"))
    assert later.message()[2] == b"served"
    # No byte of the other request, on these connections or on a further one.
    peers = [peer for _, peer in in_flight]
    sockets = [backend, *(peer.sock for peer in peers)]
    assert not select.select(sockets, (), (), NOTHING_MORE_S)[0]
    assert not any(peer.buffer for peer in peers)


def unread_bytes(client: Peer) -> int:
    """Bytes of this client that the node's kernel holds and the node has not read."""
    local, remote = client.sock.getpeername()[1], client.sock.getsockname()[1]
    rows = (line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:])
    queues = [r[4] for r in rows if (int(r[1][-4:], 16), int(r[2][-4:], 16)) == (local, remote)]
    assert queues, "the connection is closed"
    return int(queues[0].partition(":")[2], 16)


def test_a_queued_upload_that_is_not_read_is_rejected_at_once_when_its_client_ends_its_sending(
    backend: socket.socket, patient_proxy: Running, in_flight: list[tuple[Peer, Peer]]
) -> None:
    """A request with a long body waits for a slot, and more of it has come than is buffered.

    The node reads no more of it, so the event loop can't report that its client ends its
    sending: the end stands behind bytes that nobody reads. The request is rejected all the
    same, and no byte of it is forwarded.
    """
    window = BufferBudget(MEMORY_MB).soft_limit // (WINDOW_FRACTION + 1)
    read, unread = b"x" * (window + 1000), b"x" * 20_000
    client = patient_proxy.connect()
    client.sock.settimeout(SOON_S)
    length = str(len(read) + len(unread))
    head = request("/credit/7f3a", b"", rid="gone", timeout=LONG_MS, Content_Length=length)
    client.send(head + read)
    until(lambda: not unread_bytes(client))
    client.send(unread)
    until(lambda: unread_bytes(client) == len(unread))
    end_sending(client)
    assert client.message()[0] == "HTTP/1.1 503 Service Unavailable"
    sockets = [backend, *(peer.sock for _, peer in in_flight)]
    assert not select.select(sockets, (), (), NOTHING_MORE_S)[0]


@pytest.mark.parametrize(
    ("leave", "is_answered"),
    [(end_sending, True), (Peer.close, False), (Peer.reset, False)],
    ids=["half", "close", "reset"],
)
def test_no_further_attempt_begins_for_a_client_that_has_gone(
    backend: socket.socket,
    patient_proxy: Running,
    leave: Callable[[Peer], None],
    is_answered: bool,
) -> None:
    """A client goes while its safe request is at the backend, which then fails it.

    The request could be sent again, but nobody may be waiting for it: the next request that
    the backend receives is another client's. One that has only ended its sending still
    gets an answer.
    """
    client = patient_proxy.connect()
    peer = send_to_backend(client, backend, request(rid="first", timeout=LONG_MS))
    leave(client)
    peer.send(answer(b"", "500 Oops"))
    if is_answered:
        assert client.message()[0] == "HTTP/1.1 503 Service Unavailable"
    other = patient_proxy.connect()
    other.send(request(rid="other", timeout=LONG_MS))
    assert peer.message()[1]["x-request-id"] == "other"


def test_a_client_that_has_ended_its_sending_gets_the_response_that_was_under_way(
    backend: socket.socket, proxy: Running
) -> None:
    """A client pipelines two requests and ends its sending while the first is at a backend.

    The first response is sent; what waited behind it is dropped.
    """
    client = proxy.connect()
    pipelined = request("/credit/1", b"once", rid="a") + request(rid="behind")
    peer = send_to_backend(client, backend, pipelined)
    end_sending(client)
    peer.send(answer(b"served"))
    assert client.message()[2] == b"served"
    assert client.ends() == b""
    assert proxy.stop() == 0


@pytest.mark.parametrize(
    ("path", "body"), [("/balance/1", None), ("/credit/1", b"x")], ids=["safe", "unsafe"]
)
def test_connecting_for_a_client_that_has_gone_is_called_off(
    tmp_path: Path, path: str, body: bytes | None
) -> None:
    """A client ends its sending while the connection for its request doesn't come up.

    It is rejected at once. Once connections come up again, the first bytes that the backend
    receives are of a later request.
    """
    with FullBacklog() as backend:
        known = roster(target("s-1", backend.port))
        with node(tmp_path, known, settings=patient_settings()) as proxy:
            client = proxy.connect()
            client.sock.settimeout(SOON_S)  # connecting may take far longer
            client.send(request(path, body, rid="gone", timeout=LONG_MS))
            end_sending(client)
            assert client.message()[0] == "HTTP/1.1 503 Service Unavailable"
            later = proxy.connect()
            # The kernel sends a SYN that was dropped again after a second, then two.
            later.send(request(rid="later", timeout=LONG_MS))
            assert backend.open().message()[1]["x-request-id"] == "later"
