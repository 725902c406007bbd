"""A holder that receives updates in any order."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.core.assignment.model import START, Change, Delta, Position, Snapshot, Update
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
    """The committed changes of one region's log, and the rows at each of its positions.

    At one position the leader is deposed; its epoch then has a branch of changes that were never
    committed. These are sent only to holders whose position is later than the branch, since no
    control machine sends uncommitted changes otherwise.
    """

    def __init__(self, drawn: list[tuple[str, str, str]], branch_at: int) -> None:
        self.branch_at = branch_at % (len(drawn) + 1)
        self.changes: list[Change] = []
        self.states: list[dict[str, Rows]] = [{service: {} for service in SERVICES}]
        for number, (service, uid, kind) in enumerate(drawn, start=1):
            change = self.change(self.position(number), service, uid, kind)
            self.changes.append(change)
            self.states.append(after(self.states[-1], change))

    def position(self, number: int) -> Position:
        if not number:
            return START
        return P(1 if number <= self.branch_at else 2, number)

    @staticmethod
    def change(position: Position, service: str, uid: str, kind: str) -> Change:
        """Return a change of two rows, so that a partly applied change can be detected."""
        other = uid + "2"
        if kind == "remove":
            return Change(position, service, removed=(uid, other))
        draining = kind == "drain"
        return Change(position, service, (row(uid, draining), row(other, draining)))

    def delta(self, first: int, last: int, services: frozenset[str]) -> Delta:
        changes = tuple(change for change in self.changes[first:last] if change.service in services)
        return Delta("r", self.position(first), self.position(last), changes)

    def snapshot(self, number: int, services: frozenset[str]) -> Snapshot:
        state = self.states[number]
        return Snapshot("r", self.position(number), {name: state[name] for name in services})

    def branch(self, first: int) -> Delta:
        """Return a delta of the deposed leader with a change that was never committed."""
        base = P(1, self.branch_at + first) if self.branch_at + first else START
        lost = P(1, base.revision + 1)
        wrong = Change(lost, "s", (row("wrong"), *(row(uid) for uid in UIDS)))
        return Delta("r", base, lost, (wrong,))


def after(state: dict[str, Rows], change: Change) -> dict[str, Rows]:
    changed = {
        uid: backend for uid, backend in state[change.service].items() if uid not in change.removed
    }
    changed |= {backend.uid: backend for backend in change.rows}
    return {**state, change.service: changed}


histories = st.lists(
    st.tuples(
        st.sampled_from(SERVICES),
        st.sampled_from(UIDS),
        st.sampled_from(("add", "drain", "remove")),
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
    """Return an update of the drawn kind: the next one, any other, or an uncommitted one."""
    kind, first_number, second_number = message
    last = len(history.changes)
    first, second = sorted((first_number % (last + 1), second_number % (last + 1)))
    current = holder.position("r").revision
    up_to_date = holder.current_services("r")
    match kind:
        case "delta":
            return history.delta(first, second, up_to_date)
        case "next":
            return history.delta(current, min(current + 1 + first_number % 3, last), up_to_date)
        case "request":  # as a control machine answers: changes, and other services completely
            target = max(current, second)
            new = holder.subscribed_services("r") - up_to_date
            update = history.delta(current, target, up_to_date)
            complete = tuple(
                Change(
                    update.position,
                    name,
                    tuple(history.states[target][name].values()),
                    complete=True,
                )
                for name in sorted(new)
            )
            return replace(update, changes=update.changes + complete)
        case "snapshot":
            return history.snapshot(second, holder.subscribed_services("r"))
        case "branch" if history.branch_at < current:
            return history.branch(first_number % 4)
        case _:
            return None


def assert_as_of_its_position(holder: Holder, history: History) -> None:
    state = history.states[holder.position("r").revision]
    assert holder.position("r") == history.position(holder.position("r").revision)
    for service in holder.current_services("r"):
        assert holder.rows(service) == state[service]


def assert_still_draining(before: Mapping[str, Rows], holder: Holder, history: History) -> None:
    """Assert that draining backends are still draining, unless a later change has ended that."""
    state = history.states[holder.position("r").revision]
    for service, old in before.items():
        for uid, new in (holder.rows(service) or {}).items():
            if uid in old and old[uid].draining and not new.draining:
                assert state[service][uid] == new


@given(histories, numbers, messages)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_updates_in_any_order_never_revert_a_holder(
    drawn: list[tuple[str, str, str]], branch_at: int, run: list[tuple[str, int, int]]
) -> None:
    """Updates are lost, duplicated, late, or of a deposed leader, while assignments change.

    Positions must never decrease, services must have the committed rows of their position, and a
    draining backend must not be used again.
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
            if message[2] % 4 == 3:  # delayed or lost
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
        assert_still_draining(before, holder, history)
    last = len(history.changes)
    holder.on_assignment(0, dict.fromkeys(SERVICES, "r"), ())
    holder.on_update(0, history.snapshot(last, holder.subscribed_services("r")))
    assert holder.current_services("r") == set(SERVICES)
    assert_as_of_its_position(holder, history)
