"""One of the two processes ends or hangs at some point of the handover: the other serves on."""

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
def test_the_predecessor_serves_again_when_its_successor_ends(
    backend: socket.socket, start: StartProcess, number: signal.Signals
) -> None:
    """A new version crashes, or is rolled back, after it has begun to serve.

    The old process accepts again, keeps its connections open again, and can hand over to a
    third one.
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


def test_a_successor_that_ends_before_it_serves_changes_nothing(
    backend: socket.socket, start: StartProcess, upgrade_socket: Path
) -> None:
    """A new version finds its configuration faulty once it has the listening socket."""
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
    """The listening socket has been handed over, and the old process gets SIGTERM too early.

    Between the end of the one and the first accept of the other, connections wait in the
    socket's queue.
    """
    old = start()
    with call_upgrade_socket(upgrade_socket) as caller, take_listener(caller) as listener:
        assert old.stop() == 0
        client = send_request(old, "between")
        listener.settimeout(LIMIT)
        assert Peer(listener.accept()[0]).message()[1]["x-request-id"] == "between"
        client.close()


def test_the_successor_is_the_whole_node_when_its_predecessor_is_killed(
    backend: socket.socket, start: StartProcess
) -> None:
    """The old process is killed while it drains, with a slot of the backend in use.

    Its client's connection breaks. The new process uses every slot, none stays reserved.
    """
    old = start()
    client = send_request(old, "open")
    open_at_backend = receive_request(backend)
    new = start()
    wait_until_draining(old)
    kill(old)
    assert client.ends() == b""
    assert open_at_backend.ends() == b""
    new.says("the predecessor has exited")
    clients = [send_request(new, f"c{i}") for i in range(3)]
    peers = [receive_request(backend) for _ in clients]
    for peer in peers:
        peer.send(answer(b"served"))
    assert [client.message()[2] for client in clients] == [b"served"] * 3
    assert new.stop() == 0


def give_nothing(_link: socket.socket) -> None:
    """Stay silent."""


def give_the_end(link: socket.socket) -> None:
    link.close()


def give_no_state(link: socket.socket) -> None:
    link.sendall(encode_frame({"state": {"rev": 41}}))


def give_no_message(link: socket.socket) -> None:
    link.sendall(b"\0\0\0\2[]")


@pytest.mark.parametrize(
    ("give", "reason"),
    [
        (give_nothing, "no state received in 0.8 s"),
        (give_the_end, "the predecessor has closed the connection"),
        (give_no_state, "malformed state: 'members'"),
        (give_no_message, "frame is not a JSON object"),
    ],
)
def test_a_new_process_says_why_nothing_was_handed_over(
    start: StartProcess, upgrade_socket: Path, give: Callable[[socket.socket], None], reason: str
) -> None:
    """The old process gives its listening socket, and then no state that can be used.

    The new one starts alone, without what the old one had learned. Its log said nothing of
    that: who upgrades took it for a handover.
    """
    listener = UpgradeSocket(str(upgrade_socket)).listen()
    listener.settimeout(LIMIT)

    def be_the_predecessor() -> None:
        link, _ = listener.accept()
        link.settimeout(LIMIT)
        assert link.recv(len(HELLO)) == HELLO
        with listen() as clients:
            send_listener(link, clients)
        give(link)
        links.append(link)

    links: list[socket.socket] = []
    thread = threading.Thread(target=be_the_predecessor)
    thread.start()
    new = start()
    thread.join(LIMIT)
    assert [line for line in new.said.splitlines() if "upgrade: " in line and reason in line]
    assert "handover failed" in new.said
    assert new.stop() == 0
    links[0].close()
    listener.close()


def test_an_unresponsive_predecessor_does_not_stop_a_start(
    backend: socket.socket, environ: dict[str, str], start: StartProcess
) -> None:
    """The old process is suspended: it accepts no caller and answers no HELLO.

    The new one shares the port with it. Once the old one has ended all connections come to
    the new one.
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
