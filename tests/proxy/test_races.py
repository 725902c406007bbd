"""What comes between two lines: a client that goes, a server that leaves, an end that crosses.

The peers force each order: a full accept queue holds a connection back until it is emptied.
"""

from __future__ import annotations

import contextlib
import json
import select
import signal
import socket
import subprocess
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.harness import (
    LIMIT,
    LONG_MS,
    SETTINGS,
    Peer,
    Running,
    accept,
    answer,
    listen,
    node,
    patient_classes,
    request,
    roster,
    target,
    until,
)
from tests.proxy.test_reload import replace_config

SLOTS = 4  # that one backend has at the start, by the level to begin with


class Shut:
    """A backend whose connections don't come up: its accept queue is full until `open`."""

    def __init__(self) -> None:
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(0)
        self.sock.settimeout(LIMIT)
        self.port = int(self.sock.getsockname()[1])
        self._fill: list[socket.socket] = []
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self._fill.append(filler)

    def open(self) -> Peer:
        """Empty the queue; returns the first connection that comes up then."""
        ports = {f.getsockname()[1] for f in self._fill}
        while True:
            sock, (_, port) = self.sock.accept()
            if port not in ports:
                return Peer(sock)
            sock.close()

    def dialled(self) -> bool:
        """Whether somebody else waits for a connection, as the kernel tells."""
        ports = {f.getsockname()[1] for f in self._fill}
        there = f":{self.port:04X}"
        rows = (line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:])
        waits = {int(r[1][-4:], 16) for r in rows if r[2].endswith(there) and r[3] == "02"}
        return bool(waits - ports)

    def close(self) -> None:
        for sock in (*self._fill, self.sock):
            sock.close()


@contextlib.contextmanager
def shut() -> Iterator[Shut]:
    backend = Shut()
    try:
        yield backend
    finally:
        backend.close()


SOON_S = 4.0  # far under what is waited for anything that has long


def patient(**over: Any) -> dict[str, Any]:
    """Settings under which a dial may take long, and a request may wait long for a slot."""
    limits = SETTINGS["limits"] | {"dial_timeout": LONG_MS * 1_000_000}
    return {"limits": limits, "classes": patient_classes()} | over


def ends_sending(client: Peer) -> None:
    client.sock.shutdown(socket.SHUT_WR)


def fill_slots(n: Running, backend: socket.socket) -> list[tuple[Peer, Peer]]:
    """So many requests out that the next one waits: their clients and their connections."""
    out = []
    for i in range(SLOTS):
        client = n.connect()
        client.send(request(rid=f"out-{i}", timeout=LONG_MS))
        peer = accept(backend)
        assert peer.message()[1]["x-request-id"] == f"out-{i}"
        out.append((client, peer))
    return out


@pytest.mark.parametrize("size", [0, 10, 300_000])
def test_what_waits_for_a_client_that_has_ended_is_refused_at_once_and_never_sent(
    tmp_path: Path, size: int
) -> None:
    """A client sends a request and ends its sending while every slot is in use.

    It may have gone, so its request is refused at once and leaves the queue: the slot that
    comes free next is another client's. The same where its body is too long to be buffered.

    The later request may take LONG_MS as well: the node may read it before the answer that
    frees the slot, and with less time than its class's expected latency it would be
    refused instead of queued.
    """
    with listen() as backend:
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known, settings=patient()) as n:
            out = fill_slots(n, backend)
            waits = n.connect()
            path, body = ("/credit/7f3a", b"x" * size) if size else ("/balance/7f3a", None)
            waits.sock.settimeout(SOON_S)  # it may wait for a slot for some ten seconds
            waits.send(request(path, body, rid="gone", timeout=LONG_MS))
            ends_sending(waits)
            assert waits.message()[0] == "HTTP/1.1 503 Service Unavailable"
            later = n.connect()
            later.send(request(rid="later", timeout=LONG_MS))
            client, peer = out[0]
            peer.send(answer(b"served"))
            assert client.message()[2] == b"served"
            assert peer.message()[1]["x-request-id"] == "later"
            peer.send(answer(b"served"))
            assert later.message()[2] == b"served"
            # No byte of the other request, on these connections or on a further one.
            assert not select.select([backend, *(p.sock for _, p in out)], (), (), 0)[0]
            assert not any(p.buffer for _, p in out)


