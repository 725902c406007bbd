"""The second address at a real node, and the drains that its calls begin and end."""

from __future__ import annotations

import asyncio
import logging
import signal
import socket
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest
import uvloop

from loadbalancer.config.address import Address
from loadbalancer.proxy.admin import OK, AdminListener, Reply, Route
from tests.harness import (
    Running,
    accept,
    answer,
    config,
    launch,
    node,
    request,
    roster,
    target,
)

ADMIN = "127.0.0.1:0"


@pytest.fixture
def n(tmp_path: Path, backend: socket.socket) -> Iterator[Running]:
    """A node with a second address and one backend; it stops with status 0."""
    known = roster(target("s-1", backend.getsockname()[1]))
    with node(tmp_path, known, admin=ADMIN) as running:
        yield running
        assert running.stop() == 0


def test_calls_are_answered_one_to_a_connection(n: Running) -> None:
    line, headers, body = n.call("GET /status")
    assert (line, headers["connection"], body) == ("HTTP/1.1 200 OK", "close", b"active\n")
    assert n.call("GET /nothing")[0] == "HTTP/1.1 404 Not Found"
    line, headers, _ = n.call("GET /standby")
    assert (line, headers["allow"]) == ("HTTP/1.1 405 Method Not Allowed", "POST")
    assert n.call("POST /active", "Content-Length: 0\r\n")[0] == "HTTP/1.1 200 OK"


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"\x16\x03\x01 what\r\n\r\n", 400),
        (b"GET /status HTTP/1.1\r\nX: " + b"y" * 5000, 413),
        (b"POST /standby HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n" + b"z" * 5000, 413),
    ],
)
def test_a_bad_call_costs_only_itself(n: Running, sent: bytes, status: int) -> None:
    peer = n.caller()
    peer.send(sent)
    assert peer.message()[0].startswith(f"HTTP/1.1 {status} ")
    peer.close()
    assert n.call("GET /status")[2] == b"active\n"


def test_callers_that_send_nothing_or_half_a_call_hold_no_place(n: Running) -> None:
    """The oldest goes for a new one: with all places taken a call is still answered."""
    idle = [n.caller() for _ in range(30)]
    for peer in idle[::2]:
        peer.send(b"GET /sta")
    assert n.call("GET /status")[0] == "HTTP/1.1 200 OK"
    assert idle[0].ends() == b""
    assert len(idle) == 30


def test_a_caller_whose_call_does_not_come_gets_a_408_and_is_closed(n: Running) -> None:
    peer = n.caller()
    peer.send(b"GET /status HTTP/1.1\r\n")
    assert peer.message()[0] == "HTTP/1.1 408 Request Timeout"
    assert peer.ends() == b""


def test_a_standby_ends_each_connection_with_its_answer(n: Running, backend: socket.socket) -> None:
    in_flight, idle, silent = n.connect(), n.connect(), n.connect()
    in_flight.send(request())
    peer = accept(backend)
    peer.message()
    idle.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    assert idle.message()[0] == "HTTP/1.1 200 OK"
    assert n.call("POST /standby")[0] == "HTTP/1.1 200 OK"
    assert n.call("POST /standby")[0] == "HTTP/1.1 200 OK"
    assert n.call("GET /status")[2] == b"standby\n"
    assert not n.ready()
    late = n.connect()  # the front deals out some more until it has heard
    late.send(request(rid="late"))
    second = accept(backend)
    second.message()
    second.send(answer(b"late"))
    line, headers, body = late.message()
    assert (body, headers["connection"]) == (b"late", "close")
    # A request under way is not cut: its answer comes, and ends its connection.
    peer.send(answer(b"served"))
    line, headers, body = in_flight.message()
    assert (line, headers["connection"], body) == ("HTTP/1.1 200 OK", "close", b"served")
    assert in_flight.ends() == b""
    assert idle.ends() == b""
    assert silent.ends() == b""
    assert n.call("POST /active")[2] == b"active\n"
    assert n.ready()
    again = n.connect()
    again.send(request(rid="again"))
    peer.message()
    peer.send(answer(b"kept"))
    assert "connection" not in again.message()[1]


