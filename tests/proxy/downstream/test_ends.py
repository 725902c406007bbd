"""Closing clients' connections: no response is lost, and none looks complete if truncated."""

from __future__ import annotations

import contextlib
import signal
import socket
import subprocess
from collections.abc import Callable

import pytest

from tests.harness import LIMIT, Running, answer, request, until
from tests.proxy.downstream.exchanges import READINESS_CHECK, send_to_backend


def refuses_connections(proxy: Running) -> bool:
    """Whether the node refuses connections, as its listening socket is closed."""
    try:
        proxy.connect().close()
    except ConnectionError:
        return True
    return False


def read_to_end(sock: socket.socket) -> None:
    """Read until the peer closes; raises ConnectionResetError if it resets the connection."""
    while sock.recv(65536):
        pass


def test_a_request_that_crosses_an_idle_close_is_dropped_without_a_reset(
    backend: socket.socket, proxy: Running
) -> None:
    """The node stops and closes an idle connection while its client sends a request.

    The client must see an orderly close, after which it may safely send the request again, and
    the request must reach no backend.
    """
    idle = proxy.connect()
    idle.send(READINESS_CHECK)
    idle.message()
    proxy.process.send_signal(signal.SIGTERM)
    assert idle.sock.recv(1) == b""
    idle.send(request(rid="crossed"))
    idle.send(b"\r\n")  # after a reset this would be an error
    idle.close()
    assert proxy.process.wait(LIMIT) == 0
    backend.setblocking(False)
    with pytest.raises(BlockingIOError):
        backend.accept()


def test_a_stop_waits_until_clients_have_received_their_last_responses(
    backend: socket.socket, proxy: Running
) -> None:
    """A client continues to send after its last response, while the node stops.

    The process must not exit before the client has closed too: its exit would reset the
    connection, and the reset could destroy the response.
    """
    client = proxy.connect()
    peer = send_to_backend(client, backend, request(rid="last"))
    proxy.process.send_signal(signal.SIGTERM)
    until(
        lambda: refuses_connections(proxy)
    )  # from here on the node exits once no connection is open
    peer.send(answer(b"served"))
    assert client.message()[2] == b"served"
    with pytest.raises(subprocess.TimeoutExpired):
        proxy.process.wait(0.3)
    client.send(b"GET /more")
    client.send(b" HTTP/1.1")
    assert client.ends() == b""
    client.close()
    assert proxy.process.wait(LIMIT) == 0


def test_a_response_without_a_length_truncated_by_its_backend_does_not_look_complete(
    backend: socket.socket, proxy: Running
) -> None:
    """A backend truncates a response to an HTTP/1.0 client, to which chunks can't be sent.

    For such a response an orderly close marks the end of the content: only a reset tells the
    client that a part is missing.
    """
    client = proxy.connect()
    old = request(rid="old").replace(b"HTTP/1.1", b"HTTP/1.0")
    peer = send_to_backend(client, backend, old)
    peer.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
    while not client.buffer:  # a response is streamed once its backend proves slow
        peer.send(b"part")
        client.sock.settimeout(0.02)
        with contextlib.suppress(TimeoutError):
            client.more()
    client.sock.settimeout(LIMIT)
    peer.reset()
    with pytest.raises(ConnectionResetError):
        read_to_end(client.sock)


def test_a_response_without_a_length_truncated_by_a_stop_does_not_look_complete(
    backend: socket.socket, start: Callable[..., Running]
) -> None:
    """An HTTP/1.0 client reads slowly, and the node stops before it has sent the whole response.

    The backend has sent everything, so the request has ended while content is still buffered in
    the node. With an orderly close by the kernel at the node's exit, the client would take the
    part that it has received for the whole response.
    """
    proxy = start(limits={"memory_mb": 1024})  # buffers more than the kernel does
    client = proxy.connect()
    old = request(rid="old").replace(b"HTTP/1.1", b"HTTP/1.0")
    peer = send_to_backend(client, backend, old)
    peer.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n")
    for _ in range(300):
        peer.send(b"c350\r\n%s\r\n" % bytes(50_000))
    peer.send(b"0\r\n\r\n")
    assert peer.ends() == b""  # the node has received all of it
    proxy.process.send_signal(signal.SIGTERM)
    assert proxy.process.wait(LIMIT) == 0
    with pytest.raises(ConnectionResetError):
        read_to_end(client.sock)
