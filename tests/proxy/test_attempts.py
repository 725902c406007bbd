"""How a host ends attempts, and whether it reports that they may have been executed."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import pytest

from loadbalancer.core import Outcome
from loadbalancer.core.balancing.retries import NOT_EXECUTED
from loadbalancer.proxy.exchange import Request
from loadbalancer.proxy.flow_control import Flow
from loadbalancer.proxy.host import Node
from tests.proxy.host_fakes import (
    BACKEND,
    CONNECT_TIMEOUT_NS,
    MS,
    TIMEOUT_NS,
    Balancer,
    Client,
    Clock,
    Upstream,
    admit,
)


def by_cancel(host: Node, request: Request, _clock: Clock) -> None:
    host.begin_event()
    host.cancel(request.id, 0)
    host.end_event()


def by_timeout(host: Node, _request: Request, clock: Clock) -> None:
    clock.now += TIMEOUT_NS
    host._on_timers_due()


def by_backend_that_accepts_no_more(host: Node, request: Request, _clock: Clock) -> None:
    host.upload_timed_out(request)


def by_removed_backend(host: Node, _request: Request, _clock: Clock) -> None:
    host.begin_event()
    host.cancel_connecting([BACKEND])
    host.end_event()


def by_disconnect_during_streaming(host: Node, request: Request, _clock: Clock) -> None:
    request.started = True
    host.client_disconnected(request)


ENDS = [
    by_cancel,
    by_timeout,
    by_backend_that_accepts_no_more,
    by_removed_backend,
    by_disconnect_during_streaming,
]


@pytest.mark.parametrize("written", [False, True])
@pytest.mark.parametrize("end", ENDS)
def test_a_written_attempt_is_never_reported_as_one_that_was_not_executed(
    host: Node,
    balancer: Balancer,
    upstream: Upstream,
    client: Client,
    clock: Clock,
    end: Callable[[Node, Request, Clock], None],
    written: bool,
) -> None:
    """An attempt aborted after its request was written must count as possibly executed.

    The Balancer rejects an unsafe request with a 503 if none of its attempts was executed. If
    the attempt were reported as not executed, the client would be told that it may send the
    request again, and it could be executed twice.
    """
    upstream.written = written
    request = admit(host, client, attempts=1)
    end(host, request, clock)
    assert len(balancer.outcomes) == 1
    assert (balancer.outcomes[0] not in NOT_EXECUTED) == written
    assert request.attempts == [] or request.attempts[0].connection is None


@pytest.mark.parametrize("leaves", [Node.client_disconnected, Node.client_half_closed])
@pytest.mark.parametrize("written", [False, True])
def test_a_leaving_client_ends_only_unwritten_attempts(
    host: Node,
    balancer: Balancer,
    upstream: Upstream,
    client: Client,
    leaves: Callable[[Node, Request], None],
    written: bool,
) -> None:
    upstream.written = written
    request = admit(host, client, attempts=1)
    leaves(host, request)
    assert balancer.outcomes == ([] if written else [Outcome.MOOT])
    assert request.open_attempts == written


@pytest.mark.parametrize(
    ("leaves", "outcomes"),
    [(Node.client_disconnected, [Outcome.MOOT]), (Node.client_half_closed, [])],
)
def test_a_long_body_is_sent_on_only_if_its_client_may_still_read_the_response(
    host: Node,
    balancer: Balancer,
    client: Client,
    leaves: Callable[[Node, Request], None],
    outcomes: list[Outcome],
) -> None:
    """The body has been read completely, but its end has not been written to the backend.

    If the client has disconnected, the unwritten end is discarded and the attempt can never be
    completed, so it is aborted. A client that only half-closed may still read the response.
    """
    request = admit(host, client, attempts=1)
    flow = request.flow = Flow(host.budget, cast(Any, None))
    flow.finish()
    leaves(host, request)
    assert balancer.outcomes == outcomes


@pytest.mark.parametrize(
    ("waited_ns", "outcome"),
    [
        (CONNECT_TIMEOUT_NS // 4 - 1, Outcome.MOOT),
        (CONNECT_TIMEOUT_NS // 4, Outcome.CONNECT_FAILED),
    ],
)
def test_an_unwritten_attempt_counts_against_its_backend_after_a_minimum_wait(
    host: Node, balancer: Balancer, client: Client, clock: Clock, waited_ns: int, outcome: Outcome
) -> None:
    """A failed machine answers no connect, and attempts may time out before the connect does."""
    request = admit(host, client, attempts=1)
    clock.now += waited_ns
    host.upload_timed_out(request)
    assert balancer.outcomes == [outcome]


def test_the_first_outcome_of_an_attempt_counts(
    host: Node, balancer: Balancer, client: Client
) -> None:
    request = admit(host, client, attempts=1)
    attempt = request.attempts[0]
    host.record_outcome(attempt, Outcome.RESET)
    host.record_outcome(attempt, Outcome.OK)
    host.abort_attempt(attempt, Outcome.TIMEOUT)
    assert balancer.outcomes == [Outcome.RESET]


def test_the_time_of_a_long_body_counts_from_the_arrival_of_its_last_byte(
    host: Node, balancer: Balancer, client: Client, clock: Clock
) -> None:
    """The end of the body lay in the kernel for seconds, while the backend accepted no more.

    The client's time counted from when this process read it, so its answer came seconds late.
    """
    request = admit(host, client, attempts=1)
    flow = SimpleNamespace(complete=False, discard=lambda: None)
    request.flow = cast(Any, flow)
    received_at = clock.now
    clock.now += TIMEOUT_NS - MS
    flow.complete = True
    host.on_body_received(request, received_at)
    clock.now += MS
    host._on_timers_due()
    assert balancer.outcomes == [Outcome.CONNECT_FAILED]  # nothing had been written
    assert client.statuses == []  # the Balancer answers
