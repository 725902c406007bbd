"""A holder's position never decreases, changes are applied completely, services in use are kept."""

from __future__ import annotations

import pytest

from loadbalancer.core.assignment.model import (
    START,
    Change,
    InvalidInputError,
    Position,
    Snapshot,
)
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.subscription.limits import SERVICE_BYTES, HolderLimits
from loadbalancer.core.subscription.updates import Subscription, UpdateResult, UpdateStatus
from tests.core.subscription.holders import (
    P,
    delta,
    holding,
    make,
    row,
    rows,
)


def test_a_delta_that_follows_is_applied() -> None:
    holder = holding("s", "t")
    change = Change(P(2, 11), "s", (row("a", draining=True), row("c")), ("b",))
    result = holder.on_update(5, delta(P(2, 10), P(2, 12), change))
    assert result == UpdateResult(UpdateStatus.APPLIED, ("s",))
    assert holder.rows("s") == {"a": row("a", draining=True), "c": row("c")}
    assert holder.rows("t") == rows("a", "b")
    assert holder.position("r") == P(2, 12)
    assert holder.position("q") == START


@pytest.mark.parametrize(
    ("base", "position", "status"),
    [
        (P(2, 10), P(2, 11), UpdateStatus.APPLIED),
        (P(2, 10), P(3, 11), UpdateStatus.APPLIED),  # first change of a new leader
        (P(2, 9), P(2, 10), UpdateStatus.OLDER),  # duplicate
        (P(2, 8), P(2, 9), UpdateStatus.OLDER),  # late
        (P(1, 10), P(1, 11), UpdateStatus.OLDER),  # of a deposed leader
        (P(1, 99), P(1, 100), UpdateStatus.OLDER),
        (P(1, 10), P(2, 11), UpdateStatus.GAP),
        (P(2, 9), P(2, 11), UpdateStatus.GAP),  # base before the position
        (P(2, 11), P(2, 12), UpdateStatus.GAP),  # an update was lost
        (P(3, 11), P(3, 12), UpdateStatus.GAP),
        (P(2, 10), P(2, 9), UpdateStatus.MALFORMED),
        (P(2, 10), P(3, 9), UpdateStatus.MALFORMED),
    ],
)
def test_the_result_of_a_delta_depends_on_its_positions(
    base: Position, position: Position, status: UpdateStatus
) -> None:
    """Answers are late, duplicated, lost, or of a deposed leader.

    If a node applied such a delta, removed backends could return, or changes be lost permanently.
    """
    holder = holding("s")
    result = holder.on_update(7, delta(base, position, Change(position, "s", removed=("a",))))
    assert result.status is status
    applied = status is UpdateStatus.APPLIED
    assert holder.rows("s") == (rows("b") if applied else rows("a", "b"))
    assert holder.position("r") == (position if applied else P(2, 10))
    assert holder.age(10, "r") == (3 if applied else 10)


@pytest.mark.parametrize(
    ("position", "status"),
    [
        (P(2, 10), UpdateStatus.APPLIED),
        (P(2, 30), UpdateStatus.APPLIED),
        (P(3, 1), UpdateStatus.APPLIED),  # a log that was loaded again
        (P(2, 9), UpdateStatus.OLDER),
        (P(1, 99), UpdateStatus.OLDER),
    ],
)
def test_a_snapshot_is_applied_unless_it_is_older(position: Position, status: UpdateStatus) -> None:
    """A delayed snapshot arrives after a newer one."""
    holder = holding("s")
    assert holder.on_update(7, Snapshot("r", position, {"s": rows("c")})).status is status
    applied = status is UpdateStatus.APPLIED
    assert holder.rows("s") == (rows("c") if applied else rows("a", "b"))
    assert holder.position("r") == (position if applied else P(2, 10))


@pytest.mark.parametrize(
    "change",
    [
        Change(P(2, 10), "s", removed=("a",)),  # at the delta's base
        Change(P(2, 13), "s", removed=("a",)),
        Change(P(2, 13), "s", complete=True),
    ],
)
def test_an_inconsistent_delta_changes_nothing(change: Change) -> None:
    holder = holding("s")
    valid = Change(P(2, 11), "s", (row("c"),))
    result = holder.on_update(7, delta(P(2, 10), P(2, 12), valid, change))
    assert result == UpdateResult(UpdateStatus.MALFORMED)
    assert holder.rows("s") == rows("a", "b")


