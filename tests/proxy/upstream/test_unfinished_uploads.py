"""Uploads whose clients disconnect before the node has written the body to a backend."""

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
MANY_BYTES = 30_000_000  # more than fits into the buffers of the kernel and the node together
# Half of what the node buffers of an upload beyond the kernel's buffers, at the memory limit that
# the harness sets. Only half, because the capacity of the kernel's buffers varies by connection.
WAITING_BYTES = 1_500_000
SETTLE_S = 0.2


@pytest.fixture
def backend() -> Iterator[socket.socket]:
    """A backend with a small receive buffer."""
    with listen() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        yield sock


@pytest.fixture
def n(tmp_path: Path, backend: socket.socket) -> Iterator[Running]:
    """A node with very long request timeouts."""
    known = roster(target("s-1", backend.getsockname()[1]))
    with node(tmp_path, known, settings={"classes": patient_classes()}) as running:
        yield running


def upload(size: int) -> bytes:
    return request("/credit/7f3a", b"z" * size, rid="r1", timeout=LONG_MS)


def accept_upload(backend: socket.socket) -> Peer:
    """Accept an upload's connection, and wait until its receive buffer is full."""
    peer = accept(backend)
    before, unread = -1, 0
    while unread != before or not unread:
        time.sleep(SETTLE_S)
        before = unread
        (unread,) = struct.unpack("i", fcntl.ioctl(peer.sock, termios.FIONREAD, bytes(4)))
    return peer


def kernel_capacity(n: Running, backend: socket.socket) -> int:
    """Measure how much of an upload fits into the kernel's buffers if the backend does not read.

    The node discards the rest of the upload once the backend shuts down its sending side.
    """
    client = n.connect()
    sender = threading.Thread(target=client.send, args=(upload(MANY_BYTES),))
    sender.start()
    peer = accept_upload(backend)
    peer.sock.shutdown(socket.SHUT_WR)
    time.sleep(SETTLE_S)  # for the node to notice
    buffered = len(peer.ends())
    client.message()
    sender.join()
    client.close()
    peer.close()
    return buffered


def test_an_upload_buffered_in_the_node_ends_when_its_client_disconnects(
    n: Running, backend: socket.socket
) -> None:
    """A client disconnects after the node has read its long body but not yet written its end.

    The unwritten end is discarded with the request, so the attempt can never be completed. It
    used to continue until the request's deadline: it occupied a slot and a backend connection,
    and then counted as a failed connect against the backend.
    """
    message = upload(kernel_capacity(n, backend) + WAITING_BYTES)
    client = n.connect()
    client.send(message)
    peer = accept_upload(backend)
    client.reset()
    time.sleep(SETTLE_S)  # for the node to notice
    # The connection must end long before the deadline; otherwise the peer's timeout fails this.
    assert len(peer.ends()) < len(message)
    peer.close()
