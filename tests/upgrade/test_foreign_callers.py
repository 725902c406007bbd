"""Whatever is at the upgrade socket's path, or calls there, costs the node nothing."""

from __future__ import annotations

import socket
from collections.abc import Callable
from pathlib import Path

import pytest

from tests.harness import Peer, until
from tests.upgrade.support import (
    HELLO,
    StartProcess,
    call_upgrade_socket,
    send_request,
    serve_one,
    stop_both,
    wait_until_draining,
)


@pytest.mark.parametrize("data", [b"", b"GET / HTTP/1.1\r\n\r\n", b"windrelay upgrade   99\n"])
def test_a_caller_that_is_no_successor_costs_only_itself(
    backend: socket.socket, start: StartProcess, upgrade_socket: Path, data: bytes
) -> None:
    """As many callers as are accepted say nothing, or what is no HELLO of this version.

    Those that say something are closed. Clients are served meanwhile, and a successor that
    comes later takes over.
    """
    old = start()
    callers = [call_upgrade_socket(upgrade_socket) for _ in range(4)]
    for caller in callers:
        caller.sendall(data)
    if data:
        assert Peer(callers[0]).ends() == b""
    serve_one(backend, send_request(old, "after"))
    for caller in callers:
        caller.close()
    new = start()
    assert new.port == old.port
    stop_both(old, new)


FRAMES = [
    b"\xff\xff\xff\xff",  # too long
    b"\0\0\0\2[]",  # no object
    b"\0\0\0\1{",  # no JSON
    b'\0\0\0\12{"news":1}',  # no list of endpoints
]


def test_a_malformed_message_closes_the_link_and_nothing_else(
    backend: socket.socket, start: StartProcess, upgrade_socket: Path
) -> None:
    """One successor after another sends HELLO and then what is no message."""
    old = start()
    for frame in FRAMES:
        with call_upgrade_socket(upgrade_socket) as caller:
            caller.sendall(HELLO + frame)
            until(lambda caller=caller: sends_nothing_more(caller))
    assert "connection" not in serve_one(backend, send_request(old, "after"))
    assert old.stop() == 0


def sends_nothing_more(caller: socket.socket) -> bool:
    """Whether the link is closed, or is quiet: an unusable list changes nothing."""
    caller.settimeout(1.0)
    try:
        return not caller.recv(1 << 20)
    except (TimeoutError, ConnectionError):
        return True


def a_file(path: Path) -> None:
    path.write_text("of another program")


def a_folder(path: Path) -> None:
    path.mkdir()


def a_socket_of_a_killed_process(path: Path) -> None:
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as dead:
        dead.bind(str(path))


@pytest.mark.parametrize("leave", [a_file, a_folder, a_socket_of_a_killed_process])
def test_a_leftover_at_the_path_stops_no_start(
    backend: socket.socket, start: StartProcess, upgrade_socket: Path, leave: Callable[[Path], None]
) -> None:
    leave(upgrade_socket)
    process = start()
    serve_one(backend, send_request(process, "one"))
    assert process.stop() == 0


def test_a_folder_with_a_path_too_long_for_a_socket_address(
    tmp_path: Path, environ: dict[str, str], start: StartProcess
) -> None:
    deep = tmp_path / ("d" * 120)
    deep.mkdir()
    in_deep = environ | {"TMPDIR": str(deep)}
    old, new = start(in_deep), start(in_deep)
    assert new.port == old.port
    wait_until_draining(old)
    stop_both(old, new)
