"""Backends that end their sending before the request has left this process.

Such a backend may go on reading. An unsafe request whose last byte reaches it may run, and
must not be rejected with a 503, which tells its client that it may send it again.
"""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
import threading
import time
from pathlib import Path

from tests.harness import (
    LONG_MS,
    Running,
    accept,
    listen,
    node,
    patient_classes,
    request,
    roster,
    target,
)

SMALL_BUFFER = 4096  # bytes, for the system to receive
MANY_BYTES = 30_000_000  # more than all buffers between the node and a backend hold
PIECE = 20_000  # bytes; the node hands on more than that at a time
SETTLE_S = 0.2


def wait_until_full(sock: socket.socket) -> None:
    """Wait until the bytes that wait to be read are no longer more than a moment ago."""
    before, unread = -1, 0
    while unread != before:
        time.sleep(SETTLE_S)
        before = unread
        (unread,) = struct.unpack("i", fcntl.ioctl(sock, termios.FIONREAD, bytes(4)))


def half_close(n: Running, backend: socket.socket, size: int) -> tuple[int, str]:
    """A backend ends its sending while an unsafe body of this size fills all buffers.

    Returns how many bytes of the body it gets when it reads on then, and the client's status.
    """
    client = n.connect()
    message = request("/credit/7f3a", b"z" * size, rid="r1", timeout=LONG_MS)
    sender = threading.Thread(target=client.sock.sendall, args=(message,))
    sender.start()
    peer = accept(backend)
    while b"\r\n\r\n" not in peer.buffer:
        assert peer.more()
    wait_until_full(peer.sock)
    peer.sock.shutdown(socket.SHUT_WR)
    time.sleep(SETTLE_S)  # for the node to learn of it
    while peer.more():
        pass
    status = client.message()[0].split(" ")[1]
    sender.join()
    client.close()
    peer.close()
    return len(peer.buffer.partition(b"\r\n\r\n")[2]), status


def test_a_long_body_that_its_backend_gets_to_the_end_is_not_rejected(tmp_path: Path) -> None:
    """A backend ends its sending while the end of a long body waits in the node.

    The event loop closes a connection at its end of file only once it has written what
    waits. So the last byte reached the backend after the attempt had been counted as one
    that never ran, and the client got a 503.
    """
    with listen() as backend:
        backend.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known, settings={"classes": patient_classes()}) as n:
            held, status = half_close(n, backend, MANY_BYTES)
            assert held < MANY_BYTES
            assert status == "503"
            # The same with bodies whose ends wait in the node, or have just left it.
            for size in range(held - 2 * PIECE, held + 4 * PIECE, PIECE):
                got, status = half_close(n, backend, size)
                assert (got, status) == (size, "502") or (got < size and status == "503")


def test_a_long_body_that_waits_in_the_node_ends_with_its_client(tmp_path: Path) -> None:
    """A client leaves once the node has read its long body, of which the end still waits.

    That end is discarded with the client's request. Its attempt went on nevertheless, to the
    request's deadline: it used its slot and its backend's connection, and then counted
    against the backend as one that could not be connected to.
    """
    with listen() as backend:
        backend.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known, settings={"classes": patient_classes()}) as n:
            held, _ = half_close(n, backend, MANY_BYTES)
            size = held + 5 * PIECE
            client = n.connect()
            client.send(request("/credit/7f3a", b"z" * size, rid="r1", timeout=LONG_MS))
            peer = accept(backend)
            wait_until_full(peer.sock)
            client.reset()
            time.sleep(SETTLE_S)  # for the node to learn of it
            got = len(peer.ends())  # far sooner than the deadline, or the test's peers time out
            assert got < size