def test_a_standby_cuts_neither_a_long_body_nor_requests_that_wait(
    n: Running, backend: socket.socket
) -> None:
    """What was taken before the call is answered, then its connection ends."""
    long = b"z" * 1_000_000
    uploading, behind = n.connect(), n.connect()
    upload = request("/credit/1", long, rid="long")
    uploading.send(upload[:200_000])
    first = accept(backend)
    while len(first.buffer) < 100_000:
        assert first.more()
    behind.send(request(rid="p1") + request(rid="p2"))
    second = accept(backend)
    assert second.message()[1]["x-request-id"] == "p1"
    n.call("POST /standby")
    thread = threading.Thread(target=uploading.sock.sendall, args=(upload[200_000:],))
    thread.start()
    second.send(answer(b"p1"))
    assert second.message()[1]["x-request-id"] == "p2"
    second.send(answer(b"p2"))
    line, headers, body = behind.message()
    assert body == b"p1"
    assert "connection" not in headers  # the other one is owed its answer
    line, headers, body = behind.message()
    assert (body, headers["connection"]) == (b"p2", "close")
    assert first.message()[2] == long
    thread.join()
    first.send(answer(b"done"))
    line, headers, body = uploading.message()
    assert (line, body, headers["connection"]) == ("HTTP/1.1 200 OK", b"done", "close")
    assert uploading.ends() == b""
    assert behind.ends() == b""


def test_a_drain_that_ends_at_once_and_begins_again_is_carried_out(n: Running) -> None:
    assert n.call("POST /active")[0] == "HTTP/1.1 200 OK"  # without a standby
    for _ in range(3):
        n.call("POST /standby")
        n.call("POST /active")
    assert n.ready()
    idle = n.connect()
    n.call("POST /standby")
    n.process.send_signal(signal.SIGHUP)  # a reload meanwhile changes nothing of it
    assert not n.ready()
    assert idle.ends() == b""
    assert n.call("POST /active")[0] == "HTTP/1.1 200 OK"
    assert n.ready()


def test_a_stop_in_standby_can_not_be_taken_back(n: Running, backend: socket.socket) -> None:
    client = n.connect()
    client.send(request())
    peer = accept(backend)
    peer.message()
    n.call("POST /standby")
    n.process.send_signal(signal.SIGTERM)
    n.says("stopping")
    assert n.call("POST /standby")[0] == "HTTP/1.1 200 OK"
    assert n.call("POST /active")[0] == "HTTP/1.1 409 Conflict"
    assert n.call("GET /status")[0] == "HTTP/1.1 503 Service Unavailable"
    peer.send(answer(b"served"))
    assert client.message()[2] == b"served"
    assert n.process.wait(20) == 0


# ---- the listener alone --------------------------------------------------------------


def answer_of(route: Route, half_closes: bool = False) -> bytes:
    """All that a caller gets, who begins to read only when nothing more is written."""

    async def call() -> bytes:
        admin = AdminListener(asyncio.get_running_loop(), {"/call": route})
        port = admin.listen(Address("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
        writer.write(b"GET /call HTTP/1.1\r\nHost: x\r\n\r\n")
        if half_closes:
            writer.write_eof()
        await asyncio.sleep(0.2)
        received = await reader.read()
        writer.close()
        return received

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(call())


@pytest.mark.parametrize("half_closes", [False, True])
def test_an_answer_longer_than_the_sockets_buffer_comes_whole(half_closes: bool) -> None:
    """What a node of a large fleet says of the others is some hundred thousand bytes.

    It was written once, and what the socket's buffer did not take was lost: the caller got a
    part of the JSON, and the end.
    """
    text = "n" * (16 << 20)
    head, _, content = answer_of(
        Route("GET", lambda: Reply(OK, text)), half_closes=half_closes
    ).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 OK\r\n")
    assert content == text.encode() + b"\n"


def test_a_fault_in_answering_a_call_is_not_the_callers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What answers a call raises, as where a drain fails to begin.

    The caller was told 400, as if it had sent no HTTP, and the log said nothing.
    """
    logged: list[str] = []
    logger = logging.getLogger("loadbalancer.proxy.admin")
    monkeypatch.setattr(logger, "handle", lambda r: logged.append(f"{r.getMessage()} {r.exc_info}"))

    def fail() -> Reply:
        raise ZeroDivisionError("odd")

    assert answer_of(Route("GET", fail)).startswith(b"HTTP/1.1 500 Internal Server Error\r\n")
    assert len(logged) == 1
    assert "/call" in logged[0]
    assert "odd" in logged[0]


def test_an_admin_address_that_is_none_is_one_line_and_status_2(tmp_path: Path) -> None:
    process = launch(config(tmp_path, roster(), 1, admin="here"))
    _, err = process.communicate(timeout=20)
    assert process.returncode == 2
    assert "'here' is no host:port" in err
