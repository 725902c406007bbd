"""Steps that tests of clients' connections have in common."""

from __future__ import annotations

import socket

from tests.harness import Peer, Running, accept, answer, request

READINESS_CHECK = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"


def send_to_backend(client: Peer, backend: socket.socket, message: bytes) -> Peer:
    """Send a request; returns the new connection on which the backend has received it."""
    client.send(message)
    peer = accept(backend)
    peer.message()
    return peer


def assert_served(client: Peer, peer: Peer, rid: str) -> None:
    """A request goes to this connection of the backend, and its response comes back."""
    client.send(request(rid=rid))
    assert peer.message()[1]["x-request-id"] == rid
    peer.send(answer(b"served"))
    assert client.message()[2] == b"served"


def assert_next_at_backend(backend: socket.socket, proxy: Running) -> None:
    """A new client's request is the first one that the backend receives."""
    client = proxy.connect()
    client.send(request(rid="first"))
    peer = accept(backend)
    assert peer.message()[1]["x-request-id"] == "first"
    peer.send(answer(b"served"))
    assert client.message()[2] == b"served"


def end_sending(client: Peer) -> None:
    """End the client's sending; it still reads."""
    client.sock.shutdown(socket.SHUT_WR)
