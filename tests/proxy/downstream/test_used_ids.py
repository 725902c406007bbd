"""A request with the id of one that is not over is rejected and reaches no backend.

A backend that drops repeats by id gives one of the two the other's response; one that doesn't
executes an unsafe request twice.
"""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from loadbalancer.core.buffer_budget import STREAMING_THRESHOLD_BYTES
from tests.harness import (
    LONG_MS,
    Peer,
    Running,
    answer,
    listen,
    node,
    patient_classes,
    request,
    roster,
    target,
)
from tests.proxy.downstream.exchanges import send_to_backend

LONG = answer(bytes(4 * STREAMING_THRESHOLD_BYTES))


def credit(rid: str) -> bytes:
    return request("/credit/1", b"amount=5", rid=rid, timeout=LONG_MS)


def assert_rejected(running: Running, rid: str) -> None:
    client = running.connect()
    client.send(credit(rid))
    assert client.ends().startswith(b"HTTP/1.1 409 ")
    client.close()


def assert_executed(running: Running, backend: socket.socket, rid: str) -> None:
    """Assert that the next request which the backend receives is this one."""
    client = running.connect()
    peer = send_to_backend(client, backend, credit(rid))
    peer.send(answer(b"served"))
    assert client.message()[2] == b"served"
    client.close()
    peer.close()


@pytest.fixture
def backend() -> socket.socket:
    return listen()


def test_while_a_long_response_is_being_sent(tmp_path: Path, backend: socket.socket) -> None:
    """The id was free as soon as the first part of the response had been sent."""
    known = roster(target("s-1", backend.getsockname()[1]))
    with node(tmp_path, known, settings={"classes": patient_classes()}) as running:
        client = running.connect()
        peer = send_to_backend(client, backend, credit("same"))
        peer.send(LONG[: 2 * STREAMING_THRESHOLD_BYTES])
        read_some(client)
        assert_rejected(running, "same")
        assert_executed(running, backend, "other")
        peer.send(LONG[2 * STREAMING_THRESHOLD_BYTES :])
        assert client.message()[0] == "HTTP/1.1 200 OK"
        peer.close()
        assert_executed(running, backend, "same")


def test_after_its_client_has_left(tmp_path: Path, backend: socket.socket) -> None:
    """The backend still executes the request: it would be executed a second time."""
    known = roster(target("s-1", backend.getsockname()[1]))
    with node(tmp_path, known, settings={"classes": patient_classes()}) as running:
        client = running.connect()
        peer = send_to_backend(client, backend, credit("same"))
        client.reset()
        assert_executed(running, backend, "other")
        assert_rejected(running, "same")
        peer.send(answer(b"nobody reads this"))
        peer.close()
        assert_executed(running, backend, "another")
        assert_rejected(running, "same")


def read_some(client: Peer) -> None:
    while len(client.buffer) < STREAMING_THRESHOLD_BYTES:
        assert client.more()
