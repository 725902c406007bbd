"""Policies in the module: what is tried again, when, and at what cost at the most."""

from __future__ import annotations

from dataclasses import replace

import pytest

from loadbalancer.core import (
    Balancer,
    Effect,
    Outcome,
    Scope,
    State,
    Update,
)
from loadbalancer.core.balancing import rotation
from loadbalancer.core.balancing.model import MS, SECOND, Timer
from loadbalancer.core.routes.table import BudgetSpec, Condition
from tests.core.balancing.policy_fleet import (
    COPY,
    NEVER,
    SAFE,
    SETTINGS,
    Fleet,
)
from tests.recording_host import Host, rows

FAILS = [Outcome.ERROR, Outcome.FULL, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET]


@pytest.mark.parametrize("outcome", FAILS)
@pytest.mark.parametrize("connected", [False, True])
@pytest.mark.parametrize("listed", [*Condition, None])
def test_an_attempt_is_followed_only_where_its_end_is_listed(
    outcome: Outcome, connected: bool, listed: Condition | None
) -> None:
    names = {
        Outcome.ERROR: Condition.ERROR,
        Outcome.FULL: Condition.REFUSED,
        Outcome.TIMEOUT: Condition.TIMEOUT,
        Outcome.RESET: Condition.RESET,
        Outcome.CONNECT_FAILED: Condition.RESET_BEFORE_SENT
        if connected
        else Condition.CONNECT_FAILURE,
    }
    fleet = Fleet()
    policy = replace(SAFE, retry_on=frozenset([listed] if listed else []))
    fleet.request(0, 1, policy)
    fleet.end(5 * MS, 1, 0, outcome, connected=connected)
    again = names[outcome] == listed
    assert len(fleet.sends(1)) == 1 + again
    assert fleet.answers(1) == (not again)  # at once


@pytest.mark.parametrize("outcome", [*FAILS, Outcome.CANCELLED])
def test_a_credit_is_never_sent_again_once_it_may_have_run(outcome: Outcome) -> None:
    """Whatever a policy says: here one that no file could hold."""
    forged = replace(NEVER, retry_on=frozenset(Condition), attempts=4, hedging=COPY.hedging)
    fleet = Fleet()
    fleet.request(0, 1, forged)
    fleet.wake(60 * MS)
    assert len(fleet.sends(1)) == 1  # no second copy
    fleet.end(70 * MS, 1, 0, outcome)
    ran = outcome not in (Outcome.FULL, Outcome.CONNECT_FAILED)
    assert len(fleet.sends(1)) == (1 if ran else 2)
    assert fleet.answers(1) == ran


@pytest.mark.parametrize("attempts", [1, 2, 3])
def test_attempts_end_with_what_the_policy_grants(attempts: int) -> None:
    fleet = Fleet()
    fleet.request(0, 1, replace(SAFE, attempts=attempts))
    for number in range(attempts):
        assert len(fleet.sends(1)) == number + 1
        fleet.end((number + 1) * 5 * MS, 1, number, Outcome.ERROR)
    assert len(fleet.sends(1)) == attempts
    assert fleet.answers(1) == 1


def test_the_settings_max_attempts_bound_a_policy() -> None:
    fleet = Fleet(settings=replace(SETTINGS, max_attempts=2))
    fleet.request(0, 1, replace(SAFE, attempts=4))
    for number in range(2):
        fleet.end((number + 1) * 5 * MS, 1, number, Outcome.ERROR)
    assert len(fleet.sends(1)) == 2
    assert fleet.answers(1) == 1


def test_times_are_the_policys_within_the_remaining_time() -> None:
    fleet = Fleet()
    fleet.request(0, 1, replace(SAFE, attempt_timeout=300 * MS))
    assert fleet.sends(1)[0][3] == 300 * MS
    fleet.request(0, 2, replace(SAFE, timeout=200 * MS, attempt_timeout=300 * MS))
    assert fleet.sends(2)[0][3] == 200 * MS
    fleet.request(0, 3, replace(SAFE, attempt_timeout=300 * MS), remaining=100 * MS)
    assert fleet.sends(3)[0][3] == 100 * MS


def test_attempts_end_early_only_where_time_outs_are_tried_again() -> None:
    """Ended early with no further attempt to come, a request would only be lost."""
    fleet = Fleet()
    fleet.balancer.classes[0].latency = 10.0 * MS  # a wait of five such, but for the aim's part
    patient, impatient = SAFE, replace(SAFE, retry_on=frozenset([Condition.REFUSED]), wanted=SECOND)
    fleet.request(0, 1, replace(patient, wanted=SECOND))
    fleet.request(0, 2, impatient)
    assert fleet.sends(1)[0][3] < fleet.sends(2)[0][3]


