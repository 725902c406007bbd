"""Bytes that a backend sends although no request on the connection has asked for them."""

from __future__ import annotations

from pathlib import Path

from tests.harness import accept, answer, listen, node, request, roster, target


def test_bytes_between_two_requests_end_the_connection_and_are_logged(tmp_path: Path) -> None:
    """A second copy of a response arrives on an idle connection.

    The log names the backend, what follows and the first bytes: they tell a second copy from
    noise, and from the response to another request.
    """
    with listen() as backend:
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known) as running:
            client = running.connect()
            client.send(request())
            peer = accept(backend)
            peer.message()
            peer.send(answer(b"served"))
            assert client.message()[2] == b"served"
            peer.send(answer(b"served"))
            assert peer.ends() == b""
            running.says(
                f"backend 127.0.0.1:{backend.getsockname()[1]} sent bytes that belong to no "
                "request, between two requests: closing the connection; they begin b'HTTP/1.1 200"
            )
