"""The second address, and clients sent away and taken back by it."""

from __future__ import annotations

import signal
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from loadbalancer.core.balancing.model import MS
from loadbalancer.proxy.lifecycle import EMPTY_BY, SETTLE, TICK, UNASKED, Service
from tests.harness import (
    Running,
    accept,
    answer,
    config,
    launch,
    listen,
    node,
    request,
    roster,
    target,
)

ADMIN = "127.0.0.1:0"


@pytest.fixture
def served(tmp_path: Path) -> Iterator[Running]:
    with node(tmp_path, roster(target("s-1", 9)), admin=ADMIN) as n:
        yield n
        assert n.stop() == 0


def test_calls_are_answered_one_to_a_connection(served: Running) -> None:
    line, headers, body = served.call("GET /status")
    assert (line, headers["connection"], body) == ("HTTP/1.1 200 OK", "close", b"active\n")
    assert served.call("GET /nothing")[0] == "HTTP/1.1 404 Not Found"
    line, headers, _ = served.call("GET /standby")
    assert (line, headers["allow"]) == ("HTTP/1.1 405 Method Not Allowed", "POST")
    assert served.call("POST /active", "Content-Length: 0\r\n")[0] == "HTTP/1.1 200 OK"


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"\x16\x03\x01 what\r\n\r\n", 400),
        (b"GET /status HTTP/1.1\r\nX: " + b"y" * 5000, 413),
        (b"POST /standby HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n" + b"z" * 5000, 413),
    ],
)
def test_a_bad_call_costs_only_itself(served: Running, sent: bytes, status: int) -> None:
    peer = served.caller()
    peer.send(sent)
    assert peer.message()[0].startswith(f"HTTP/1.1 {status} ")
    peer.close()
    assert served.call("GET /status")[2] == b"active\n"


def test_callers_that_say_nothing_or_half_a_call_hold_no_place(served: Running) -> None:
    """The oldest goes for a new one: with all places taken a call is still answered."""
    idle = [served.caller() for _ in range(30)]
    for peer in idle[::2]:
        peer.send(b"GET /sta")
    assert served.call("GET /status")[0] == "HTTP/1.1 200 OK"
    assert idle[0].ends() == b""
    assert len(idle) == 30


def test_a_caller_that_stays_silent_is_told_so_and_closed(served: Running) -> None:
    peer = served.caller()
    peer.send(b"GET /status HTTP/1.1\r\n")
    assert peer.message()[0] == "HTTP/1.1 408 Request Timeout"
    assert peer.ends() == b""


def test_a_standby_ends_each_connection_with_its_answer(tmp_path: Path) -> None:
    with (
        listen() as backend,
        node(tmp_path, roster(target("s-1", backend.getsockname()[1])), admin=ADMIN) as n,
    ):
        held, idle, silent = n.connect(), n.connect(), n.connect()
        held.send(request())
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
        line, headers, body = held.message()
        assert (line, headers["connection"], body) == ("HTTP/1.1 200 OK", "close", b"served")
        assert held.ends() == b""
        assert idle.ends() == b"" and silent.ends() == b""
        assert n.call("POST /active")[2] == b"active\n"
        assert n.ready()
        again = n.connect()
        again.send(request(rid="again"))
        peer.message()
        peer.send(answer(b"kept"))
        assert "connection" not in again.message()[1]
        assert n.stop() == 0


def test_a_standby_cuts_neither_a_long_body_nor_requests_that_wait(tmp_path: Path) -> None:
    """What was taken before the call is answered, then its connection ends."""
    long = b"z" * 1_000_000
    with (
        listen() as backend,
        node(tmp_path, roster(target("s-1", backend.getsockname()[1])), admin=ADMIN) as n,
    ):
        uploading, behind = n.connect(), n.connect()
        whole = request("/credit/1", long, rid="long")
        uploading.send(whole[:200_000])
        first = accept(backend)
        while len(first.buffer) < 100_000:
            assert first.more()
        behind.send(request(rid="p1") + request(rid="p2"))
        second = accept(backend)
        assert second.message()[1]["x-request-id"] == "p1"
        n.call("POST /standby")
        thread = threading.Thread(target=uploading.sock.sendall, args=(whole[200_000:],))
        thread.start()
        second.send(answer(b"p1"))
        assert second.message()[1]["x-request-id"] == "p2"
        second.send(answer(b"p2"))
        line, headers, body = behind.message()
        assert body == b"p1" and "connection" not in headers  # the other one is owed its answer
        line, headers, body = behind.message()
        assert (body, headers["connection"]) == (b"p2", "close")
        assert first.message()[2] == long
        thread.join()
        first.send(answer(b"done"))
        line, headers, body = uploading.message()
        assert (line, body, headers["connection"]) == ("HTTP/1.1 200 OK", b"done", "close")
        assert uploading.ends() == b"" and behind.ends() == b""
        assert n.stop() == 0


def test_a_drain_that_ends_at_once_and_begins_again_keeps_its_word(served: Running) -> None:
    assert served.call("POST /active")[0] == "HTTP/1.1 200 OK"  # without a standby
    for _ in range(3):
        served.call("POST /standby")
        served.call("POST /active")
    assert served.ready()
    idle = served.connect()
    served.call("POST /standby")
    served.process.send_signal(signal.SIGHUP)  # a reload meanwhile changes nothing of it
    assert not served.ready()
    assert idle.ends() == b""
    assert served.call("POST /active")[0] == "HTTP/1.1 200 OK"
    assert served.ready()


def test_a_stop_in_standby_ends_as_ever_and_takes_nobody_back(tmp_path: Path) -> None:
    with (
        listen() as backend,
        node(tmp_path, roster(target("s-1", backend.getsockname()[1])), admin=ADMIN) as n,
    ):
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


def test_an_admin_address_that_is_none_is_one_line_and_status_2(tmp_path: Path) -> None:
    process = launch(config(tmp_path, roster(), 1, admin="here"))
    _, err = process.communicate(timeout=20)
    assert process.returncode == 2 and "'here' is no host:port" in err


# ---- the state alone ------------------------------------------------------


def test_idle_connections_are_closed_spread_over_the_time_after_the_first_no() -> None:
    s = Service()
    s.listed = True
    assert s.to_close(0, 5) == 0 and s.asked_ready(5)
    s.begin_standby(1000 * MS)
    assert not s.asked_ready(1100 * MS) and not s.asked_ready(1200 * MS)
    assert s.to_close(1100 * MS + SETTLE - 1, 100) == 0
    left, now = 100, 1100 * MS + SETTLE
    steps = []
    while now < 1000 * MS + EMPTY_BY:
        steps.append(s.to_close(now, left))
        left -= steps[-1]
        now += TICK
    assert max(steps) <= 6 and left == 0
    assert s.to_close(now, 7) == 7  # whoever comes after that goes at once


def test_a_drain_that_no_front_asks_about_begins_by_itself_and_is_not_put_off() -> None:
    s = Service()
    s.listed = True
    s.begin_standby(1000 * MS)
    s.begin_standby(1500 * MS)
    assert s.to_close(1000 * MS + UNASKED - 1, 10) == 0
    assert s.to_close(1000 * MS + UNASKED, 10) > 0
    assert s.to_close(1000 * MS + EMPTY_BY, 10) == 10
    s.end_standby()
    assert s.asked_ready(0) and s.to_close(9000 * MS, 10) == 0
    s.stopping = True
    assert s.closes and not s.asked_ready(0)
