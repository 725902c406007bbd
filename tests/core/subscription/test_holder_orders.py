"""A holder under updates in any order."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.core.assignment.model import (
    START,
    Change,
    Delta,
    Position,
    Snapshot,
    Update,
)
from loadbalancer.core.subscription.holder import Holder
from loadbalancer.core.subscription.updates import Subscription, UpdateStatus
from tests.core.subscription.holders import (
    P,
    Rows,
    bytes_of_service,
    make,
    row,
)

SERVICES = ("s", "t", "u")
UIDS = ("a", "b", "c")


class History:
    """One region's log as it was accepted, and what each place in it looks like.

    At one place the leader is deposed: its epoch has a branch that was never accepted. That goes
    to holders which are further on; to others nobody sends what is not accepted.
    """

    def __init__(self, drawn: list[tuple[str, str, str]], branch_at: int) -> None:
        self.branch_at = branch_at % (len(drawn) + 1)
        self.changes: list[Change] = []
        self.states: list[dict[str, Rows]] = [{service: {} for service in SERVICES}]
        for number, (service, uid, what) in enumerate(drawn, start=1):
            change = self.change(self.position(number), service, uid, what)
            self.changes.append(change)
            self.states.append(after(self.states[-1], change))

    def position(self, number: int) -> Position:
        if not number:
            return START
        return P(1 if number <= self.branch_at else 2, number)

    @staticmethod
    def change(position: Position, service: str, uid: str, what: str) -> Change:
        """Two rows at once, so that half of a change can be told."""
        other = uid + "2"
        if what == "remove":
            return Change(position, service, removed=(uid, other))
        draining = what == "leave"
        return Change(position, service, (row(uid, draining), row(other, draining)))

    def delta(self, first: int, last: int, services: frozenset[str]) -> Delta:
        changes = tuple(change for change in self.changes[first:last] if change.service in services)
        return Delta("r", self.position(first), self.position(last), changes)

    def snapshot(self, number: int, services: frozenset[str]) -> Snapshot:
        state = self.states[number]
        return Snapshot("r", self.position(number), {name: state[name] for name in services})

    def branch(self, first: int) -> Delta:
        """What the deposed leader still sends: one of its own changes after the last common one."""
        base = P(1, self.branch_at + first) if self.branch_at + first else START
        lost = P(1, base.revision + 1)
        wrong = Change(lost, "s", (row("wrong"), *(row(uid) for uid in UIDS)))
        return Delta("r", base, lost, (wrong,))


def after(state: dict[str, Rows], change: Change) -> dict[str, Rows]:
    changed = {uid: one for uid, one in state[change.service].items() if uid not in change.removed}
    changed |= {one.uid: one for one in change.rows}
    return {**state, change.service: changed}


histories = st.lists(
    st.tuples(
        st.sampled_from(SERVICES),
        st.sampled_from(UIDS),
        st.sampled_from(("add", "leave", "remove")),
    ),
    min_size=1,
    max_size=12,
)
numbers = st.integers(0, 12)
messages = st.lists(
    st.one_of(
        st.tuples(st.just("delta"), numbers, numbers),
        st.tuples(st.just("next"), numbers, numbers),
        st.tuples(st.just("next"), numbers, numbers),
        st.tuples(st.just("snapshot"), numbers, numbers),
        st.tuples(st.just("branch"), numbers, numbers),
        st.tuples(st.just("again"), numbers, numbers),
        st.tuples(st.just("wanted"), numbers, numbers),
        st.tuples(st.just("request"), numbers, numbers),
    ),
    max_size=40,
)


def drawn_update(history: History, holder: Holder, message: tuple[str, int, int]) -> Update | None:
    """One update of many kinds: the one that is due, any other, one that was never accepted."""
    kind, one, other = message
    last = len(history.changes)
    first, second = sorted((one % (last + 1), other % (last + 1)))
    here = holder.position("r").revision
    following = holder.current_services("r")
    match kind:
        case "delta":
            return history.delta(first, second, following)
        case "next":
            return history.delta(here, min(here + 1 + one % 3, last), following)
        case "request":  # what a control machine answers: changes, and what is missing completely
            there = max(here, second)
            new = holder.subscribed_services("r") - following
            update = history.delta(here, there, following)
            complete = tuple(
                Change(
                    update.position,
                    name,
                    tuple(history.states[there][name].values()),
                    complete=True,
                )
                for name in sorted(new)
            )
            return replace(update, changes=update.changes + complete)
        case "snapshot":
            return history.snapshot(second, holder.subscribed_services("r"))
        case "branch" if history.branch_at < here:
            return history.branch(one % 4)
        case _:
            return None


def assert_as_of_its_position(holder: Holder, history: History) -> None:
    state = history.states[holder.position("r").revision]
    assert holder.position("r") == history.position(holder.position("r").revision)
    for service in holder.current_services("r"):
        assert holder.rows(service) == state[service]


def assert_drains_last(before: Mapping[str, Rows], holder: Holder, history: History) -> None:
    """A backend that drains is sent nothing, unless a later change takes it up again."""
    state = history.states[holder.position("r").revision]
    for service, old in before.items():
        for uid, one in (holder.rows(service) or {}).items():
            if uid in old and old[uid].draining and not one.draining:
                assert state[service][uid] == one


@given(histories, numbers, messages)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_updates_in_any_order_never_take_a_holder_back(
    drawn: list[tuple[str, str, str]], branch_at: int, run: list[tuple[str, int, int]]
) -> None:
    """Updates are lost, doubled, late, or of a deposed leader, while assignments change.

    Whatever comes: positions never go back, services are as accepted at their position, and a
    backend that drains is not taken up again.
    """
    history = History(drawn, branch_at)
    holder = make(*SERVICES[:2])
    sent: list[tuple[Update, Subscription]] = []
    for message in run:
        if message[0] == "wanted":
            names = SERVICES[message[1] % 3 :] + SERVICES[: message[2] % 3]
            holder.on_assignment(0, dict.fromkeys(names, "r"), SERVICES[: message[2] % 2])
        if message[0] == "again" and sent:
            update, request = sent[message[1] % len(sent)]
        else:
            drawn_now = drawn_update(history, holder, message)
            if drawn_now is None:
                continue
            update, request = drawn_now, holder.make_subscription("r")
            sent.append((update, request))
            if message[2] % 4 == 3:  # not applied now: late, or lost
                continue
        position = holder.position("r")
        before = {service: dict(holder.rows(service) or {}) for service in SERVICES}
        result = holder.on_update(0, update, request)
        assert holder.position("r") >= position
        if result.status not in (UpdateStatus.APPLIED, UpdateStatus.NOT_WANTED):
            assert holder.position("r") == position
            assert before == {service: holder.rows(service) or {} for service in SERVICES}
        assert_as_of_its_position(holder, history)
        known = holder.subscribed_services("r")
        assert holder.retained_bytes == sum(bytes_of_service(holder, name) for name in known)
        assert_drains_last(before, holder, history)
    last = len(history.changes)
    holder.on_assignment(0, dict.fromkeys(SERVICES, "r"), ())
    holder.on_update(0, history.snapshot(last, holder.subscribed_services("r")))
    assert holder.current_services("r") == set(SERVICES)
    assert_as_of_its_position(holder, history)
