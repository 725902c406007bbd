"""Long bodies whose clients leave before the node has written them to a backend."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.harness import (
    LONG_MS,
    Peer,
    Running,
    accept,
    listen,
    node,
    patient_classes,
    request,
    roster,
    target,
)

RECEIVE_BUFFER_BYTES = 4096  # of the backend's connections
MANY_BYTES = 30_000_000  # more than the kernel's buffers and the node's hold
# Half of what the node reads ahead of the kernel's buffers, with its memory of 128 MB. What those
# hold differs from connection to connection.
WAITING_BYTES = 1_500_000
SETTLE_S = 0.2


@pytest.fixture
def backend() -> Iterator[socket.socket]:
    """A backend that receives little ahead of what is read from it."""
    with listen() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        yield sock


@pytest.fixture
def proxy(tmp_path: Path, backend: socket.socket) -> Iterator[Running]:
    """A node whose requests may take very long."""
    known = roster(target("s-1", backend.getsockname()[1]))
    with node(tmp_path, known, settings={"classes": patient_classes()}) as running:
        yield running


def upload(size: int) -> bytes:
    return request("/credit/7f3a", b"z" * size, rid="r1", timeout=LONG_MS)


def accept_upload(backend: socket.socket) -> Peer:
    """Accept an upload's connection, and wait until its buffers are full."""
    peer = accept(backend)
    before, unread = -1, 0
    while unread != before or not unread:
        time.sleep(SETTLE_S)
        before = unread
        (unread,) = struct.unpack("i", fcntl.ioctl(peer.sock, termios.FIONREAD, bytes(4)))
    return peer


def kernel_capacity(proxy: Running, backend: socket.socket) -> int:
    """How much of an upload the kernel's buffers hold towards a backend that does not read.

    The node discards what they don't hold as soon as the backend ends its sending.
    """
    client = proxy.connect()
    sender = threading.Thread(target=client.send, args=(upload(MANY_BYTES),))
    sender.start()
    peer = accept_upload(backend)
    peer.sock.shutdown(socket.SHUT_WR)
    time.sleep(SETTLE_S)  # for the node to learn of it
    buffered = len(peer.ends())
    client.message()
    sender.join()
    client.close()
    peer.close()
    return buffered


def test_an_upload_that_waits_in_the_node_ends_with_its_client(
    proxy: Running, backend: socket.socket
) -> None:
    """A client leaves once the node has read its long body, of which the end still waits.

    That end is discarded with the client's request. Its attempt went on nevertheless, to the
    request's deadline: it used its slot and its backend's connection, and then counted
    against the backend as one that could not be connected to.
    """
    message = upload(kernel_capacity(proxy, backend) + WAITING_BYTES)
    client = proxy.connect()
    client.send(message)
    peer = accept_upload(backend)
    client.reset()
    time.sleep(SETTLE_S)  # for the node to learn of it
    # Its end comes long before the deadline, or the peer's own limit passes.
    assert len(peer.ends()) < len(message)
    peer.close()
