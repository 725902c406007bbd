"""How a host ends attempts: what it reports of them, above all whether they may have run."""

from __future__ import annotations

from collections.abc import Callable
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
    TIMEOUT_NS,
    Balancer,
    Client,
    Clock,
    Upstream,
    admit,
)


def by_cancel(host: Node, request: Request, _clock: Clock) -> None:
    host.enter()
    host.cancel(request.id, 0)
    host.leave()


def by_timeout(host: Node, _request: Request, clock: Clock) -> None:
    clock.now += TIMEOUT_NS
    host._on_timers_due()


def by_backend_that_accepts_no_more(host: Node, request: Request, _clock: Clock) -> None:
    host.upload_timed_out(request)


def by_removed_backend(host: Node, _request: Request, _clock: Clock) -> None:
    host.enter()
    host.withdraw([BACKEND])
    host.leave()


def by_client_that_leaves_while_it_streams(host: Node, request: Request, _clock: Clock) -> None:
    request.started = True
    host.client_disconnected(request)


ENDS = [
    by_cancel,
    by_timeout,
    by_backend_that_accepts_no_more,
    by_removed_backend,
    by_client_that_leaves_while_it_streams,
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
    """The Balancer rejects an unsafe request with a 503 where none of its attempts ran.

    An attempt whose request was written, and that is given up then, may have run. Reported as
    one that did not, the client would be invited to send the request a second time.
    """
    upstream.written = written
    request = admit(host, client, attempts=1)
    end(host, request, clock)
    assert len(balancer.outcomes) == 1
    assert (balancer.outcomes[0] not in NOT_EXECUTED) == written
    assert request.attempts == [] or request.attempts[0].connection is None


@pytest.mark.parametrize("leaves", [Node.client_disconnected, Node.client_half_closed])
@pytest.mark.parametrize("written", [False, True])
def test_a_client_that_leaves_ends_only_what_was_not_written(
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
def test_a_long_body_goes_on_only_where_its_client_may_wait_for_the_answer(
    host: Node,
    balancer: Balancer,
    client: Client,
    leaves: Callable[[Node, Request], None],
    outcomes: list[Outcome],
) -> None:
    """All of it has been read, and its end waits in this process to be written.

    Where its client is gone that end is discarded: the attempt can never be completed.
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
def test_an_attempt_that_times_out_unwritten_counts_against_its_backend_after_a_while(
    host: Node, balancer: Balancer, client: Client, clock: Clock, waited_ns: int, outcome: Outcome
) -> None:
    """A machine that has vanished answers no connect, and attempts may time out before that."""
    request = admit(host, client, attempts=1)
    clock.now += waited_ns
    host.upload_timed_out(request)
    assert balancer.outcomes == [outcome]


def test_the_first_outcome_of_an_attempt_counts(
    host: Node, balancer: Balancer, client: Client
) -> None:
    request = admit(host, client, attempts=1)
    attempt = request.attempts[0]
    host.conclude(attempt, Outcome.RESET)
    host.conclude(attempt, Outcome.OK)
    host.give_up(attempt, Outcome.TIMEOUT)
    assert balancer.outcomes == [Outcome.RESET]
