"""A node in front of one backend, and messages too long to hold."""

from __future__ import annotations

import socket

from loadbalancer.proxy.flow_control import STREAMING_THRESHOLD_BYTES
from tests.harness import Peer, Running, accept, answer, request

SIZE = 3_000_000  # bytes
LONG = bytes(range(256)) * (SIZE // 256)


class Proxied:
    """A node in front of one backend, and the connections to both.

    It retains them: those that a test has not closed are open while the node stops.
    """

    def __init__(self, running: Running, backend: socket.socket) -> None:
        self.running = running
        self._backend = backend
        self._peers: list[Peer] = []

    def connect(self) -> Peer:
        """A client's connection."""
        self._peers.append(self.running.connect())
        return self._peers[-1]

    def accept(self) -> Peer:
        """The node's next connection to the backend."""
        self._peers.append(accept(self._backend))
        return self._peers[-1]

    def forward(self, client: Peer, data: bytes) -> Peer:
        """Send a request; the backend's connection, which has received it."""
        client.send(data)
        peer = self.accept()
        peer.message()
        return peer

    def begin_upload(self, client: Peer) -> Peer:
        """Send the first part of a long body; the backend's connection, which has some of it."""
        client.send(request("/credit", LONG)[: 4 * STREAMING_THRESHOLD_BYTES])
        peer = self.accept()
        receive_some(peer)
        return peer

    def begin_response(self, client: Peer) -> Peer:
        """Send a request, and the first part of a long response, of which the client has some."""
        peer = self.forward(client, request())
        peer.send(answer(LONG)[: 2 * STREAMING_THRESHOLD_BYTES])
        receive_some(client)
        return peer

    def assert_next_request_is_served(self) -> None:
        """A new client's request goes to the backend on a new connection."""
        client = self.connect()
        client.send(request(rid="next"))
        peer = self.accept()
        assert peer.message()[1]["x-request-id"] == "next"
        peer.send(answer(b"served"))
        assert client.message()[2] == b"served"


def receive_some(peer: Peer) -> None:
    while len(peer.buffer) < STREAMING_THRESHOLD_BYTES:
        assert peer.more()
