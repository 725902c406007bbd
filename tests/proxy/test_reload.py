"""SIGHUP takes over a replaced configuration, and nothing else changes."""

from __future__ import annotations

import json
import signal
import socket
from pathlib import Path

import pytest

from tests.harness import Running, accept, answer, listen, node, request, roster, served_by, target


def replace_config(tmp_path: Path, text: str) -> None:
    """Replace the node's configuration by this text, as one step."""
    new = tmp_path / "new.json"
    new.write_text(text)
    new.rename(tmp_path / "config.json")


def test_a_reload_moves_to_the_discovery_that_the_file_names(tmp_path: Path) -> None:
    """PROXY_DISCOVERY still names the old one; the first list of the new one is used at once."""
    with listen() as first, listen() as second, listen() as backend:
        old, new, serves = (s.getsockname()[1] for s in (first, second, backend))
        removed = target("s-1", 1)
        with node(tmp_path, roster(removed, rev=41), old) as n:
            watch = accept(first)
            assert "from=41" in watch.message()[0]
            text = json.loads((tmp_path / "config.json").read_text())
            text["discovery"] = f"127.0.0.1:{new}"
            replace_config(tmp_path, json.dumps(text))
            n.process.send_signal(signal.SIGHUP)
            poll = accept(second)
            assert poll.message()[0] == "GET /registry/instances HTTP/1.1"
            assert watch.ends() == b""  # the old one is polled no more
            body = json.dumps(roster(target("s-2", serves), rev=3)).encode()
            poll.send(answer(body))
            assert "from=3" in accept(second).message()[0]
            served_by(n, backend)
            assert n.stop() == 0


@pytest.mark.parametrize("text", ["{", "[]", '{"discovery": "nowhere"}', '{"settings": {}}'])
def test_a_reload_of_an_unusable_file_changes_nothing(
    tmp_path: Path, n: Running, backend: socket.socket, text: str
) -> None:
    """An operator replaces the file by one with a fault while a request is in flight."""
    client = n.connect()
    client.send(request())
    peer = accept(backend)
    peer.message()
    replace_config(tmp_path, text)
    n.process.send_signal(signal.SIGHUP)
    n.says("going on as before")
    peer.send(answer(b"served"))
    assert client.message()[2] == b"served"
    client.send(request())
    peer.message()
    peer.send(answer(b"again"))
    assert client.message()[2] == b"again"
    assert n.stop() == 0
