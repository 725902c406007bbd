"""A control machine's answers to its subscribers: updates, rate limiting and redirects."""

from __future__ import annotations

from collections import Counter

import pytest

from loadbalancer.core.assignment.model import (
    START,
    Change,
    Delta,
    MachineSpec,
    Position,
    Row,
    Snapshot,
)
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.core.subscription.answers import (
    Redirect,
    Refusal,
    Refused,
    RetryAfter,
    SendUpdate,
    Wait,
)
from loadbalancer.core.subscription.publisher import Publisher, PublisherLimits

MACHINES = [
    MachineSpec(f"{region}-{i}", region, f"{region}-z{i % 2}")
    for region in ("east", "west")
    for i in range(3)
]
NODES = {f"n{i}": "east" if i % 2 else "west" for i in range(240)}
SERVICES = frozenset(f"s{i}" for i in range(6))


class Rig:
    """One machine's publisher, and a log that has all services."""

    def __init__(self, limits: PublisherLimits | None = None, max_changes: int = 20) -> None:
        self.log = ChangeLog("east", max_changes, 1 << 20)
        self.publisher = Publisher(
            MACHINES[0], MACHINES, {"east": self.log}, limits or PublisherLimits()
        )
        self.publisher.on_registered_nodes(NODES)
        living = [spec.name for spec in MACHINES]
        self.nodes = [
            node for node in NODES if self.publisher.machine_for(node, living) == "east-0"
        ]
        self.node = self.nodes[0]
        for name in sorted(SERVICES):
            self.change(name)

    def change(self, service: str, uid: str = "u", size: int = 80) -> Change:
        revision = self.log.position.revision + 1
        change = Change(Position(1, revision), service, (Row(uid, str(revision) * (size // 2)),))
        self.log.append(change)
        return change


def test_only_waiting_subscribers_of_a_changed_service_are_answered_again() -> None:
    rig = Rig()
    position = rig.log.position
    for index, node in enumerate(rig.nodes):
        wanted = frozenset({"s0"} if index < 3 else {"s1"})
        answer = rig.publisher.subscribe(0, node, "east", position, wanted, wanted)
        assert isinstance(answer, Wait)
        assert answer.until_ns is None
    to_answer = rig.publisher.on_change("east", rig.change("s0"))
    assert sorted(to_answer) == sorted(rig.nodes[:3])
    answer = rig.publisher.subscribe(0, to_answer[0], "east", position, frozenset({"s0"}))
    # This machine does not know what the node holds, so it sends s0 completely.
    assert isinstance(answer, SendUpdate)
    assert answer.update.position == rig.log.position


def test_a_change_and_an_assignment_at_the_same_time_are_sent_in_one_update() -> None:
    """A service is assigned to a node at the same time as another of its services changes."""
    rig = Rig()
    position = rig.log.position
    rig.change("s0", "u0")
    rig.change("s1", "u1")
    current = frozenset({"s0"})
    answer = rig.publisher.subscribe(
        0, rig.node, "east", position, frozenset({"s0", "s1"}), current
    )
    assert isinstance(answer, SendUpdate)
    assert isinstance(answer.update, Delta)
    assert answer.update.base == position
    assert answer.update.position == rig.log.position
    by_name = {change.service: change for change in answer.update.changes}
    assert by_name["s1"].complete
    assert len(by_name["s1"].rows) == 2
    assert not by_name["s0"].complete
    # What this machine has sent counts as held if the node polls with the position of that update.
    again = rig.publisher.subscribe(1, rig.node, "east", rig.log.position, frozenset({"s0", "s1"}))
    assert isinstance(again, Wait)


def test_the_services_in_a_lost_answer_do_not_count_as_held() -> None:
    """An answer with a newly assigned service is lost, and the node polls with its old position.

    It could not apply a delta of that service.
    """
    rig = Rig()
    position = rig.log.position
    services = frozenset({"s0", "s1"})
    rig.change("s0")
    lost = rig.publisher.subscribe(0, rig.node, "east", position, services, frozenset({"s0"}))
    assert isinstance(lost, SendUpdate)
    rig.change("s1")
    again = rig.publisher.subscribe(1, rig.node, "east", position, services)
    assert isinstance(again, SendUpdate)
    assert isinstance(again.update, Delta)
    assert {change.service for change in again.update.changes if change.complete} == services


def test_a_position_of_another_history_is_answered_with_a_snapshot() -> None:
    """A node has a change that was never committed, as its leader died.

    If it got a delta, it would keep the rows of that change.
    """
    rig = Rig()
    revision = rig.log.position.revision + 1
    rig.log.append(Change(Position(3, revision), "s0", (Row("committed", "x"),)))
    lost = Position(2, revision)
    answer = rig.publisher.subscribe(0, rig.node, "east", lost, SERVICES, SERVICES)
    assert isinstance(answer, SendUpdate)
    assert isinstance(answer.update, Snapshot)
    assert "committed" in answer.update.services["s0"]


def test_changes_of_services_that_are_not_assigned_are_not_sent() -> None:
    """A node's subscription lists a service that has moved away from it as current."""
    rig = Rig()
    position = rig.log.position
    assigned, held = frozenset({"s0"}), frozenset({"s0", "s1"})
    assert isinstance(rig.publisher.subscribe(0, rig.node, "east", position, assigned, held), Wait)
    assert rig.publisher.on_change("east", rig.change("s1")) == ()
    assert isinstance(rig.publisher.subscribe(0, rig.node, "east", position, assigned, held), Wait)


def test_a_subscriber_behind_the_compacted_log_gets_complete_services() -> None:
    """A subscriber was disconnected until changes of one of its services were compacted."""
    rig = Rig(max_changes=10)
    position = rig.log.position
    for _ in range(50):
        rig.change("s0")
    rig.change("s1")
    answer = rig.publisher.subscribe(0, rig.node, "east", position, SERVICES, SERVICES)
    assert isinstance(answer, SendUpdate)
    assert isinstance(answer.update, Delta)
    assert [change.service for change in answer.update.changes if change.complete] == ["s0"]
    assert len(answer.update.changes) == 2


@pytest.mark.parametrize("position", [Position(1, 99), Position(2, 3), Position(2, 99)])
def test_a_machine_behind_its_subscriber_redirects_it_once(position: Position) -> None:
    """A node has polled a machine whose log was ahead of this one.

    It would ignore an older snapshot. Two machines that are both behind must not redirect it to
    each other in a loop.
    """
    rig = Rig()
    answer = rig.publisher.subscribe(0, rig.node, "east", position, SERVICES, SERVICES)
    assert isinstance(answer, Redirect)
    assert answer.machine != "east-0"
    again = rig.publisher.subscribe(0, rig.node, "east", position, SERVICES, SERVICES, True)
    assert isinstance(again, RetryAfter)  # no redirect loop


def test_a_machine_without_a_log_sends_no_empty_snapshot() -> None:
    """A machine has just started. An empty snapshot would remove all backends at every node."""
    rig = Rig()
    rig.log.reset()
    answer = rig.publisher.subscribe(0, rig.node, "east", START, SERVICES)
    assert isinstance(answer, RetryAfter)


def test_invalid_subscriptions_are_refused_counted_and_change_nothing() -> None:
    rig = Rig(PublisherLimits(max_services=10))
    many = frozenset(str(i) for i in range(11))
    subscribe = rig.publisher.subscribe
    assert subscribe(0, "nobody", "east", START, SERVICES) == Refused(Refusal.UNKNOWN_NODE)
    assert subscribe(0, rig.node, "north", START, SERVICES) == Refused(Refusal.UNKNOWN_REGION)
    assert subscribe(0, rig.node, "east", START, many) == Refused(Refusal.TOO_MANY_SERVICES)
    invalid = [Position(-1, 3), Position(1, -3), Position(0, 5), Position(10**9, 1)]
    for position in [*invalid, Position(1, 1 << 41)]:
        refused = subscribe(0, rig.node, "east", position, SERVICES)
        assert refused == Refused(Refusal.INVALID_POSITION)
    assert rig.publisher.counts["refused: nonsense position"] == 5
    assert not len(rig.publisher._subscribers)
    assert not rig.publisher._subscribers._by_service
    assert rig.publisher.counts["refused: unknown node"] == 1


def test_snapshots_for_many_nodes_respect_the_rate_limit_with_one_retry_each() -> None:
    """All nodes of a machine restart at once and need snapshots."""
    rig = Rig(PublisherLimits(snapshot_rate=5_000, snapshot_burst=5_000))
    sent: Counter[int] = Counter()
    polls: Counter[str] = Counter()
    due = [(0, node) for node in rig.nodes]
    while due:
        due.sort()
        now, node = due.pop(0)
        polls[node] += 1
        answer = rig.publisher.subscribe(now, node, "east", START, SERVICES)
        if isinstance(answer, RetryAfter):
            due.append((now + answer.delay_ns, node))
        else:
            assert isinstance(answer, SendUpdate)
            assert isinstance(answer.update, Snapshot)
            assert set(answer.update.services) == SERVICES
            sent[now // SECOND] += answer.size
    assert max(polls.values()) <= 2
    assert len(polls) == len(rig.nodes)
    assert max(sent.values()) <= 5_000 + 5_000 + 1_000
    assert len(sent) > 2


def test_changes_and_drains_do_not_wait_for_snapshots() -> None:
    """Many nodes wait for snapshots.

    If a drain waited behind them, nodes would receive it after the backend has shut down.
    """
    rig = Rig(PublisherLimits(snapshot_rate=1_000, snapshot_burst=1_000, unpaced_bytes=100))
    position = rig.log.position
    for node in rig.nodes[1:]:
        rig.publisher.subscribe(0, node, "east", START, SERVICES)
    rig.change("s0")
    current = frozenset({"s0"})
    answer = rig.publisher.subscribe(0, rig.node, "east", position, SERVICES, current)
    assert isinstance(answer, SendUpdate)
    assert isinstance(answer.update, Delta)
    assert [change.service for change in answer.update.changes] == ["s0"]  # others are delayed
    position = rig.log.position
    waits = rig.publisher.subscribe(0, rig.node, "east", position, SERVICES, current)
    assert isinstance(waits, Wait)
    assert waits.until_ns is not None
    # A change is sent before the delay ends.
    assert rig.node in rig.publisher.on_change("east", rig.change("s0"))
    later = rig.publisher.subscribe(waits.until_ns, rig.node, "east", position, SERVICES, current)
    assert isinstance(later, SendUpdate)
    assert isinstance(later.update, Delta)
    complete = {change.service for change in later.update.changes if change.complete}
    assert complete == SERVICES - current


def test_a_node_of_another_machine_is_redirected_once() -> None:
    rig = Rig()
    other = next(node for node in NODES if node not in rig.nodes)
    answer = rig.publisher.subscribe(0, other, "east", START, SERVICES)
    assert isinstance(answer, Redirect)
    here = rig.publisher.subscribe(0, other, "east", START, SERVICES, None, True)
    assert isinstance(here, SendUpdate)


def test_the_state_of_a_node_that_moves_to_another_machine_is_removed() -> None:
    rig = Rig()
    living = [spec.name for spec in MACHINES if spec.name != "east-1"]
    position = rig.log.position
    rig.publisher.on_live_machines(living)
    temporary = [
        node for node in NODES
        if rig.publisher.machine_for(node, living) == "east-0" and node not in rig.nodes
    ]  # fmt: skip
    assert temporary
    for node in temporary:
        answer = rig.publisher.subscribe(0, node, "east", position, SERVICES, SERVICES)
        assert isinstance(answer, Wait)
    to_answer = rig.publisher.on_live_machines([spec.name for spec in MACHINES])
    assert sorted(to_answer) == sorted((node, "east") for node in temporary)
    assert not len(rig.publisher._subscribers)
    assert not rig.publisher._subscribers._by_service
