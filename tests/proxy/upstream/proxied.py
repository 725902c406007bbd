"""A node with one backend, and messages too long to be buffered whole."""

from __future__ import annotations

import socket

from loadbalancer.core.buffer_budget import STREAMING_THRESHOLD_BYTES
from tests.harness import Peer, Running, accept, answer, request

SIZE = 3_000_000  # bytes
LONG_CONTENT = bytes(range(256)) * (SIZE // 256)


class Proxied:
    """A node with one backend, and the test's connections to both.

    The connections are retained, so that those a test has not closed stay open until the node
    has stopped.
    """

    def __init__(self, running: Running, backend: socket.socket) -> None:
        self.running = running
        self._backend = backend
        self._peers: list[Peer] = []

    def connect(self) -> Peer:
        """Open a client connection to the node."""
        self._peers.append(self.running.connect())
        return self._peers[-1]

    def accept(self) -> Peer:
        """Accept the node's next connection to the backend."""
        self._peers.append(accept(self._backend))
        return self._peers[-1]

    def forward(self, client: Peer, data: bytes) -> Peer:
        """Send a request; returns the backend's connection after it has received the request."""
        client.send(data)
        peer = self.accept()
        peer.message()
        return peer

    def begin_upload(self, client: Peer) -> Peer:
        """Send a part of a long body; returns the backend's connection, which has received some."""
        client.send(request("/credit", LONG_CONTENT)[: 4 * STREAMING_THRESHOLD_BYTES])
        peer = self.accept()
        receive_some(peer)
        return peer

    def begin_response(self, client: Peer) -> Peer:
        """Send a request and a part of a long response.

        Returns the backend's connection after the client has received some of the response.
        """
        peer = self.forward(client, request())
        peer.send(answer(LONG_CONTENT)[: 2 * STREAMING_THRESHOLD_BYTES])
        receive_some(client)
        return peer

    def assert_next_request_is_served(self) -> None:
        """Assert that a new client's request is sent on a new backend connection and answered."""
        client = self.connect()
        client.send(request(rid="next"))
        peer = self.accept()
        assert peer.message()[1]["x-request-id"] == "next"
        peer.send(answer(b"served"))
        assert client.message()[2] == b"served"


def receive_some(peer: Peer) -> None:
    while len(peer.buffer) < STREAMING_THRESHOLD_BYTES:
        assert peer.more()