def test_a_new_service_needs_a_complete_change_first() -> None:
    holder = holding("s")
    assert holder.on_assignment(1, {"s": "r", "t": "r"}, ()) == ()
    assert holder.rows("t") is None
    assert not holder.on_request_start("t")
    assert holder.subscribed_services("r") == {"s", "t"}
    assert holder.current_services("r") == {"s"}
    assert holder.stale_services("r") == {"t"}
    part = Change(P(2, 11), "t", (row("c"),))
    also = Change(P(2, 11), "s", (row("c"),))
    assert holder.on_update(2, delta(P(2, 10), P(2, 11), also, part)) == UpdateResult(
        UpdateStatus.GAP
    )
    assert holder.rows("s") == rows("a", "b")  # no part of it was applied
    complete = Change(P(2, 10), "t", (row("a"),), complete=True)
    assert holder.on_update(2, delta(P(2, 10), P(2, 10), complete)) == UpdateResult(
        UpdateStatus.APPLIED, ("t",)
    )
    assert holder.rows("t") == rows("a")
    assert holder.current_services("r") == {"s", "t"}
    assert holder.on_update(3, delta(P(2, 10), P(2, 11), also, part)).status is UpdateStatus.APPLIED
    assert holder.rows("t") == rows("a", "c")


def test_a_change_of_a_service_at_the_time_of_its_assignment() -> None:
    """A service changes at the same time as it is assigned to the node."""
    change = Change(P(2, 11), "t", (row("a", draining=True),))
    complete = Change(P(2, 11), "t", (row("a", draining=True), row("b")), complete=True)
    before = delta(P(2, 10), P(2, 11), change)  # as sent to earlier holders
    together = delta(P(2, 10), P(2, 11), complete)
    holder = holding("s")  # the change arrives first
    assert holder.on_update(1, before).status is UpdateStatus.NOT_WANTED
    assert holder.on_assignment(2, {"s": "r", "t": "r"}, ()) == ()
    assert holder.rows("t") is None
    late = Change(P(2, 11), "t", complete.rows, complete=True)
    assert holder.on_update(3, delta(P(2, 11), P(2, 11), late)).status is UpdateStatus.APPLIED
    assert holder.rows("t") == {"a": row("a", draining=True), "b": row("b")}
    holder = holding("s")  # the assignment arrives first
    assert holder.on_assignment(1, {"s": "r", "t": "r"}, ()) == ()
    assert holder.on_update(2, before).status is UpdateStatus.GAP
    assert holder.on_update(3, together).status is UpdateStatus.APPLIED
    assert holder.rows("t") == {"a": row("a", draining=True), "b": row("b")}


def test_an_answer_to_an_earlier_poll_does_not_cover_later_services() -> None:
    """A service is assigned while a poll is open.

    The answer to that poll does not include the service, so the service must not count as current
    at the answer's position.
    """
    holder = holding("s")
    early = holder.make_subscription("r")
    assert early == Subscription("r", P(2, 10), frozenset("s"), frozenset("s"))
    assert holder.on_assignment(1, {"s": "r", "t": "r"}, ()) == ()
    complete = Change(P(2, 10), "t", (row("a"),), complete=True)
    second = holder.make_subscription("r")
    assert second == Subscription("r", P(2, 10), frozenset("st"), frozenset("s"))
    assert (
        holder.on_update(2, delta(P(2, 10), P(2, 10), complete), second).status
        is UpdateStatus.APPLIED
    )
    # Meanwhile t's backend was drained. This answer does not include that, as its poll lacked t.
    assert holder.on_update(3, delta(P(2, 10), P(2, 11)), early).status is UpdateStatus.APPLIED
    assert holder.rows("t") == rows("a")
    assert holder.current_services("r") == {"s"}


def test_a_snapshot_does_not_change_services_that_it_does_not_include() -> None:
    holder = holding("s", "t")
    assert (
        holder.on_update(1, Snapshot("r", P(2, 20), {"s": rows("c")})).status
        is UpdateStatus.APPLIED
    )
    assert holder.rows("t") == rows("a", "b")  # the old rows are still served
    assert holder.current_services("r") == {"s"}
    stale = Change(P(2, 21), "t", (row("d"),))
    assert holder.on_update(2, delta(P(2, 20), P(2, 21), stale)).status is UpdateStatus.GAP


def test_a_deleted_service_has_no_rows_and_may_be_created_again() -> None:
    holder = holding("s")
    deletion = Change(P(2, 11), "s", deleted=True)
    assert holder.on_update(1, delta(P(2, 10), P(2, 11), deletion)) == UpdateResult(
        UpdateStatus.APPLIED, ("s",)
    )
    assert holder.rows("s") is None
    assert not holder.on_request_start("s")
    assert holder.retained_bytes == SERVICE_BYTES
    recreated = Change(P(2, 12), "s", (row("z"),))
    assert holder.on_update(2, delta(P(2, 11), P(2, 12), recreated)).status is UpdateStatus.APPLIED
    assert holder.rows("s") == rows("z")


def test_a_service_is_dropped_only_when_releasable_and_idle() -> None:
    """A service moves to another node.

    If it were dropped with requests in flight, or before the other node serves it, requests would
    fail.
    """
    holder = holding("s")
    assert holder.on_request_start("s")
    assert holder.on_request_start("s")
    assert holder.on_assignment(1, {}, ()) == ()  # moved away, but no other node serves it yet
    assert holder.on_request_start("s")
    holder.on_request_end("s")
    assert holder.rows("s") == rows("a", "b")
    drain = Change(P(2, 11), "s", (row("a", draining=True),))
    assert holder.on_update(2, delta(P(2, 10), P(2, 11), drain)).changed == ("s",)
    assert holder.on_assignment(3, {}, ("s",)) == ()
    holder.on_request_end("s")
    assert holder.rows("s") is not None
    assert holder.drain_released() == ()
    holder.on_request_end("s")
    assert holder.rows("s") is None
    assert holder.drain_released() == ("s",)
    assert holder.drain_released() == ()
    assert not holder.on_request_start("s")
    assert holder.retained_bytes == 0
    assert holder.subscribed_services("r") == frozenset()


