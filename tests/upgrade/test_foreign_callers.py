"""Foreign files at the upgrade socket's path and foreign callers do not disturb a node."""

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
def test_foreign_callers_do_not_disturb_clients_or_a_later_successor(
    backend: socket.socket, start: StartProcess, upgrade_socket: Path, data: bytes
) -> None:
    """The maximum number of callers send nothing, or something other than this version's HELLO.

    Callers that sent data are closed. Clients are served meanwhile, and a later successor
    takes over.
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


INVALID_FRAMES = [
    b"\xff\xff\xff\xff",  # length above the limit
    b"\0\0\0\2[]",  # not an object
    b"\0\0\0\1{",  # invalid JSON
    b'\0\0\0\12{"news":1}',  # not a list of endpoints
]


def test_a_node_serves_on_after_malformed_messages(
    backend: socket.socket, start: StartProcess, upgrade_socket: Path
) -> None:
    """Several successors in turn send HELLO and then an invalid frame."""
    old = start()
    for frame in INVALID_FRAMES:
        with call_upgrade_socket(upgrade_socket) as caller:
            caller.sendall(HELLO + frame)
            until(lambda caller=caller: sends_nothing_more(caller))
    assert "connection" not in serve_one(backend, send_request(old, "after"))
    assert old.stop() == 0


def sends_nothing_more(caller: socket.socket) -> bool:
    """Whether the link is closed or sends no more data, as after an invalid endpoint list."""
    caller.settimeout(1.0)
    try:
        return not caller.recv(1 << 20)
    except (TimeoutError, ConnectionError):
        return True


def create_file(path: Path) -> None:
    path.write_text("of another program")


def create_folder(path: Path) -> None:
    path.mkdir()


def create_stale_socket(path: Path) -> None:
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as stale:
        stale.bind(str(path))


@pytest.mark.parametrize("create", [create_file, create_folder, create_stale_socket])
def test_an_existing_file_at_the_path_does_not_prevent_a_start(
    backend: socket.socket,
    start: StartProcess,
    upgrade_socket: Path,
    create: Callable[[Path], None],
) -> None:
    create(upgrade_socket)
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
