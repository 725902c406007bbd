"""A second process takes over the clients' address, and the first one drains."""

from __future__ import annotations

import signal
import socket
import threading
from pathlib import Path

from tests.harness import LIMIT, LONG_MS, accept, answer, node, request, roster
from tests.upgrade.support import (
    SERVED,
    StartProcess,
    get_ready,
    receive_request,
    send_request,
    serve_one,
    stop_both,
    wait_until_draining,
)


def test_the_successor_takes_the_address_and_the_predecessor_drains(
    tmp_path: Path, backend: socket.socket, start: StartProcess
) -> None:
    """One client has an open request at the old process, another an idle connection.

    The new process receives new connections. The old one answers both clients and closes their
    connections after the answer. It still reports that it is ready, as both processes are one
    node.
    """
    old = start()
    client, idle = send_request(old, "open"), old.connect()
    peer = receive_request(backend)
    get_ready(idle)
    new = start()
    assert new.port == old.port
    assert new.call("GET /status")[0] == SERVED
    wait_until_draining(old)
    serve_one(backend, send_request(new, "fresh"))
    assert get_ready(idle)["connection"] == "close"
    peer.send(answer(b"open"))
    _, headers, body = client.message()
    assert (headers["connection"], body) == ("close", b"open")
    assert old.stop() == 0
    new.says("the link to the predecessor has closed")
    serve_one(backend, send_request(new, "last"))
    assert new.stop() == 0
    assert not list(tmp_path.glob("*.sock"))


def test_the_successor_rejects_a_request_id_that_is_open_at_the_predecessor(
    backend: socket.socket, start: StartProcess
) -> None:
    old = start()
    client = send_request(old, "same")
    peer = receive_request(backend)
    new = start()
    assert send_request(new, "same").message()[0] == "HTTP/1.1 409 Conflict"
    peer.send(answer(b"open"))
    assert client.message()[2] == b"open"
    stop_both(old, new)


def test_the_predecessor_completes_a_long_upload(
    backend: socket.socket, start: StartProcess
) -> None:
    """SIGTERM reaches the predecessor after the takeover, in the middle of an upload."""
    old = start()
    upload = b"z" * 2_000_000
    message = request("/credit/1", upload, LONG_MS, "long")
    client = old.connect()
    client.send(message[:300_000])
    peer = accept(backend)
    while len(peer.buffer) < 100_000:
        assert peer.more()
    new = start()
    wait_until_draining(old)
    old.process.send_signal(signal.SIGTERM)
    old.says("stopping")
    client.sock.settimeout(LIMIT)
    thread = threading.Thread(target=client.sock.sendall, args=(message[300_000:],))
    thread.start()
    assert peer.message()[2] == upload
    thread.join()
    peer.send(answer(b"served"))
    line, headers, body = client.message()
    assert (line, headers["connection"], body) == (SERVED, "close", b"served")
    assert old.process.wait(LIMIT) == 0
    assert new.stop() == 0


def test_a_third_process_takes_over_while_the_first_still_drains(
    backend: socket.socket, start: StartProcess
) -> None:
    first = start()
    client = send_request(first, "open")
    peer = receive_request(backend)
    second, third = start(), start()
    wait_until_draining(second)
    serve_one(backend, send_request(third, "fresh"))
    peer.send(answer(b"open"))
    assert client.message()[2] == b"open"
    stop_both(first, second)
    serve_one(backend, send_request(third, "last"))
    assert third.stop() == 0


def test_a_node_without_an_admin_address_has_no_upgrade_socket(tmp_path: Path) -> None:
    with node(tmp_path, roster()) as process:
        assert not list(tmp_path.glob("*.sock"))
        assert process.stop() == 0