def test_a_route_stricter_than_its_class_holds() -> None:
    fleet = Fleet()
    never = replace(SAFE, effect=Effect.SIDE_EFFECT, hedging=COPY.hedging)
    fleet.request(0, 1, never)
    fleet.wake(60 * MS)
    fleet.end(70 * MS, 1, 0, Outcome.RESET)
    assert len(fleet.sends(1)) == 1
    assert fleet.host.named("fail") == [("fail", 1)]  # it may have run: no refusal


@pytest.mark.parametrize(("duration", "sends"), [(5 * MS, 2), (40 * MS, 1)])
def test_a_keyed_route_is_repeated_within_its_own_window_and_zone(
    duration: int, sends: int
) -> None:
    settings = replace(SETTINGS, zones=2)
    fleet = Fleet(0, settings=settings)
    fleet.balancer.on_members(0, Update.FULL, [*rows(2, zone=0), *rows(6, zone=1, first=200)])
    keyed = replace(SAFE, effect=Effect.TOKEN, scope=Scope.ZONE, window=30 * MS)
    fleet.request(0, 1, keyed)
    fleet.end(duration, 1, 0, Outcome.RESET, duration)
    assert len(fleet.sends(1)) == sends
    assert len({send[2] // 100 for send in fleet.sends(1)}) == 1


def test_a_back_off_holds_the_next_attempt_and_nothing_else() -> None:
    fleet = Fleet()
    policy = replace(SAFE, backoff_base=40 * MS, max_backoff=80 * MS)
    fleet.request(0, 1, policy)
    fleet.end(5 * MS, 1, 0, Outcome.ERROR)
    assert len(fleet.sends(1)) == 1
    assert not fleet.answers(1)
    due = [c for c in fleet.host.named("timer") if c[1] == Timer.WAKE][-1][2]
    assert isinstance(due, int)
    assert 5 * MS < due <= 45 * MS
    fleet.request(6 * MS, 2, policy)
    assert len(fleet.sends(2)) == 1
    fleet.wake(due)
    assert len(fleet.sends(1)) == 2


def test_a_back_off_that_does_not_fit_is_answered_at_once() -> None:
    fleet = Fleet()
    policy = replace(SAFE, backoff_base=5 * SECOND, max_backoff=5 * SECOND)
    fleet.request(0, 1, policy)
    fleet.end(5 * MS, 1, 0, Outcome.ERROR)
    assert fleet.answers(1) == 1


def test_a_client_that_leaves_during_a_back_off_is_forgotten() -> None:
    fleet = Fleet()
    fleet.request(0, 1, replace(SAFE, backoff_base=40 * MS, max_backoff=40 * MS))
    fleet.end(5 * MS, 1, 0, Outcome.ERROR)
    fleet.balancer.on_client_disconnected(6 * MS, 1)
    fleet.wake(100 * MS)
    assert len(fleet.sends(1)) == 1
    assert not fleet.balancer.state.requests
    assert fleet.policies.node_budget.active == 0


def test_back_offs_are_spread_over_all_of_their_time() -> None:
    """Full jitter: retries of what failed together do not come together."""
    fleet = Fleet()
    policy = replace(SAFE, backoff_base=40 * MS, max_backoff=40 * MS)
    dues = []
    for rid in range(1, 60):
        fleet.request(0, rid, policy)
        if fleet.sends(rid):
            fleet.end(0, rid, 0, Outcome.ERROR)
            dues.append(fleet.balancer.state.requests[rid].policy_state.due)  # type: ignore[union-attr]
        for b in fleet.balancer.endpoints.values():
            b.backoff_until = 0
            rotation.update(fleet.balancer.state, b)
    assert len(dues) > 40
    assert min(dues) < 8 * MS
    assert max(dues) > 32 * MS


def test_a_request_keeps_the_policy_it_came_with() -> None:
    fleet = Fleet()
    policy = replace(SAFE, attempts=2, backoff_base=40 * MS, max_backoff=40 * MS)
    fleet.request(0, 1, policy)
    fleet.end(5 * MS, 1, 0, Outcome.ERROR)
    fleet.policies.replace(BudgetSpec(0.1, 1.0), set())  # its route has gone
    fleet.wake(60 * MS)
    assert len(fleet.sends(1)) == 2
    fleet.end(70 * MS, 1, 1, Outcome.OK)
    assert fleet.policies.node_budget.active == 0


def test_without_a_policy_nothing_changes() -> None:
    fleet = Fleet()
    plain = Host()
    other = Balancer(SETTINGS, 1, plain)
    other.start(0)
    other.on_members(0, Update.CACHED, rows(4))
    for balancer in (fleet.balancer, other):
        for rid in range(1, 50):
            balancer.on_request(rid * MS, rid, rid % 2, 2000 * MS)
            if rid % 3 == 0:
                balancer.on_outcome(rid * MS, rid, 0, FAILS[rid % 5], MS, False)
    assert fleet.host.calls == plain.calls
    assert State.READY in {b.state for b in other.endpoints.values()}
