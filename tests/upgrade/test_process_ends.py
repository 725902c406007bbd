"""One of the two processes exits or hangs during the upgrade; the other continues to serve."""

from __future__ import annotations

import signal
import socket
import threading
from collections.abc import Callable
from pathlib import Path

import pytest

from loadbalancer.upgrade.codec import encode_frame
from loadbalancer.upgrade.greeting import send_listener
from loadbalancer.upgrade.socket_path import UpgradeSocket
from tests.harness import LIMIT, Peer, answer, listen
from tests.upgrade.support import (
    HELLO,
    SERVED,
    StartProcess,
    call_upgrade_socket,
    kill,
    receive_request,
    send_request,
    serve_one,
    stop_both,
    take_listener,
    wait_until_draining,
)


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
def test_the_predecessor_serves_again_when_its_successor_exits(
    backend: socket.socket, start: StartProcess, number: signal.Signals
) -> None:
    """A new version crashes, or is rolled back, after it has begun to serve.

    The old process accepts connections again, stops closing them after each answer, and can
    hand over to a third process.
    """
    old, new = start(), start()
    wait_until_draining(old)
    new.process.send_signal(number)
    new.process.wait(LIMIT)
    new.process.returncode = 0
    old.says("serving again")
    assert "connection" not in serve_one(backend, send_request(old, "after"))
    third = start()
    wait_until_draining(old)
    assert third.port == old.port
    stop_both(old, third)


def test_the_predecessor_serves_on_when_its_successor_exits_before_serving(
    backend: socket.socket, start: StartProcess, upgrade_socket: Path
) -> None:
    """A new version exits after it has received the listening socket, before it serves."""
    old = start()
    caller = call_upgrade_socket(upgrade_socket)
    take_listener(caller).close()
    old.says("a successor has connected")
    caller.close()
    old.says("the link to the successor has closed before it served")
    assert "connection" not in serve_one(backend, send_request(old, "after"))
    assert old.stop() == 0


def test_a_predecessor_stopped_before_its_successor_serves_loses_no_connection(
    start: StartProcess, upgrade_socket: Path
) -> None:
    """The old process receives SIGTERM after it has sent the listening socket.

    Until the new process accepts connections, they wait in the accept queue of the socket.
    """
    old = start()
    with call_upgrade_socket(upgrade_socket) as caller, take_listener(caller) as listener:
        assert old.stop() == 0
        client = send_request(old, "between")
        listener.settimeout(LIMIT)
        assert Peer(listener.accept()[0]).message()[1]["x-request-id"] == "between"
        client.close()


def test_the_successor_uses_all_slots_when_its_predecessor_is_killed(
    backend: socket.socket, start: StartProcess
) -> None:
    """The old process is killed while it drains, with a slot of the backend in use.

    Its client's connection is closed. The new process may use all slots; none stays reserved.
    """
    old = start()
    client = send_request(old, "open")
    open_at_backend = receive_request(backend)
    new = start()
    wait_until_draining(old)
    kill(old)
    assert client.ends() == b""
    assert open_at_backend.ends() == b""
    new.says("the link to the predecessor has closed")
    clients = [send_request(new, f"c{i}") for i in range(3)]
    peers = [receive_request(backend) for _ in clients]
    for peer in peers:
        peer.send(answer(b"served"))
    assert [client.message()[2] for client in clients] == [b"served"] * 3
    assert new.stop() == 0


def send_nothing(_link: socket.socket) -> None:
    """Send no state."""


def close_link(link: socket.socket) -> None:
    link.close()


def send_malformed_state(link: socket.socket) -> None:
    link.sendall(encode_frame({"state": {"rev": 41}}))


def send_malformed_frame(link: socket.socket) -> None:
    link.sendall(b"\0\0\0\2[]")


@pytest.mark.parametrize(
    ("reply", "reason"),
    [
        (send_nothing, "no state received in 0.8 s"),
        (close_link, "the predecessor has closed the connection"),
        (send_malformed_state, "malformed state: 'members'"),
        (send_malformed_frame, "frame is not a JSON object"),
    ],
)
def test_a_new_process_logs_why_the_handover_failed(
    start: StartProcess, upgrade_socket: Path, reply: Callable[[socket.socket], None], reason: str
) -> None:
    """The old process sends its listening socket, but no usable state.

    The new one starts without the old one's state. Without the reason in its log, an operator
    would assume that the handover succeeded.
    """
    listener = UpgradeSocket(str(upgrade_socket)).listen()
    listener.settimeout(LIMIT)

    def act_as_predecessor() -> None:
        link, _ = listener.accept()
        link.settimeout(LIMIT)
        assert link.recv(len(HELLO)) == HELLO
        with listen() as clients:
            send_listener(link, clients)
        reply(link)
        links.append(link)

    links: list[socket.socket] = []
    thread = threading.Thread(target=act_as_predecessor)
    thread.start()
    new = start()
    thread.join(LIMIT)
    assert [line for line in new.said.splitlines() if "upgrade: " in line and reason in line]
    assert "handover failed" in new.said
    assert new.stop() == 0
    links[0].close()
    listener.close()


def test_an_unresponsive_predecessor_does_not_prevent_a_start(
    backend: socket.socket, environ: dict[str, str], start: StartProcess
) -> None:
    """The old process is suspended and does not answer HELLO.

    The new one shares the port with it. Once the old one has exited, the new one receives all
    connections.
    """
    with listen() as free:
        port = free.getsockname()[1]
    fixed_port = environ | {"PROXY_LISTEN": f"127.0.0.1:{port}"}
    old = start(fixed_port)
    old.process.send_signal(signal.SIGSTOP)
    new = start(fixed_port)
    assert new.call("GET /status")[0] == SERVED
    kill(old)
    serve_one(backend, send_request(new, "after"))
    assert new.stop() == 0
