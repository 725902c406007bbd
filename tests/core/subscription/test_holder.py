"""A holder never goes back, holds no half change, and gives up nothing in use."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.core.assignment.model import (
    START,
    Change,
    Delta,
    InvalidInputError,
    Position,
    Row,
    Snapshot,
    Update,
)
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.subscription.holder import (
    ROW_BYTES,
    SERVICE_BYTES,
    Holder,
    HolderLimits,
    ServiceQuery,
    Subscription,
    UpdateResult,
    UpdateStatus,
)

Rows = dict[str, Row]
P = Position


def row(uid: str, leaving: bool = False) -> Row:
    return Row(uid, f'{{"uid":"{uid}","state":"{"draining" if leaving else "ready"}"}}', leaving)


def rows(*uids: str) -> Rows:
    return {uid: row(uid) for uid in uids}


def make(*services: str, limits: HolderLimits | None = None) -> Holder:
    """A holder that is to hold these services of region r, and has been told nothing of them."""
    holder = Holder("n", ["r", "q"], limits or HolderLimits())
    assert holder.on_wanted(0, dict.fromkeys(services, "r"), ()) == ()
    return holder


def holding(*services: str, limits: HolderLimits | None = None) -> Holder:
    """A holder that holds these services with two backends each, as of (2, 10)."""
    holder = make(*services, limits=limits)
    snapshot = Snapshot("r", P(2, 10), {service: rows("a", "b") for service in services})
    assert holder.on_update(0, snapshot) == UpdateResult(UpdateStatus.APPLIED, services)
    return holder


def delta(base: Position, position: Position, *changes: Change) -> Delta:
    return Delta("r", base, position, changes)


def test_a_delta_that_follows_is_taken() -> None:
    holder = holding("s", "t")
    change = Change(P(2, 11), "s", (row("a", leaving=True), row("c")), ("b",))
    taken = holder.on_update(5, delta(P(2, 10), P(2, 12), change))
    assert taken == UpdateResult(UpdateStatus.APPLIED, ("s",))
    assert holder.rows("s") == {"a": row("a", leaving=True), "c": row("c")}
    assert holder.rows("t") == rows("a", "b")
    assert holder.position("r") == P(2, 12)
    assert holder.position("q") == START


@pytest.mark.parametrize(
    ("base", "position", "kind"),
    [
        (P(2, 10), P(2, 11), UpdateStatus.APPLIED),
        (P(2, 10), P(3, 11), UpdateStatus.APPLIED),  # a new leader's first
        (P(2, 9), P(2, 10), UpdateStatus.OLDER),  # twice
        (P(2, 8), P(2, 9), UpdateStatus.OLDER),  # late
        (P(1, 10), P(1, 11), UpdateStatus.OLDER),  # of a leader deposed
        (P(1, 99), P(1, 100), UpdateStatus.OLDER),
        (P(1, 10), P(2, 11), UpdateStatus.GAP),
        (P(2, 9), P(2, 11), UpdateStatus.GAP),  # begins too early
        (P(2, 11), P(2, 12), UpdateStatus.GAP),  # one lost
        (P(3, 11), P(3, 12), UpdateStatus.GAP),
        (P(2, 10), P(2, 9), UpdateStatus.MALFORMED),
        (P(2, 10), P(3, 9), UpdateStatus.MALFORMED),
    ],
)
def test_what_a_delta_does_depends_on_its_positions(
    base: Position, position: Position, kind: UpdateStatus
) -> None:
    holder = holding("s")
    taken = holder.on_update(7, delta(base, position, Change(position, "s", removed=("a",))))
    assert taken.status is kind
    applied = kind is UpdateStatus.APPLIED
    assert holder.rows("s") == (rows("b") if applied else rows("a", "b"))
    assert holder.position("r") == (position if applied else P(2, 10))
    assert holder.age(10, "r") == (3 if applied else 10)


@pytest.mark.parametrize(
    ("position", "kind"),
    [
        (P(2, 10), UpdateStatus.APPLIED),
        (P(2, 30), UpdateStatus.APPLIED),
        (P(3, 1), UpdateStatus.APPLIED),  # a log that was begun anew
        (P(2, 9), UpdateStatus.OLDER),
        (P(1, 99), UpdateStatus.OLDER),
    ],
)
def test_a_snapshot_is_taken_unless_it_is_older(position: Position, kind: UpdateStatus) -> None:
    holder = holding("s")
    assert holder.on_update(7, Snapshot("r", position, {"s": rows("c")})).status is kind
    applied = kind is UpdateStatus.APPLIED
    assert holder.rows("s") == (rows("c") if applied else rows("a", "b"))
    assert holder.position("r") == (position if applied else P(2, 10))


@pytest.mark.parametrize(
    "change",
    [
        Change(P(2, 10), "s", removed=("a",)),  # has been taken before the delta's base
        Change(P(2, 13), "s", removed=("a",)),
        Change(P(2, 13), "s", complete=True),
    ],
)
def test_a_delta_that_contradicts_itself_changes_nothing(change: Change) -> None:
    holder = holding("s")
    sound = Change(P(2, 11), "s", (row("c"),))
    taken = holder.on_update(7, delta(P(2, 10), P(2, 12), sound, change))
    assert taken == UpdateResult(UpdateStatus.MALFORMED)
    assert holder.rows("s") == rows("a", "b")


def test_a_service_is_held_from_its_first_whole_change_on() -> None:
    holder = holding("s")
    assert holder.on_wanted(1, {"s": "r", "t": "r"}, ()) == ()
    assert holder.rows("t") is None
    assert not holder.on_request_begins("t")
    assert holder.subscription("r") == {"s", "t"}
    assert holder.current("r") == {"s"}
    assert holder.missing("r") == {"t"}
    part = Change(P(2, 11), "t", (row("c"),))
    also = Change(P(2, 11), "s", (row("c"),))
    assert holder.on_update(2, delta(P(2, 10), P(2, 11), also, part)) == UpdateResult(
        UpdateStatus.GAP
    )
    assert holder.rows("s") == rows("a", "b")  # nothing of it was taken
    whole = Change(P(2, 10), "t", (row("a"),), complete=True)
    assert holder.on_update(2, delta(P(2, 10), P(2, 10), whole)) == UpdateResult(
        UpdateStatus.APPLIED, ("t",)
    )
    assert holder.rows("t") == rows("a")
    assert holder.current("r") == {"s", "t"}
    assert holder.on_update(3, delta(P(2, 10), P(2, 11), also, part)).status is UpdateStatus.APPLIED
    assert holder.rows("t") == rows("a", "c")


def test_a_change_and_a_move_in_the_same_instant() -> None:
    """The change goes out to those who hold the service just as it is assigned here."""
    change = Change(P(2, 11), "t", (row("a", leaving=True),))
    whole = Change(P(2, 11), "t", (row("a", leaving=True), row("b")), complete=True)
    before = delta(P(2, 10), P(2, 11), change)  # as if it had been held all along
    together = delta(P(2, 10), P(2, 11), whole)
    holder = holding("s")  # the change comes first
    assert holder.on_update(1, before).status is UpdateStatus.NOT_WANTED
    assert holder.on_wanted(2, {"s": "r", "t": "r"}, ()) == ()
    assert holder.rows("t") is None
    late = Change(P(2, 11), "t", whole.rows, complete=True)
    assert holder.on_update(3, delta(P(2, 11), P(2, 11), late)).status is UpdateStatus.APPLIED
    assert holder.rows("t") == {"a": row("a", leaving=True), "b": row("b")}
    holder = holding("s")  # the move comes first
    assert holder.on_wanted(1, {"s": "r", "t": "r"}, ()) == ()
    assert holder.on_update(2, before).status is UpdateStatus.GAP
    assert holder.on_update(3, together).status is UpdateStatus.APPLIED
    assert holder.rows("t") == {"a": row("a", leaving=True), "b": row("b")}


def test_an_answer_to_an_earlier_question_says_nothing_of_what_came_since() -> None:
    holder = holding("s")
    early = holder.subscribe("r")
    assert early == Subscription("r", P(2, 10), frozenset("s"), frozenset("s"))
    assert holder.on_wanted(1, {"s": "r", "t": "r"}, ()) == ()
    whole = Change(P(2, 10), "t", (row("a"),), complete=True)
    second = holder.subscribe("r")
    assert second == Subscription("r", P(2, 10), frozenset("st"), frozenset("s"))
    assert (
        holder.on_update(2, delta(P(2, 10), P(2, 10), whole), second).status is UpdateStatus.APPLIED
    )
    # In between t's backend was drained; this answer leaves it out, as t was not asked for.
    assert holder.on_update(3, delta(P(2, 10), P(2, 11)), early).status is UpdateStatus.APPLIED
    assert holder.rows("t") == rows("a")
    assert holder.current("r") == {"s"}


def test_a_snapshot_from_before_an_assignment_leaves_what_it_does_not_name() -> None:
    holder = holding("s", "t")
    assert (
        holder.on_update(1, Snapshot("r", P(2, 20), {"s": rows("c")})).status
        is UpdateStatus.APPLIED
    )
    assert holder.rows("t") == rows("a", "b")  # served on with what is held
    assert holder.current("r") == {"s"}
    stale = Change(P(2, 21), "t", (row("d"),))
    assert holder.on_update(2, delta(P(2, 20), P(2, 21), stale)).status is UpdateStatus.GAP


def test_a_deleted_service_is_held_no_more_and_may_come_anew() -> None:
    holder = holding("s")
    gone = Change(P(2, 11), "s", deleted=True)
    assert holder.on_update(1, delta(P(2, 10), P(2, 11), gone)) == UpdateResult(
        UpdateStatus.APPLIED, ("s",)
    )
    assert holder.rows("s") is None
    assert not holder.on_request_begins("s")
    assert holder.retained_bytes == SERVICE_BYTES
    anew = Change(P(2, 12), "s", (row("z"),))
    assert holder.on_update(2, delta(P(2, 11), P(2, 12), anew)).status is UpdateStatus.APPLIED
    assert holder.rows("s") == rows("z")


def test_a_service_is_dropped_only_when_it_may_be_and_no_request_is_out() -> None:
    holder = holding("s")
    assert holder.on_request_begins("s")
    assert holder.on_request_begins("s")
    assert holder.on_wanted(1, {}, ()) == ()  # moved away, nobody serves yet
    assert holder.on_request_begins("s")
    holder.on_request_ends("s")
    assert holder.rows("s") == rows("a", "b")
    drain = Change(P(2, 11), "s", (row("a", leaving=True),))
    assert holder.on_update(2, delta(P(2, 10), P(2, 11), drain)).changed == ("s",)
    assert holder.on_wanted(3, {}, ("s",)) == ()
    holder.on_request_ends("s")
    assert holder.rows("s") is not None
    assert holder.released() == ()
    holder.on_request_ends("s")
    assert holder.rows("s") is None
    assert holder.released() == ("s",)
    assert holder.released() == ()
    assert not holder.on_request_begins("s")
    assert holder.retained_bytes == 0
    assert holder.subscription("r") == frozenset()


def test_an_idle_service_is_kept_until_it_may_be_released() -> None:
    holder = holding("s")
    assert holder.on_wanted(1, {}, ()) == ()
    for now in (1, SECOND, 3600 * SECOND):
        assert holder.on_update(now, delta(P(2, 10), P(2, 10))).status is UpdateStatus.APPLIED
        assert holder.rows("s") == rows("a", "b")
    assert holder.on_wanted(2, {}, ("s",)) == ()
    assert holder.released() == ("s",)


def test_a_permission_that_is_taken_back_does_not_count() -> None:
    holder = holding("s")
    assert holder.on_request_begins("s")
    assert holder.on_wanted(1, {}, ("s",)) == ()
    assert holder.on_wanted(2, {}, ()) == ()
    holder.on_request_ends("s")
    assert holder.rows("s") == rows("a", "b")


def test_one_that_is_never_idle_takes_no_new_request_once_it_has_lingered() -> None:
    holder = holding("s", limits=HolderLimits(drain_timeout=10))
    assert holder.on_request_begins("s")
    assert holder.on_wanted(100, {}, ("s",)) == ()
    assert holder.on_wanted(109, {}, ("s",)) == ()
    assert holder.on_request_begins("s")
    assert holder.serving() == {"s"}
    assert holder.on_wanted(110, {}, ("s",)) == ()
    assert not holder.on_request_begins("s")
    assert holder.serving() == frozenset()
    holder.on_request_ends("s")
    assert holder.rows("s") is not None
    holder.on_request_ends("s")
    assert holder.released() == ("s",)


def test_one_that_comes_back_is_served_on_and_has_to_come_whole() -> None:
    holder = holding("s", limits=HolderLimits(drain_timeout=10))
    assert holder.on_request_begins("s")
    assert holder.on_wanted(100, {}, ("s",)) == ()
    assert holder.on_wanted(200, {}, ("s",)) == ()  # closed
    assert holder.on_wanted(201, {"s": "r"}, ()) == ()
    assert holder.on_request_begins("s")
    assert holder.current("r") == frozenset()  # it may not have been followed meanwhile
    holder.on_request_ends("s")
    holder.on_request_ends("s")
    assert holder.released() == ()


def test_one_dropped_and_back_at_once_is_not_named_as_released() -> None:
    holder = holding("s")
    assert holder.on_wanted(1, {}, ("s",)) == ()
    assert holder.on_wanted(2, {"s": "r"}, ()) == ()
    assert holder.released() == ()
    assert holder.rows("s") is None


def test_a_cold_service_that_moves_on_before_it_came_is_dropped() -> None:
    holder = make("s")
    assert holder.on_wanted(1, {}, ()) == ()
    assert holder.subscription("r") == frozenset()
    assert holder.retained_bytes == 0


def test_without_control_it_serves_on_and_its_age_shows() -> None:
    holder = make("s")
    assert holder.age(5, "r") is None
    assert (
        holder.on_update(10, Snapshot("r", P(1, 1), {"s": rows("a")})).status
        is UpdateStatus.APPLIED
    )
    assert holder.age(10, "r") == 0
    day = 86_400 * SECOND
    assert holder.on_request_begins("s")
    assert holder.age(10 + day, "r") == day
    assert not holder.on_nothing_newer(10 + day, "r", P(1, 2))
    assert holder.age(10 + day, "r") == day
    assert holder.on_nothing_newer(10 + day, "r", P(1, 1))
    assert holder.age(11 + day, "r") == 1
    assert holder.age(11 + day, "q") is None


def test_no_more_services_than_the_bound() -> None:
    holder = holding("s", limits=HolderLimits(max_services=3))
    wanted = dict.fromkeys(("s", "t", "u", "v", "w"), "r")
    assert holder.on_wanted(1, wanted, ()) == ("v", "w")
    assert holder.subscription("r") == {"s", "t", "u"}
    assert holder.on_wanted(2, {"v": "r", "t": "r"}, ("s", "u")) == ()
    assert holder.subscription("r") == {"t", "v"}


def test_no_service_is_added_over_the_bound_on_bytes() -> None:
    limits = HolderLimits(max_services=2, max_bytes=bytes_of(400))
    holder = make("s", limits=limits)
    assert (
        holder.on_update(1, Snapshot("r", P(1, 1), {"s": numbered(400)})).status
        is UpdateStatus.APPLIED
    )
    assert holder.on_wanted(2, {"s": "r", "t": "r"}, ()) == ("t",)
    assert holder.retained_bytes == limits.max_bytes
    less = Change(P(1, 2), "s", removed=("0001", "0002", "0003", "0004"))
    assert holder.on_update(3, delta(P(1, 1), P(1, 2), less)).status is UpdateStatus.APPLIED
    assert holder.on_wanted(4, {"s": "r", "t": "r"}, ()) == ()


def bytes_of(count: int) -> int:
    """What a service with so many rows of names of four characters takes."""
    return SERVICE_BYTES + count * (ROW_BYTES + 4 + len(row("0000").body))


def numbered(count: int) -> Rows:
    return rows(*(f"{number:04}" for number in range(count)))


def test_what_does_not_fit_takes_nothing_new_and_loses_what_leaves() -> None:
    limits = HolderLimits(max_services=2, max_bytes=bytes_of(200) + bytes_of(100))
    holder = make("s", "t", limits=limits)
    both = {"s": numbered(200), "t": numbered(100)}
    assert holder.on_update(1, Snapshot("r", P(1, 1), both)).status is UpdateStatus.APPLIED
    assert holder.retained_bytes == limits.max_bytes
    growing = Change(P(1, 2), "s", (row("0007", leaving=True), row("9999")), ("0003",))
    more = Change(P(1, 2), "s", (row("9998"),))
    other = Change(P(1, 2), "t", (row("0001", leaving=True),), ("0002",))
    taken = holder.on_update(2, delta(P(1, 1), P(1, 2), other, growing, more))
    assert taken == UpdateResult(UpdateStatus.OVER_LIMIT, ("t", "s"), ("s",))
    held = holder.rows("s")
    assert held is not None
    assert held.keys() == (numbered(200).keys() | {"9999"}) - {"0003"}
    assert held["0007"].draining
    assert holder.retained_bytes <= limits.max_bytes
    assert holder.position("r") == P(1, 2)


def test_a_service_that_does_not_fit_is_followed_by_what_leaves_until_there_is_room() -> None:
    limits = HolderLimits(max_services=2, max_bytes=1 << 16)
    holder = make("s", "t", limits=limits)
    first = {"s": numbered(50), "t": numbered(50)}
    assert holder.on_update(1, Snapshot("r", P(1, 1), first)).status is UpdateStatus.APPLIED
    large = Change(P(1, 2), "s", tuple(numbered(200).values()), complete=True)
    assert holder.on_update(2, delta(P(1, 1), P(1, 2), large)) == UpdateResult(
        UpdateStatus.OVER_LIMIT, (), ("s",)
    )
    assert holder.rows("s") == numbered(50)
    assert holder.current("r") == {"s", "t"}  # changes are enough as long as there is no room
    drain = Change(P(1, 3), "s", (row("0007", leaving=True), row("9999")), ("0003",))
    taken = holder.on_update(3, delta(P(1, 2), P(1, 3), drain))
    assert taken == UpdateResult(UpdateStatus.OVER_LIMIT, ("s",), ("s",))
    left = numbered(50)
    del left["0003"], left["0007"]
    assert holder.rows("s") == left
    assert holder.position("r") == P(1, 3)
    room = Change(P(1, 4), "t", deleted=True)
    assert holder.on_update(4, delta(P(1, 3), P(1, 4), room)).status is UpdateStatus.APPLIED
    smaller = Change(P(1, 5), "s", removed=tuple(f"{n:04}" for n in range(100, 200)))
    assert holder.current("r") == {"t"}  # there is room: it is to come whole
    assert holder.on_update(5, delta(P(1, 4), P(1, 5), smaller)).status is UpdateStatus.GAP
    anew = Change(P(1, 5), "s", tuple(numbered(100).values()), complete=True)
    assert holder.on_update(6, delta(P(1, 4), P(1, 5), anew)).status is UpdateStatus.APPLIED
    assert holder.rows("s") == numbered(100)


def test_room_asks_for_what_did_not_fit_anew() -> None:
    holder = make("s", "t", limits=HolderLimits(max_services=2, max_bytes=1 << 16))
    first = {"s": numbered(110), "t": numbered(110)}
    assert holder.on_update(1, Snapshot("r", P(1, 1), first)).refused == ("t",)
    assert holder.rows("t") is None
    assert not holder.on_request_begins("t")
    assert holder.current("r") == {"s", "t"}
    assert holder.on_wanted(2, {"t": "r"}, ("s",)) == ()
    assert holder.current("r") == frozenset()  # t is to come whole now


def test_ten_thousand_unknown_names_cost_no_more_than_the_bound() -> None:
    limits = HolderLimits(max_unknown_names=100, queries_per_s=5.0)
    holder = holding("s", limits=limits)
    asked = []
    for number in range(10_000):
        now = number * SECOND // 1000  # in ten seconds
        if (ask := holder.on_unknown(now, f"name-{number}")) is not None:
            asked.append((now, ask))
        assert len(holder._asked) <= limits.max_unknown_names
    assert 50 <= len(asked) <= 56
    assert asked[0] == (0, ServiceQuery("name-0"))
    assert max(sum(start <= now < start + SECOND for now, _ in asked) for start, _ in asked) <= 10
    assert holder.retained_bytes == bytes_of_service(holder, "s")
    assert holder.subscription("r") == {"s"}


def bytes_of_service(holder: Holder, service: str) -> int:
    held = holder.rows(service) or {}
    return SERVICE_BYTES + sum(ROW_BYTES + len(one.uid) + len(one.body) for one in held.values())


def test_an_unknown_name_is_asked_for_once_in_a_while() -> None:
    holder = holding("s", limits=HolderLimits(query_interval=10 * SECOND))
    assert holder.on_unknown(0, "x") == ServiceQuery("x")
    assert holder.on_unknown(SECOND, "x") is None
    assert holder.on_unknown(10 * SECOND, "x") == ServiceQuery("x")
    assert holder.on_unknown(11 * SECOND, "s") is None  # held
    assert holder.on_unknown(11 * SECOND, "") is None
    assert holder.on_unknown(11 * SECOND, "x" * 257) is None
    assert holder.on_wanted(12 * SECOND, {"s": "r", "x": "r"}, ()) == ()
    assert holder.on_unknown(30 * SECOND, "x") is None  # on its way


def test_an_unknown_region_is_refused_and_changes_nothing() -> None:
    holder = holding("s")
    with pytest.raises(InvalidInputError, match="unknown region 'x', must be one of q, r"):
        holder.on_update(1, Snapshot("x", P(1, 1)))
    with pytest.raises(InvalidInputError, match="unknown region 'x'"):
        holder.on_wanted(1, {"t": "r", "u": "x"}, ("s",))
    with pytest.raises(InvalidInputError, match="service 's' is of region 'r', not 'q'"):
        holder.on_wanted(1, {"s": "q"}, ())
    assert holder.subscription("r") == {"s"}


@pytest.mark.parametrize(
    ("limits", "message"),
    [
        ({"max_services": 0}, "max_services is 0, must be 1 to 20000"),
        ({"max_bytes": 1000}, "max_bytes is 1000, must be 65536"),
        (
            {"max_services": 65, "max_bytes": 65536},
            "max_bytes is 65536, must be at least 1024 a service",
        ),
        ({"max_unknown_names": 0}, "max_unknown_names is 0, must be 1 to 100000"),
        ({"queries_per_s": 0.0}, "queries_per_s is 0.0, must be over 0"),
        ({"drain_timeout": -1}, "must not be negative"),
    ],
)
def test_limits_out_of_range_are_refused(limits: dict[str, int], message: str) -> None:
    with pytest.raises(InvalidInputError, match=f"limits: .*{message}"):
        HolderLimits(**limits)


# ---- updates in any order -------------------------------------------------

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
        leaving = what == "leave"
        return Change(position, service, (row(uid, leaving), row(other, leaving)))

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
        st.tuples(st.just("asked"), numbers, numbers),
    ),
    max_size=40,
)


def drawn_update(history: History, holder: Holder, message: tuple[str, int, int]) -> Update | None:
    """One update of many kinds: the one that is due, any other, one that was never accepted."""
    kind, one, other = message
    last = len(history.changes)
    first, second = sorted((one % (last + 1), other % (last + 1)))
    here = holder.position("r").revision
    following = holder.current("r")
    match kind:
        case "delta":
            return history.delta(first, second, following)
        case "next":
            return history.delta(here, min(here + 1 + one % 3, last), following)
        case "asked":  # what a control machine answers: changes, and whole what is missing
            there = max(here, second)
            new = holder.subscription("r") - following
            update = history.delta(here, there, following)
            whole = tuple(
                Change(
                    update.position,
                    name,
                    tuple(history.states[there][name].values()),
                    complete=True,
                )
                for name in sorted(new)
            )
            return replace(update, changes=update.changes + whole)
        case "snapshot":
            return history.snapshot(second, holder.subscription("r"))
        case "branch" if history.branch_at < here:
            return history.branch(one % 4)
        case _:
            return None


def assert_as_of_its_position(holder: Holder, history: History) -> None:
    state = history.states[holder.position("r").revision]
    assert holder.position("r") == history.position(holder.position("r").revision)
    for service in holder.current("r"):
        assert holder.rows(service) == state[service]


def assert_drains_kept(before: Mapping[str, Rows], holder: Holder, history: History) -> None:
    """A backend whose drain was taken is sent nothing, unless a later change takes it up again."""
    state = history.states[holder.position("r").revision]
    for service, old in before.items():
        for uid, one in (holder.rows(service) or {}).items():
            if uid in old and old[uid].draining and not one.draining:
                assert state[service][uid] == one


@given(histories, numbers, messages)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_updates_lost_doubled_late_or_of_an_old_leader_never_take_it_back(
    drawn: list[tuple[str, str, str]], branch_at: int, run: list[tuple[str, int, int]]
) -> None:
    history = History(drawn, branch_at)
    holder = make(*SERVICES[:2])
    sent: list[tuple[Update, Subscription]] = []
    for message in run:
        if message[0] == "wanted":
            names = SERVICES[message[1] % 3 :] + SERVICES[: message[2] % 3]
            holder.on_wanted(0, dict.fromkeys(names, "r"), SERVICES[: message[2] % 2])
        if message[0] == "again" and sent:
            update, asked = sent[message[1] % len(sent)]
        else:
            drawn_now = drawn_update(history, holder, message)
            if drawn_now is None:
                continue
            update, asked = drawn_now, holder.subscribe("r")
            sent.append((update, asked))
            if message[2] % 4 == 3:  # not taken now: late, or lost
                continue
        position = holder.position("r")
        before = {service: dict(holder.rows(service) or {}) for service in SERVICES}
        taken = holder.on_update(0, update, asked)
        assert holder.position("r") >= position
        if taken.status not in (UpdateStatus.APPLIED, UpdateStatus.NOT_WANTED):
            assert holder.position("r") == position
            assert before == {service: holder.rows(service) or {} for service in SERVICES}
        assert_as_of_its_position(holder, history)
        known = holder.subscription("r")
        assert holder.retained_bytes == sum(bytes_of_service(holder, name) for name in known)
        assert_drains_kept(before, holder, history)
    last = len(history.changes)
    holder.on_wanted(0, dict.fromkeys(SERVICES, "r"), ())
    holder.on_update(0, history.snapshot(last, holder.subscription("r")))
    assert holder.current("r") == set(SERVICES)
    assert_as_of_its_position(holder, history)
