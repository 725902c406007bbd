"""Exchanges of messages that several tests of clients' connections use."""

from __future__ import annotations

import socket

from tests.harness import Peer, Running, accept, answer, request

READINESS_CHECK = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"


def send_to_backend(client: Peer, backend: socket.socket, message: bytes) -> Peer:
    """Send a request; returns the backend's new connection, on which it has been received."""
    client.send(message)
    peer = accept(backend)
    peer.message()
    return peer


def assert_served(client: Peer, peer: Peer, rid: str) -> None:
    """Assert that a request is sent on this backend connection, and that its response returns."""
    client.send(request(rid=rid))
    assert peer.message()[1]["x-request-id"] == rid
    peer.send(answer(b"served"))
    assert client.message()[2] == b"served"


def assert_backend_gets_next_request(backend: socket.socket, proxy: Running) -> None:
    """Assert that the first request the backend receives is that of a new client."""
    client = proxy.connect()
    client.send(request(rid="first"))
    peer = accept(backend)
    assert peer.message()[1]["x-request-id"] == "first"
    peer.send(answer(b"served"))
    assert client.message()[2] == b"served"


def half_close(client: Peer) -> None:
    """Shut down the client's sending; it can still read."""
    client.sock.shutdown(socket.SHUT_WR)
