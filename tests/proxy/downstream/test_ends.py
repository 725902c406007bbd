"""How clients' connections end: nothing that has been written is lost, or looks complete."""

from __future__ import annotations

import contextlib
import signal
import socket
import subprocess
from collections.abc import Callable

import pytest

from tests.harness import LIMIT, Running, answer, request, until
from tests.proxy.downstream.exchanges import READINESS_CHECK, send_to_backend


def is_closed_to_clients(proxy: Running) -> bool:
    """Whether the node's listening socket is closed."""
    try:
        proxy.connect().close()
    except ConnectionError:
        return True
    return False


def read_to_end(sock: socket.socket) -> None:
    """Read until the peer's orderly end; ConnectionResetError where it resets."""
    while sock.recv(65536):
        pass


def test_a_request_that_crosses_the_end_of_an_idle_connection_is_dropped_without_a_reset(
    backend: socket.socket, proxy: Running
) -> None:
    """The node stops and ends an idle connection; its client sends a request just then.

    The client must see an orderly end, after which it may send the request again, and the
    request must reach no backend.
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


def test_a_stop_waits_for_clients_to_receive_their_last_responses(
    backend: socket.socket, proxy: Running
) -> None:
    """A client goes on sending after its last response, while the node stops.

    The process stays until the client has ended too: its exit would reset the connection,
    and the reset could destroy the response.
    """
    client = proxy.connect()
    peer = send_to_backend(client, backend, request(rid="last"))
    proxy.process.send_signal(signal.SIGTERM)
    until(lambda: is_closed_to_clients(proxy))  # from here on it ends once nothing is open
    peer.send(answer(b"served"))
    assert client.message()[2] == b"served"
    with pytest.raises(subprocess.TimeoutExpired):
        proxy.process.wait(0.3)
    client.send(b"GET /more")
    client.send(b" HTTP/1.1")
    assert client.ends() == b""
    client.close()
    assert proxy.process.wait(LIMIT) == 0


def test_a_response_without_a_length_that_breaks_off_does_not_look_complete(
    backend: socket.socket, proxy: Running
) -> None:
    """A backend breaks off a response to an HTTP/1.0 client, which knows no chunks.

    To such a client the connection's orderly end completes the response: only a reset tells
    it that a part is missing.
    """
    client = proxy.connect()
    old = request(rid="old").replace(b"HTTP/1.1", b"HTTP/1.0")
    peer = send_to_backend(client, backend, old)
    peer.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
    while not client.buffer:  # it is streamed once its sender turns out to be slow
        peer.send(b"part")
        client.sock.settimeout(0.02)
        with contextlib.suppress(TimeoutError):
            client.more()
    client.sock.settimeout(LIMIT)
    peer.reset()
    with pytest.raises(ConnectionResetError):
        read_to_end(client.sock)


def test_a_response_without_a_length_that_a_stop_cuts_does_not_look_complete(
    backend: socket.socket, start: Callable[..., Running]
) -> None:
    """A client of HTTP/1.0 reads slowly, and the node stops before it has everything.

    The backend has sent all of it, so that the request has ended, and what is left waits in
    the node. At its exit the kernel ended the connection in order: the client took what it
    had for the whole response.
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