@pytest.mark.parametrize("ends", ["half", "close", "reset"])
def test_no_further_attempt_begins_for_a_client_that_has_gone(tmp_path: Path, ends: str) -> None:
    with listen() as backend:
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known, settings=patient()) as n:
            client = n.connect()
            client.send(request(rid="first", timeout=LONG_MS))
            peer = accept(backend)
            peer.message()
            {"half": lambda: ends_sending(client), "close": client.close, "reset": client.reset}[
                ends
            ]()
            peer.send(answer(b"", "500 Oops"))
            if ends == "half":
                assert client.message()[0] == "HTTP/1.1 503 Service Unavailable"
            other = n.connect()
            other.send(request(rid="other", timeout=LONG_MS))
            assert peer.message()[1]["x-request-id"] == "other"


def test_a_client_that_ended_its_sending_gets_the_answer_that_was_under_way(
    tmp_path: Path,
) -> None:
    with listen() as backend, node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as n:
        client = n.connect()
        client.send(request("/credit/1", b"once", rid="a") + request(rid="behind"))
        peer = accept(backend)
        peer.message()
        ends_sending(client)
        peer.send(answer(b"served"))
        assert client.message()[2] == b"served"
        assert client.ends() == b""  # what waited behind it is dropped
        assert n.stop() == 0


@pytest.mark.parametrize("path", ["/balance/1", "/credit/1"])
def test_a_dial_for_a_client_that_has_gone_is_called_off(tmp_path: Path, path: str) -> None:
    with shut() as backend:
        known = roster(target("s-1", backend.port))
        with node(tmp_path, known, settings=patient()) as n:
            client = n.connect()
            client.sock.settimeout(SOON_S)  # the dial may take far longer
            body = b"x" if "credit" in path else None
            client.send(request(path, body, rid="gone", timeout=LONG_MS))
            ends_sending(client)
            assert client.message()[0] == "HTTP/1.1 503 Service Unavailable"
            later = n.connect()
            # The kernel sends a SYN that found the queue full again after a second, then two.
            later.send(request(rid="later", timeout=LONG_MS))
            assert backend.open().message()[1]["x-request-id"] == "later"


def test_what_waits_for_a_connection_to_a_server_that_leaves_goes_elsewhere(
    tmp_path: Path,
) -> None:
    """The list comes while the connection does not: nothing may be written on it later."""
    with shut() as first, listen() as second, listen() as discovery:
        rows = [target("s-1", first.port), target("s-2", second.getsockname()[1])]
        port = discovery.getsockname()[1]
        with node(tmp_path, roster(rows[0], rev=7), port, settings=patient()) as n:
            ask = accept(discovery)
            ask.message()
            client = n.connect()
            client.send(request("/credit/1", b"once", rid="waits", timeout=LONG_MS))
            probe = n.connect()  # answered once the request before it has been read
            probe.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            probe.message()
            change = roster(rows[0] | {"state": "leaving"}, rows[1], rev=8, whole=False)
            ask.send(answer(json.dumps(change).encode()))
            peer = accept(second)
            assert peer.message()[1]["x-request-id"] == "waits"
            peer.send(answer(b"served"))
            assert client.message()[2] == b"served"