def test_an_idle_service_is_retained_until_it_may_be_released() -> None:
    holder = holding("s")
    assert holder.on_assignment(1, {}, ()) == ()
    for now in (1, SECOND, 3600 * SECOND):
        assert holder.on_update(now, delta(P(2, 10), P(2, 10))).status is UpdateStatus.APPLIED
        assert holder.rows("s") == rows("a", "b")
    assert holder.on_assignment(2, {}, ("s",)) == ()
    assert holder.drain_released() == ("s",)


def test_a_service_is_retained_after_its_release_was_revoked() -> None:
    """A new holder dies, and the control machine revokes the permission to release the service."""
    holder = holding("s")
    assert holder.on_request_start("s")
    assert holder.on_assignment(1, {}, ("s",)) == ()
    assert holder.on_assignment(2, {}, ()) == ()
    holder.on_request_end("s")
    assert holder.rows("s") == rows("a", "b")


def test_a_service_that_is_never_idle_is_closed_after_the_drain_timeout() -> None:
    """A service has moved away, but its requests never pause, so it could never be released."""
    holder = holding("s", limits=HolderLimits(drain_timeout_ns=10))
    assert holder.on_request_start("s")
    assert holder.on_assignment(100, {}, ("s",)) == ()
    assert holder.on_assignment(109, {}, ("s",)) == ()
    assert holder.on_request_start("s")
    assert holder.serving() == {"s"}
    assert holder.on_assignment(110, {}, ("s",)) == ()
    assert not holder.on_request_start("s")
    assert holder.serving() == frozenset()
    holder.on_request_end("s")
    assert holder.rows("s") is not None
    holder.on_request_end("s")
    assert holder.drain_released() == ("s",)


def test_a_service_that_is_assigned_again_is_served_and_has_to_be_sent_completely() -> None:
    holder = holding("s", limits=HolderLimits(drain_timeout_ns=10))
    assert holder.on_request_start("s")
    assert holder.on_assignment(100, {}, ("s",)) == ()
    assert holder.on_assignment(200, {}, ("s",)) == ()  # closed
    assert holder.on_assignment(201, {"s": "r"}, ()) == ()
    assert holder.on_request_start("s")
    assert holder.current_services("r") == frozenset()  # changes may not have been sent meanwhile
    holder.on_request_end("s")
    holder.on_request_end("s")
    assert holder.drain_released() == ()


def test_a_service_that_is_dropped_and_assigned_again_is_not_returned_as_released() -> None:
    holder = holding("s")
    assert holder.on_assignment(1, {}, ("s",)) == ()
    assert holder.on_assignment(2, {"s": "r"}, ()) == ()
    assert holder.drain_released() == ()
    assert holder.rows("s") is None


def test_a_service_that_moves_away_before_its_rows_were_received_is_dropped() -> None:
    holder = make("s")
    assert holder.on_assignment(1, {}, ()) == ()
    assert holder.subscribed_services("r") == frozenset()
    assert holder.retained_bytes == 0


def test_without_a_control_machine_a_node_continues_to_serve_and_its_age_increases() -> None:
    """No control machine is reachable for a day."""
    holder = make("s")
    assert holder.age(5, "r") is None
    assert (
        holder.on_update(10, Snapshot("r", P(1, 1), {"s": rows("a")})).status
        is UpdateStatus.APPLIED
    )
    assert holder.age(10, "r") == 0
    day = 86_400 * SECOND
    assert holder.on_request_start("s")
    assert holder.age(10 + day, "r") == day
    assert not holder.on_up_to_date(10 + day, "r", P(1, 2))
    assert holder.age(10 + day, "r") == day
    assert holder.on_up_to_date(10 + day, "r", P(1, 1))
    assert holder.age(11 + day, "r") == 1
    assert holder.age(11 + day, "q") is None


def test_an_unknown_region_is_refused_and_changes_nothing() -> None:
    holder = holding("s")
    with pytest.raises(InvalidInputError, match="unknown region 'x', must be one of q, r"):
        holder.on_update(1, Snapshot("x", P(1, 1)))
    with pytest.raises(InvalidInputError, match="unknown region 'x'"):
        holder.on_assignment(1, {"t": "r", "u": "x"}, ("s",))
    with pytest.raises(InvalidInputError, match="service 's' is of region 'r', not 'q'"):
        holder.on_assignment(1, {"s": "q"}, ())
    assert holder.subscribed_services("r") == {"s"}
