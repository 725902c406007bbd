"""Policies in the module: what is tried again, when, and at what cost at the most."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any

import pytest

from loadbalancer.core import (
    Balancer,
    Effect,
    Outcome,
    RequestClass,
    Scope,
    Settings,
    State,
    Update,
)
from loadbalancer.core.balancing import rotation
from loadbalancer.core.balancing.answer_times import AnswerTimes
from loadbalancer.core.balancing.model import MS, SECOND, Timer
from loadbalancer.core.balancing.retry_budget import RetryBudget
from loadbalancer.core.balancing.route_policies import RoutePolicies
from loadbalancer.core.routes.table import NEVER_RAN, BudgetSpec, Condition, CopySpec, Policy
from tests.recording_host import Host, rows

BALANCE = RequestClass("balance", 800 * MS, 2000 * MS)
CREDIT = RequestClass("credit", 800 * MS, 3000 * MS, Effect.SIDE_EFFECT)
SETTINGS = Settings(classes=(BALANCE, CREDIT), max_attempts=4, hedging=True, can_cancel=True)
WIDE = BudgetSpec(1.0, 1000.0)
SAFE = Policy("s/balance", "balance", 0, Effect.PURE)
NEVER = Policy("s/credit", "credit", 1, Effect.SIDE_EFFECT, retry_on=NEVER_RAN)
COPY = replace(SAFE, copy=CopySpec(50 * MS, 0.0, 1.0))


class Fleet:
    """A Balancer under policies; what it sends stays out until a test ends it."""

    def __init__(
        self, count: int = 4, node: BudgetSpec = WIDE, settings: Settings = SETTINGS
    ) -> None:
        self.host = Host()
        self.balancer = Balancer(settings, 1, self.host)
        self.policies = RoutePolicies(self.balancer, 1, node, 0)
        self.balancer.set_policies(self.policies)
        self.balancer.start(0)
        self.balancer.on_members(0, Update.CACHED, rows(count))

    def request(self, now: int, rid: int, policy: Policy, remaining: int = 2000 * MS) -> None:
        self.balancer.on_request(now, rid, policy.number, remaining, policy=policy)

    def sends(self, rid: int) -> list[Any]:
        return [c for c in self.host.named("send") if c[1] == rid]

    def end(
        self,
        now: int,
        rid: int,
        attempt: int,
        outcome: Outcome,
        duration: int = 5 * MS,
        **more: Any,
    ) -> None:
        done = outcome == Outcome.OK
        self.balancer.on_outcome(now, rid, attempt, outcome, duration, done, (), **more)

    def wake(self, now: int) -> None:
        self.balancer.on_timer(now, Timer.WAKE)

    def answers(self, rid: int) -> int:
        return sum(c[0] in ("refuse", "fail") and c[1] == rid for c in self.host.calls)


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
    forged = replace(NEVER, retry_on=frozenset(Condition), attempts=4, copy=COPY.copy)
    fleet = Fleet()
    fleet.request(0, 1, forged)
    fleet.wake(60 * MS)
    assert len(fleet.sends(1)) == 1  # no second copy
    fleet.end(70 * MS, 1, 0, outcome)
    ran = outcome not in (Outcome.FULL, Outcome.CONNECT_FAILED)
    assert len(fleet.sends(1)) == (1 if ran else 2)
    assert fleet.answers(1) == ran


@pytest.mark.parametrize("most", [1, 2, 3])
def test_attempts_end_with_what_the_policy_grants(most: int) -> None:
    fleet = Fleet()
    fleet.request(0, 1, replace(SAFE, attempts=most))
    for number in range(most):
        assert len(fleet.sends(1)) == number + 1
        fleet.end((number + 1) * 5 * MS, 1, number, Outcome.ERROR)
    assert len(fleet.sends(1)) == most
    assert fleet.answers(1) == 1


def test_the_settings_most_attempts_hold_over_a_policy() -> None:
    fleet = Fleet(settings=replace(SETTINGS, max_attempts=2))
    fleet.request(0, 1, replace(SAFE, attempts=4))
    for number in range(2):
        fleet.end((number + 1) * 5 * MS, 1, number, Outcome.ERROR)
    assert len(fleet.sends(1)) == 2
    assert fleet.answers(1) == 1


def test_times_are_the_policys_within_what_is_left() -> None:
    fleet = Fleet()
    fleet.request(0, 1, replace(SAFE, attempt_timeout=300 * MS))
    assert fleet.sends(1)[0][3] == 300 * MS
    fleet.request(0, 2, replace(SAFE, timeout=200 * MS, attempt_timeout=300 * MS))
    assert fleet.sends(2)[0][3] == 200 * MS
    fleet.request(0, 3, replace(SAFE, attempt_timeout=300 * MS), remaining=100 * MS)
    assert fleet.sends(3)[0][3] == 100 * MS


def test_patience_is_kept_only_where_time_outs_are_tried_again() -> None:
    """Ended early with no further attempt to come, a request would only be lost."""
    fleet = Fleet()
    fleet.balancer.classes[0].latency = 10.0 * MS  # a wait of five such, but for the aim's part
    patient, impatient = SAFE, replace(SAFE, retry_on=frozenset([Condition.REFUSED]), wanted=SECOND)
    fleet.request(0, 1, replace(patient, wanted=SECOND))
    fleet.request(0, 2, impatient)
    assert fleet.sends(1)[0][3] < fleet.sends(2)[0][3]


def test_a_route_stricter_than_its_class_holds() -> None:
    fleet = Fleet()
    never = replace(SAFE, effect=Effect.SIDE_EFFECT, copy=COPY.copy)
    fleet.request(0, 1, never)
    fleet.wake(60 * MS)
    fleet.end(70 * MS, 1, 0, Outcome.RESET)
    assert len(fleet.sends(1)) == 1
    assert fleet.host.named("fail") == [("fail", 1)]  # it may have run: no refusal


@pytest.mark.parametrize(("taken", "sends"), [(5 * MS, 2), (40 * MS, 1)])
def test_a_keyed_route_is_repeated_within_its_own_window_and_zone(taken: int, sends: int) -> None:
    settings = replace(SETTINGS, zones=2)
    fleet = Fleet(0, settings=settings)
    fleet.balancer.on_members(0, Update.FULL, [*rows(2, zone=0), *rows(6, zone=1, first=200)])
    keyed = replace(SAFE, effect=Effect.TOKEN, scope=Scope.ZONE, window=30 * MS)
    fleet.request(0, 1, keyed)
    fleet.end(taken, 1, 0, Outcome.RESET, taken)
    assert len(fleet.sends(1)) == sends
    assert len({send[2] // 100 for send in fleet.sends(1)}) == 1


# ---- back-off ----------------------------------------------------------


def test_a_back_off_holds_the_next_attempt_and_nothing_else() -> None:
    fleet = Fleet()
    policy = replace(SAFE, backoff_base=40 * MS, backoff_most=80 * MS)
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
    policy = replace(SAFE, backoff_base=5 * SECOND, backoff_most=5 * SECOND)
    fleet.request(0, 1, policy)
    fleet.end(5 * MS, 1, 0, Outcome.ERROR)
    assert fleet.answers(1) == 1


def test_a_client_that_leaves_during_a_back_off_is_forgotten() -> None:
    fleet = Fleet()
    fleet.request(0, 1, replace(SAFE, backoff_base=40 * MS, backoff_most=40 * MS))
    fleet.end(5 * MS, 1, 0, Outcome.ERROR)
    fleet.balancer.on_client_disconnected(6 * MS, 1)
    fleet.wake(100 * MS)
    assert len(fleet.sends(1)) == 1
    assert not fleet.balancer.state.requests
    assert fleet.policies.node.active == 0


def test_back_offs_are_spread_over_all_of_their_time() -> None:
    """Full jitter: retries of what failed together do not come together."""
    fleet = Fleet()
    policy = replace(SAFE, backoff_base=40 * MS, backoff_most=40 * MS)
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


# ---- budgets -----------------------------------------------------------


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("granted", [None, BudgetSpec(1.0, 1000.0)])
def test_with_all_backends_failing_attempts_stay_within_the_nodes_budget(
    seed: int, granted: BudgetSpec | None
) -> None:
    """However many clients come and whatever a route grants; then it recovers without a jump."""
    node = BudgetSpec(0.2, 2.0)
    fleet = Fleet(8, node)
    policy = replace(SAFE, attempts=4, budget=granted)
    random = Random(seed)
    now = 0
    rid = 0
    out: list[tuple[int, int]] = []
    for _ in range(3000):
        now += random.randrange(1, 4 * MS)
        for _ in range(random.randrange(4)):
            rid += 1
            fleet.request(now, rid, policy)
        for b in fleet.balancer.endpoints.values():
            b.backoff_until = b.ejected_until = 0
            fleet.balancer.state.ejected = 0
            rotation.update(fleet.balancer.state, b)
        out = [
            (r.id, i)
            for r in fleet.balancer.state.requests.values()
            for i, a in enumerate(r.attempts)
            if a.open
        ]
        for one, attempt in out:
            fleet.end(now, one, attempt, random.choice(FAILS), MS)
    sent = len(fleet.host.named("send"))
    served = len({c[1] for c in fleet.host.named("send")})
    assert served > 500
    assert sent - served <= 0.2 * rid + 2.0 * now / SECOND + 2.0
    # Well again for ten seconds: what is saved up is no more than one floor.
    budget = fleet.policies.node
    paid = 0
    while budget.spend(now + 10 * SECOND):
        paid += 1
    assert paid <= node.floor + node.part * budget.active


def test_a_budget_never_holds_more_than_its_part_of_the_active_and_the_floor() -> None:
    budget = RetryBudget(BudgetSpec(0.5, 2.0), 0)
    budget.arrivals += 100  # come and gone
    assert [budget.spend(0) for _ in range(3)] == [True, True, False]
    assert budget.spend(SECOND)
    assert budget.spend(SECOND)
    assert not budget.spend(SECOND)
    budget.active += 10
    budget.arrivals += 10
    assert sum(budget.spend(SECOND) for _ in range(20)) == 5


def test_a_route_out_of_budget_leaves_the_others_theirs() -> None:
    fleet = Fleet(8, BudgetSpec(0.2, 10.0))
    poor = replace(SAFE, name="s/poor", budget=BudgetSpec(0.0, 1.0))
    for rid, policy, sends in ((1, poor, 2), (2, poor, 1), (3, SAFE, 2)):
        fleet.request(0, rid, policy)
        fleet.end(0, rid, 0, Outcome.ERROR)
        assert len(fleet.sends(rid)) == sends, rid
    assert fleet.policies.node.tokens > 7.9


# ---- second copies -----------------------------------------------------


def test_a_second_copy_goes_elsewhere_and_the_loser_is_busy_until_its_outcome() -> None:
    fleet = Fleet()
    fleet.request(0, 1, COPY)
    fleet.wake(49 * MS)
    assert len(fleet.sends(1)) == 1
    fleet.wake(50 * MS)
    first, second = fleet.sends(1)
    assert first[2] != second[2]
    fleet.end(60 * MS, 1, 1, Outcome.OK)
    assert fleet.host.named("cancel") == [("cancel", 1, 0)]
    assert fleet.balancer.endpoints[first[2]].in_flight == 1
    assert fleet.balancer.in_flight == 1
    fleet.end(60 * MS, 1, 0, Outcome.CANCELLED, 60 * MS)
    assert fleet.balancer.in_flight == 0
    assert not fleet.balancer.state.requests
    assert fleet.answers(1) == 0


def test_one_whose_copy_has_answered_may_still_answer_itself() -> None:
    """Both in one turn: the second outcome comes before the cancel takes effect."""
    fleet = Fleet()
    fleet.request(0, 1, COPY)
    fleet.wake(50 * MS)
    fleet.end(60 * MS, 1, 0, Outcome.OK)
    fleet.end(60 * MS, 1, 1, Outcome.OK)
    assert fleet.balancer.in_flight == 0
    assert not fleet.balancer.state.requests
    assert fleet.policies.node.active == 0


def test_a_first_that_fails_waits_for_its_copy() -> None:
    fleet = Fleet()
    fleet.request(0, 1, replace(COPY, attempts=3))
    fleet.wake(50 * MS)
    fleet.end(60 * MS, 1, 0, Outcome.ERROR)
    assert len(fleet.sends(1)) == 2
    assert not fleet.answers(1)
    fleet.end(70 * MS, 1, 1, Outcome.ERROR)
    assert len(fleet.sends(1)) == 3  # then the policy goes on as usual
    fleet.end(80 * MS, 1, 2, Outcome.ERROR)
    assert fleet.answers(1) == 1


def test_no_copy_goes_to_a_full_fleet_nor_ahead_of_those_that_wait() -> None:
    fleet = Fleet(2)
    asked = 0
    while not fleet.balancer.state.queued:
        asked += 1
        fleet.request(0, asked, COPY)
    sent = len(fleet.host.named("send"))
    fleet.wake(50 * MS)
    assert len(fleet.host.named("send")) == sent


def test_no_copy_goes_where_only_the_first_backend_is_free() -> None:
    fleet = Fleet(1)
    fleet.request(0, 1, COPY)
    fleet.wake(50 * MS)
    assert len(fleet.sends(1)) == 1


def test_copies_keep_to_their_part_of_requests() -> None:
    fleet = Fleet(8)
    policy = replace(COPY, copy=CopySpec(50 * MS, 0.0, 0.05))
    now = 0
    for rid in range(1, 401):
        now += 100 * MS
        fleet.request(now, rid, policy, remaining=2000 * MS)
        fleet.wake(now + 50 * MS)
        for attempt in range(len(fleet.sends(rid))):
            fleet.end(now + 60 * MS, rid, attempt, Outcome.OK, 60 * MS)
    copies = len(fleet.host.named("send")) - 400
    assert 15 <= copies <= 0.05 * 400 + 2


@pytest.mark.parametrize(
    "change", [replace(SETTINGS, hedging=False), replace(SETTINGS, can_cancel=False)]
)
def test_no_copy_where_the_settings_allow_none(change: Settings) -> None:
    fleet = Fleet(settings=change)
    fleet.request(0, 1, COPY)
    fleet.wake(50 * MS)
    assert len(fleet.sends(1)) == 1


def test_a_client_that_leaves_with_both_out_gets_its_copy_cancelled() -> None:
    fleet = Fleet()
    fleet.request(0, 1, COPY)
    fleet.wake(50 * MS)
    fleet.balancer.on_client_disconnected(55 * MS, 1)
    assert fleet.host.named("cancel") == [("cancel", 1, 1)]
    fleet.end(55 * MS, 1, 1, Outcome.CANCELLED)
    assert fleet.balancer.in_flight == 1
    fleet.end(90 * MS, 1, 0, Outcome.OK)
    assert fleet.balancer.in_flight == 0
    assert not fleet.balancer.state.requests


def test_a_learned_delay_waits_until_enough_is_known() -> None:
    fleet = Fleet()
    policy = replace(COPY, copy=CopySpec(0, 90.0, 1.0))
    for rid in range(1, 101):
        fleet.request(rid * SECOND, rid, policy)
        fleet.wake(rid * SECOND + 9 * MS)
        fleet.end(rid * SECOND + 10 * MS, rid, 0, Outcome.OK, 10 * MS)
    assert len(fleet.host.named("send")) == 100  # none while unknown, none before its time
    fleet.request(200 * SECOND, 200, policy)
    due = fleet.balancer.state.requests[200].policy_state.due  # type: ignore[union-attr]
    assert 10 * MS <= due - 200 * SECOND <= 12 * MS


def test_latencies_are_told_within_a_bucket_and_forgotten_in_time() -> None:
    latencies = AnswerTimes()
    random = Random(1)
    values = [int(random.expovariate(1 / (20 * MS))) for _ in range(1999)]
    for value in values:
        latencies.add(value)
    exact = sorted(values)[int(0.95 * len(values))]
    assert exact <= latencies.at(95.0) * 1.05
    assert latencies.at(95.0) <= exact * 1.2
    for _ in range(20_000):
        latencies.add(MS)
    assert latencies.at(95.0) < 2 * MS


# ---- replaced policies -------------------------------------------------


def test_a_request_keeps_the_policy_it_came_with() -> None:
    fleet = Fleet()
    policy = replace(SAFE, attempts=2, backoff_base=40 * MS, backoff_most=40 * MS)
    fleet.request(0, 1, policy)
    fleet.end(5 * MS, 1, 0, Outcome.ERROR)
    fleet.policies.replace(BudgetSpec(0.1, 1.0), set())  # its route has gone
    fleet.wake(60 * MS)
    assert len(fleet.sends(1)) == 2
    fleet.end(70 * MS, 1, 1, Outcome.OK)
    assert fleet.policies.node.active == 0


def test_a_budget_survives_the_replacement_of_its_policy() -> None:
    fleet = Fleet(8)
    policy = replace(SAFE, budget=BudgetSpec(0.0, 1.0))
    fleet.request(0, 1, policy)
    fleet.end(0, 1, 0, Outcome.ERROR)
    assert len(fleet.sends(1)) == 2  # the whole floor is spent
    fleet.policies.replace(WIDE, {policy.name})
    fleet.request(0, 2, replace(policy, budget=BudgetSpec(0.0, 1.0), attempts=3))
    fleet.end(0, 2, 0, Outcome.ERROR)
    assert len(fleet.sends(2)) == 1


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
