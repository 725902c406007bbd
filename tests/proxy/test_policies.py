"""Route policies in a node process: the attempts of a request, and the response to its client."""

from __future__ import annotations

import contextlib
import signal
import time
from pathlib import Path

import pytest

from tests.harness import (
    LONG_MS,
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
from tests.proxy.routed_node import (
    RETRY_ALL,
    RETRY_NOT_EXECUTED,
    exchange,
    routed_node,
    routes_text,
)

HEDGING: dict[str, object] = {
    "limits": {
        "max_attempts": 4,
        "dial_timeout": 250_000_000,
        "second_copies": True,
        "cancelling": True,
        "max_retry_after": 2_000_000_000,
    }
}

ATTEMPT_TIMEOUT_MS = 400  # of the policy that times out attempts itself
OBJECTIVE_MS = 800  # of the class, used where only it ends an attempt without a response
POLICIES = {
    "none": routes_text(),
    "one attempt": routes_text("attempts = 1", "attempts = 1"),
    "not executed": routes_text(RETRY_NOT_EXECUTED, RETRY_NOT_EXECUTED),
    "all": routes_text(f"{RETRY_ALL}\nattempts = 3", RETRY_NOT_EXECUTED),
    "all, timed": routes_text(
        f'{RETRY_ALL}\nattempts = 3\nattempt_timeout = "{ATTEMPT_TIMEOUT_MS}ms"',
        RETRY_NOT_EXECUTED,
    ),
}
MAY_HAVE_RUN = ("error", "reset", "silent")


def attempts_granted(cls: str, way: str, policy: str) -> int:
    """How many attempts of a request may reach a backend if all of them end this way."""
    if policy == "one attempt":
        return 1
    if way in MAY_HAVE_RUN:
        if cls == "credit" or policy == "not executed":
            return 1
        if policy == "none" and way == "silent":
            return 1  # it ends only at the objective, which leaves no time for a retry
    return 3 if policy == "all" and cls == "balance" else 4


def times_out(cls: str, way: str, policy: str) -> bool:
    """Whether the policy times out an attempt without a response, not the class's objective."""
    return (cls, way, policy) == ("balance", "silent", "all")


def one_timeout(cls: str, way: str, policy: str) -> dict[str, object]:
    """Settings in which only the timeout that is to end a silent attempt can expire.

    The client's timeout is LONG_MS, which is never reached. If it were close to an attempt's
    timeout, both could be due together in a process that is scheduled some milliseconds late.
    """
    classes = patient_classes()
    if way == "silent" and not times_out(cls, way, policy):
        classes = [spec | {"target": OBJECTIVE_MS * 1_000_000} for spec in classes]
    return {"classes": classes}


@pytest.mark.parametrize("policy", ["none", "one attempt", "not executed", "all"])
@pytest.mark.parametrize("way", ["error", "refused", "reset", "silent"])
@pytest.mark.parametrize("cls", ["balance", "credit"])
def test_no_attempt_beyond_the_policy_and_one_answer(
    tmp_path: Path, cls: str, way: str, policy: str
) -> None:
    """A credit that may have been executed is failed, not rejected: a retry is unsafe."""
    settings = one_timeout(cls, way, policy)
    file = POLICIES["all, timed" if times_out(cls, way, policy) else policy]
    granted = attempts_granted(cls, way, policy)
    without_service = ("502",) if cls == "credit" and way in MAY_HAVE_RUN else ("502", "503")
    with routed_node(tmp_path, file, (way,) * 8, settings) as (proxy, backend):
        line, _ = exchange(proxy, cls, timeout=LONG_MS)
        assert line.split(" ")[1] in without_service
        assert backend.received == {"r1": granted}
    with routed_node(tmp_path, file, (way,), settings) as (proxy, backend):
        line, body = exchange(proxy, cls, timeout=LONG_MS)
        status = line.split(" ")[1]
        if granted > 1:
            assert (status, body) == ("200", b"served")
            assert backend.received == {"r1": 2}
        else:
            assert status in without_service
            assert backend.received == {"r1": 1}


def test_a_credit_is_retried_only_if_its_connection_is_reset_before_its_last_byte(
    tmp_path: Path,
) -> None:
    """A backend resets its connection before it has received the last byte of an unsafe request.

    The node withholds that byte for 2 ms, and the reset has to arrive within this time. On a
    busy machine it is sometimes late, so the test tries several times.
    """
    with routed_node(tmp_path, routes_text(credit=RETRY_NOT_EXECUTED)) as (proxy, backend):
        for i in range(50):
            backend.ways = ["cut"]
            line, body = exchange(proxy, "credit", f"r{i}")
            if body == b"served":
                break
            # The reset was late, and the last byte may have arrived: failed, and not retried.
            assert line.split()[1] == "502"
            assert not backend.ways
        assert body == b"served"
        assert backend.received == {f"r{i}": 1}


def test_a_credit_is_retried_if_its_idle_connection_was_just_reset(tmp_path: Path) -> None:
    """The node writes to a connection that was reset just before; nothing was executed."""
    (tmp_path / "routes.toml").write_text(routes_text(credit=RETRY_NOT_EXECUTED))
    with listen() as backend:
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known, routes=str(tmp_path / "routes.toml")) as proxy:
            client = proxy.connect()
            client.send(request("/credit/7f3a", b"a", rid="r1"))
            peer = accept(backend)
            peer.message()
            peer.send(answer(b"served"))
            client.message()
            peer.reset()
            client.send(request("/credit/7f3a", b"b", rid="r2"))
            again = accept(backend)
            assert again.message()[1]["x-request-id"] == "r2"
            again.send(answer(b"served"))
            assert client.message()[2] == b"served"