def test_a_keyed_repeat_whose_connection_comes_up_after_its_window_is_not_sent(
    tmp_path: Path,
) -> None:
    keyed = dict(SETTINGS["classes"][0]) | {
        "name": "keyed", "effect": "token", "dedup_scope": "zone", "repeat_window": 500_000_000,
        "deadline": LONG_MS * 1_000_000, "target": LONG_MS * 1_000_000,
    }  # fmt: skip
    with listen() as first, shut() as second:
        known = roster(target("s-1", first.getsockname()[1]))
        with listen() as discovery:
            port = discovery.getsockname()[1]
            over = patient(classes=[*SETTINGS["classes"], keyed])
            with node(tmp_path, known, port, settings=over) as n:
                ask = accept(discovery)
                ask.message()
                client = n.connect()
                key = {"Idempotency-Key": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"}
                client.send(request("/keyed/1", b"x", timeout=LONG_MS, rid="once", **key))
                peer = accept(first)
                peer.message()
                both = roster(target("s-1", 1), target("s-2", second.port), rev=8)
                ask.send(answer(json.dumps(both).encode()))
                watch = accept(discovery)  # the list is in hand
                watch.message()
                sent = time.monotonic()
                peer.reset()  # it may have run; its repeat dials the other one
                until(lambda: second.dialled())
                until(lambda: time.monotonic() > sent + 0.5)  # from here on its window is over
                up = second.open()
                line, _, _ = client.message()
                assert line == "HTTP/1.1 502 Bad Gateway"
                assert up.ends() == b""


def test_a_request_that_crosses_the_end_of_a_resting_connection_is_dropped_without_a_reset(
    tmp_path: Path,
) -> None:
    with listen() as backend, node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as n:
        resting = n.connect()
        resting.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        resting.message()
        n.process.send_signal(signal.SIGTERM)
        assert resting.sock.recv(1) == b""
        resting.send(request(rid="crossed"))
        resting.send(b"\r\n")  # after a reset this would be an error
        resting.close()
        assert n.process.wait(LIMIT) == 0
        backend.setblocking(False)
        with pytest.raises(BlockingIOError):
            backend.accept()


def refuses(n: Running) -> bool:
    """Whether its listening socket is closed."""
    try:
        n.connect().close()
    except ConnectionError:
        return True
    return False


def test_a_stop_waits_for_clients_to_take_their_last_answers(tmp_path: Path) -> None:
    """The process stays until a client has ended too: its exit would reset the connection."""
    with (
        listen() as backend,
        node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as n,
    ):
        client = n.connect()
        client.send(request(rid="last"))
        peer = accept(backend)
        peer.message()
        n.process.send_signal(signal.SIGTERM)
        until(lambda: refuses(n))  # from here on it ends as soon as nothing is held
        peer.send(answer(b"served"))
        assert client.message()[2] == b"served"
        with pytest.raises(subprocess.TimeoutExpired):
            n.process.wait(0.3)
        client.send(b"GET /more")
        client.send(b" HTTP/1.1")
        assert client.ends() == b""
        client.close()
        assert n.process.wait(LIMIT) == 0


def test_an_answer_without_a_length_that_breaks_off_does_not_look_whole(tmp_path: Path) -> None:
    """To a client that knows no chunks only a reset tells."""
    with listen() as backend, node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as n:
        client = n.connect()
        client.send(request(rid="old").replace(b"HTTP/1.1", b"HTTP/1.0"))
        peer = accept(backend)
        peer.message()
        peer.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
        while not client.buffer:  # it is passed on once its sender turns out to be slow
            peer.send(b"part")
            client.sock.settimeout(0.02)
            with contextlib.suppress(TimeoutError):
                client.more()
        client.sock.settimeout(LIMIT)
        peer.reset()
        with pytest.raises(ConnectionResetError):
            while client.sock.recv(65536):
                pass


@pytest.mark.parametrize("path", ["/balance/1", "/credit/1"])
def test_half_a_line_on_a_resting_connection_is_nobodys_answer(tmp_path: Path, path: str) -> None:
    with (
        listen() as backend,
        node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as n,
    ):
        body = b"x" if "credit" in path else None
        client = n.connect()
        client.send(request(path, body, rid="first"))
        resting = accept(backend)
        resting.message()
        resting.send(answer(b"served"))
        assert client.message()[2] == b"served"
        resting.send(b"HTTP/1.1 408 Requ")
        client.send(request(path, body, rid="second"))
        peer = accept(backend)
        assert peer.message()[1]["x-request-id"] == "second"
        peer.send(answer(b"once"))
        assert client.message()[2] == b"once"
        assert resting.ends() == b""  # and nothing was written to the one with half a line


def test_signals_during_a_stop_change_nothing_for_what_is_held(tmp_path: Path) -> None:
    with (
        listen() as backend,
        listen() as moved,
        node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as n,
    ):
        client = n.connect()
        client.send(request("/credit/1", b"once", rid="held"))
        peer = accept(backend)
        peer.message()
        n.process.send_signal(signal.SIGTERM)
        n.says("stopping")
        raw = json.loads((tmp_path / "config.json").read_text())
        raw["discovery"] = f"127.0.0.1:{moved.getsockname()[1]}"
        replace_config(tmp_path, json.dumps(raw))
        n.process.send_signal(signal.SIGHUP)
        n.says("reloaded")
        n.process.send_signal(signal.SIGTERM)
        peer.send(answer(b"served"))
        assert client.message()[2] == b"served"
        client.close()
        assert n.process.wait(LIMIT) == 0
