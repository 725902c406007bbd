"""A fault of the Balancer in a request's event: the Balancer forgets the request as well."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from loadbalancer import core
from loadbalancer.core import Listing, Outcome, State, Update
from loadbalancer.core.balancing.state import BalancerState
from loadbalancer.proxy.host import Node
from tests.proxy.host_fakes import BACKEND, TIMEOUT_NS, Client, Clock, admit, raise_fault

DISPATCH = "loadbalancer.core.balancing.balancer.dispatch"


@pytest.fixture
def state(host: Node) -> BalancerState:
    """The state of the host's Balancer, a real one with one endpoint."""
    host.balancer = core.Balancer(host.config.settings, 1, host)
    host.balancer.start(host.now)
    host.balancer.on_members(host.now, Update.FULL, [Listing(BACKEND, State.READY)])
    return host.balancer.state


def raise_in_the_next_dispatch(monkeypatch: pytest.MonkeyPatch) -> None:
    def dispatch(_state: BalancerState, _now: int) -> None:
        monkeypatch.setattr(DISPATCH, core.balancing.dispatch.dispatch)
        raise_fault()

    monkeypatch.setattr(DISPATCH, dispatch)


def as_it_arrives(host: Node, client: Client, monkeypatch: pytest.MonkeyPatch) -> None:
    raise_in_the_next_dispatch(monkeypatch)
    admit(host, client)


def as_its_attempt_fails(host: Node, client: Client, monkeypatch: pytest.MonkeyPatch) -> None:
    request = admit(host, client)
    raise_in_the_next_dispatch(monkeypatch)
    host.conclude(request.attempts[0], Outcome.CONNECT_FAILED)


@pytest.mark.parametrize("fault", [as_it_arrives, as_its_attempt_fails])
def test_a_fault_in_an_event_of_a_request_leaves_no_slot_in_use(
    host: Node,
    state: BalancerState,
    client: Client,
    monkeypatch: pytest.MonkeyPatch,
    fault: Callable[[Node, Client, pytest.MonkeyPatch], None],
) -> None:
    """The Balancer raises once it has queued a request, whose client gets a 502.

    The host alone forgot the request. The Balancer's next dispatch sent it: the host logged
    `send for request 1, which is not open` and did nothing, no outcome came, and the slot was in
    use from then on. After as many faults as there are slots the node served nobody.
    """
    fault(host, client, monkeypatch)
    assert client.statuses == [502]
    assert not host.requests
    host.notify_balancer(host.balancer.on_settings, host.config.settings)  # it dispatches
    assert state.in_flight == 0
    assert not state.requests


def test_an_overdue_request_whose_answer_raises_leaves_the_balancer(
    host: Node, state: BalancerState, client: Client, clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A request is overdue, and its client's connection raises as it gets its 504.

    The exception went past the report of the request's end: the Balancer kept the request.
    """
    state.max_in_flight = 0  # nothing is sent
    admit(host, client)
    assert state.requests
    monkeypatch.setattr(client, "respond_empty", lambda _status, _retry_after: raise_fault())
    monkeypatch.setattr(host.balancer.__class__, "on_timer", lambda *_args: None)
    clock.now += 2 * TIMEOUT_NS
    host._on_timers_due()
    assert not state.requests
    assert not host.requests
