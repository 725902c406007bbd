"""The admin address of a node process, and the drains that its requests begin and end."""

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
def proxy(tmp_path: Path, backend: socket.socket) -> Iterator[Running]:
    """A node with an admin address and one backend; it has to stop with status 0."""
    known = roster(target("s-1", backend.getsockname()[1]))
    with node(tmp_path, known, admin=ADMIN) as running:
        yield running
        assert running.stop() == 0


def test_each_connection_serves_one_request(proxy: Running) -> None:
    line, headers, body = proxy.call("GET /status")
    assert (line, headers["connection"], body) == ("HTTP/1.1 200 OK", "close", b"active\n")
    assert proxy.call("GET /nothing")[0] == "HTTP/1.1 404 Not Found"
    line, headers, _ = proxy.call("GET /standby")
    assert (line, headers["allow"]) == ("HTTP/1.1 405 Method Not Allowed", "POST")
    assert proxy.call("POST /active", "Content-Length: 0\r\n")[0] == "HTTP/1.1 200 OK"


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"\x16\x03\x01 what\r\n\r\n", 400),
        (b"GET /status HTTP/1.1\r\nX: " + b"y" * 5000, 413),
        (b"POST /standby HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n" + b"z" * 5000, 413),
    ],
)
def test_a_malformed_request_is_rejected_and_the_next_one_served(
    proxy: Running, sent: bytes, status: int
) -> None:
    peer = proxy.caller()
    peer.send(sent)
    assert peer.message()[0].startswith(f"HTTP/1.1 {status} ")
    peer.close()
    assert proxy.call("GET /status")[2] == b"active\n"


def test_connections_without_a_complete_request_lock_nobody_out(proxy: Running) -> None:
    """With the maximum of connections open, the oldest is closed for a new one."""
    idle = [proxy.caller() for _ in range(30)]
    for peer in idle[::2]:
        peer.send(b"GET /sta")
    assert proxy.call("GET /status")[0] == "HTTP/1.1 200 OK"
    assert idle[0].ends() == b""
    assert len(idle) == 30


def test_an_incomplete_request_times_out_with_408_and_a_close(proxy: Running) -> None:
    peer = proxy.caller()
    peer.send(b"GET /status HTTP/1.1\r\n")
    assert peer.message()[0] == "HTTP/1.1 408 Request Timeout"
    assert peer.ends() == b""


def test_standby_closes_each_connection_after_its_response(
    proxy: Running, backend: socket.socket
) -> None:
    in_flight, idle, silent = proxy.connect(), proxy.connect(), proxy.connect()
    in_flight.send(request())
    peer = accept(backend)
    peer.message()
    idle.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    assert idle.message()[0] == "HTTP/1.1 200 OK"
    assert proxy.call("POST /standby")[0] == "HTTP/1.1 200 OK"
    assert proxy.call("POST /standby")[0] == "HTTP/1.1 200 OK"
    assert proxy.call("GET /status")[2] == b"standby\n"
    assert not proxy.ready()
    late = proxy.connect()  # new connections still arrive until the drain is noticed
    late.send(request(rid="late"))
    second = accept(backend)
    second.message()
    second.send(answer(b"late"))
    line, headers, body = late.message()
    assert (body, headers["connection"]) == (b"late", "close")
    # A request in flight is answered, and its connection closes after the response.
    peer.send(answer(b"served"))
    line, headers, body = in_flight.message()
    assert (line, headers["connection"], body) == ("HTTP/1.1 200 OK", "close", b"served")
    assert in_flight.ends() == b""
    assert idle.ends() == b""
    assert silent.ends() == b""
    assert proxy.call("POST /active")[2] == b"active\n"
    assert proxy.ready()
    again = proxy.connect()
    again.send(request(rid="again"))
    peer.message()
    peer.send(answer(b"kept"))
    assert "connection" not in again.message()[1]