@pytest.mark.parametrize("cls", ["balance", "credit"])
def test_the_balancers_answer_is_sent_if_the_hosts_limit_is_due_at_the_same_time(
    tmp_path: Path, cls: str
) -> None:
    """The process is stopped until an attempt and the host's limit of its request are both due.

    The status that the Balancer chooses tells the client whether it may retry.
    """
    with routed_node(tmp_path, POLICIES["one attempt"], ("silent",)) as (proxy, backend):
        client = proxy.connect()
        body = None if cls == "balance" else b"amount=5"
        client.send(request(f"/{cls}/7f3a", body, 500, "r1", X_Priority_Class=cls))
        until(lambda: backend.received["r1"] == 1)
        proxy.process.send_signal(signal.SIGSTOP)
        try:
            time.sleep(0.7)
        finally:
            proxy.process.send_signal(signal.SIGCONT)
        line, _, _ = client.message()
        client.close()
        assert line.split(" ")[1] in ("502", "503")


HEDGE = 'second_copy = { after = "40ms", most = 1.0 }\nattempts = 2'


def test_a_hedge_is_served_and_the_first_attempt_is_cancelled(tmp_path: Path) -> None:
    with routed_node(tmp_path, routes_text(HEDGE), ("silent",), HEDGING) as (proxy, backend):
        assert exchange(proxy, "balance")[1] == b"served"
        assert backend.received == {"r1": 2}
        # The node has closed the first attempt's connection, so its slot is free again.
        for i in range(5):
            assert exchange(proxy, "balance", f"n{i}")[1] == b"served"


def test_two_responses_received_together_yield_one_response(tmp_path: Path) -> None:
    (tmp_path / "routes.toml").write_text(routes_text(HEDGE))
    with listen() as first, listen() as second:
        known = roster(
            *(target(f"s-{i}", s.getsockname()[1]) for i, s in ((1, first), (2, second)))
        )
        with node(
            tmp_path, known, routes=str(tmp_path / "routes.toml"), settings=HEDGING
        ) as proxy:  # fmt: skip
            client = proxy.connect()
            client.send(request(rid="r1"))
            peers = [accept(first), accept(second)]
            for peer in peers:
                assert peer.message()[1]["x-request-id"] == "r1"
            # The node is stopped meanwhile, and finds both responses when it continues.
            proxy.process.send_signal(signal.SIGSTOP)
            for peer in peers:
                peer.send(answer(b"served"))
            proxy.process.send_signal(signal.SIGCONT)
            assert client.message()[2] == b"served"
            client.send(request(rid="r2"))
            peer = next(p for p in peers if p.more())
            peer.message()
            peer.send(answer(b"next"))
            assert client.message()[2] == b"next"
            assert not client.buffer


LONG_CONTENT = bytes(range(256)) * 1200  # too long to be buffered completely
LONG_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG_CONTENT)


@pytest.mark.parametrize("other_ends", ["answers", "resets"])
def test_the_other_attempt_does_not_affect_a_streamed_response(
    tmp_path: Path, other_ends: str
) -> None:
    """Guards against mixing two responses of a hedged request.

    Both attempts are in flight when one begins a long response, which is streamed to the client.
    Then the other one answers or its connection is reset. Its response must not become a part of
    the content, and its end must not end the request.
    """
    (tmp_path / "routes.toml").write_text(routes_text(HEDGE))
    with listen() as first, listen() as second:
        known = roster(
            *(target(f"s-{i}", s.getsockname()[1]) for i, s in ((1, first), (2, second)))
        )
        with node(tmp_path, known, routes=str(tmp_path / "routes.toml"), settings=HEDGING) as proxy:
            client = proxy.connect()
            client.send(request(rid="r1"))
            streaming, other = accept(first), accept(second)
            streaming.message()
            other.message()
            half = len(LONG_CONTENT) // 2
            streaming.send(LONG_HEAD + LONG_CONTENT[:half])
            while len(client.buffer) < half:
                assert client.more()
            with contextlib.suppress(ConnectionError):
                if other_ends == "answers":
                    other.send(answer(b"the other answer"))
                else:
                    other.reset()
            assert other_ends == "resets" or other.ends() == b""
            streaming.send(LONG_CONTENT[half:])
            assert client.message()[2] == LONG_CONTENT
            assert not client.buffer


def test_a_client_that_disconnects_during_a_hedge_causes_no_third_attempt(tmp_path: Path) -> None:
    with routed_node(tmp_path, routes_text(HEDGE), ("silent", "silent"), HEDGING) as (
        proxy,
        backend,
    ):
        client = proxy.connect()
        client.send(request(rid="r1"))
        until(lambda: backend.received["r1"] == 2)
        client.reset()
        for i in range(5):
            assert exchange(proxy, "balance", f"n{i}")[1] == b"served"
        assert backend.received["r1"] == 2
