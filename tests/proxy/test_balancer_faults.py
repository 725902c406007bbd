"""Exceptions raised by the Balancer for a request: it must forget the request as the host does."""

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
    """The state of the host's Balancer, which is a real one with one endpoint."""
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
    host.record_outcome(request.attempts[0], Outcome.CONNECT_FAILED)


@pytest.mark.parametrize("fault", [as_it_arrives, as_its_attempt_fails])
def test_a_fault_in_an_event_of_a_request_leaves_no_slot_in_use(
    host: Node,
    state: BalancerState,
    client: Client,
    monkeypatch: pytest.MonkeyPatch,
    fault: Callable[[Node, Client, pytest.MonkeyPatch], None],
) -> None:
    """The Balancer raises after it has queued a request, and the client gets a 502.

    Only the host used to forget the request. The Balancer's next dispatch then sent it, which
    the host ignored as the request was not open. No outcome was reported, so its slot stayed in
    use. After as many exceptions as there are slots, the node served no more requests.
    """
    fault(host, client, monkeypatch)
    assert client.statuses == [502]
    assert not host.requests
    host.notify_balancer(host.balancer.on_settings, host.config.settings)  # causes a dispatch
    assert state.in_flight == 0
    assert not state.requests


def test_the_balancer_forgets_an_overdue_request_whose_client_connection_raises(
    host: Node, state: BalancerState, client: Client, clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client's connection raises while an overdue request is answered with a 504.

    The exception used to prevent the host from telling the Balancer about the end of the
    request, so the Balancer retained it.
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