def test_standby_answers_an_upload_in_progress_and_pipelined_requests(
    proxy: Running, backend: socket.socket
) -> None:
    """Requests received before the drain are answered, and then their connections close."""
    long = b"z" * 1_000_000
    uploading, behind = proxy.connect(), proxy.connect()
    upload = request("/credit/1", long, rid="long")
    uploading.send(upload[:200_000])
    first = accept(backend)
    while len(first.buffer) < 100_000:
        assert first.more()
    behind.send(request(rid="p1") + request(rid="p2"))
    second = accept(backend)
    assert second.message()[1]["x-request-id"] == "p1"
    proxy.call("POST /standby")
    thread = threading.Thread(target=uploading.sock.sendall, args=(upload[200_000:],))
    thread.start()
    second.send(answer(b"p1"))
    assert second.message()[1]["x-request-id"] == "p2"
    second.send(answer(b"p2"))
    line, headers, body = behind.message()
    assert body == b"p1"
    assert "connection" not in headers  # the second pipelined request is still open
    line, headers, body = behind.message()
    assert (body, headers["connection"]) == (b"p2", "close")
    assert first.message()[2] == long
    thread.join()
    first.send(answer(b"done"))
    line, headers, body = uploading.message()
    assert (line, body, headers["connection"]) == ("HTTP/1.1 200 OK", b"done", "close")
    assert uploading.ends() == b""
    assert behind.ends() == b""


def test_a_drain_that_is_ended_and_begun_again_closes_idle_connections(proxy: Running) -> None:
    assert proxy.call("POST /active")[0] == "HTTP/1.1 200 OK"  # without a standby
    for _ in range(3):
        proxy.call("POST /standby")
        proxy.call("POST /active")
    assert proxy.ready()
    idle = proxy.connect()
    proxy.call("POST /standby")
    proxy.process.send_signal(signal.SIGHUP)  # a reload must not end the drain
    assert not proxy.ready()
    assert idle.ends() == b""
    assert proxy.call("POST /active")[0] == "HTTP/1.1 200 OK"
    assert proxy.ready()


def test_a_stop_during_a_drain_can_not_be_reverted(proxy: Running, backend: socket.socket) -> None:
    client = proxy.connect()
    client.send(request())
    peer = accept(backend)
    peer.message()
    proxy.call("POST /standby")
    proxy.process.send_signal(signal.SIGTERM)
    proxy.says("stopping")
    assert proxy.call("POST /standby")[0] == "HTTP/1.1 200 OK"
    assert proxy.call("POST /active")[0] == "HTTP/1.1 409 Conflict"
    assert proxy.call("GET /status")[0] == "HTTP/1.1 503 Service Unavailable"
    peer.send(answer(b"served"))
    assert client.message()[2] == b"served"
    assert proxy.process.wait(20) == 0


def response_of(route: Route, half_closes: bool = False) -> bytes:
    """All that a caller receives that starts to read 0.2 s after its request.

    By then the node has filled the socket's buffers and can write no more.
    """

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
def test_a_response_longer_than_the_socket_buffer_is_complete(half_closes: bool) -> None:
    """Guards against a truncated response: a large fleet's /peers has some hundred thousand bytes.

    With a single write, the bytes that exceeded the socket's send buffer were lost, and the
    caller received a part of the JSON.
    """
    text = "n" * (16 << 20)
    head, _, content = response_of(
        Route("GET", lambda: Reply(OK, text)), half_closes=half_closes
    ).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 OK\r\n")
    assert content == text.encode() + b"\n"


def test_a_handler_that_raises_yields_a_logged_500(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against reporting a handler's exception as the caller's mistake.

    Handlers run in a callback of the HTTP parser, which took the exception for a parse error:
    the caller received a 400 and nothing was logged.
    """
    logged: list[str] = []
    logger = logging.getLogger("loadbalancer.proxy.admin")
    monkeypatch.setattr(logger, "handle", lambda r: logged.append(f"{r.getMessage()} {r.exc_info}"))

    def fail() -> Reply:
        raise ZeroDivisionError("odd")

    assert response_of(Route("GET", fail)).startswith(b"HTTP/1.1 500 Internal Server Error\r\n")
    assert len(logged) == 1
    assert "/call" in logged[0]
    assert "odd" in logged[0]


def test_an_unusable_admin_address_is_reported_in_one_line_with_status_2(tmp_path: Path) -> None:
    process = launch(config(tmp_path, roster(), 1, admin="here"))
    _, err = process.communicate(timeout=20)
    assert process.returncode == 2
    assert "'here' is no host:port" in err
