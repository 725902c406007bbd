"""What a control machine answers its subscribers: updates, pace, and who is sent elsewhere."""

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
from loadbalancer.core.subscription.placement import LOAD_BOUND, Placement
from loadbalancer.core.subscription.publisher import (
    Publisher,
    PublisherLimits,
    Redirect,
    Refusal,
    Refused,
    RetryAfter,
    SendUpdate,
    Wait,
)

MACHINES = [
    MachineSpec(f"{region}-{i}", region, f"{region}-z{i % 2}")
    for region in ("east", "west")
    for i in range(3)
]
NODES = {f"n{i}": "east" if i % 2 else "west" for i in range(240)}
SERVICES = frozenset(f"s{i}" for i in range(6))


class Rig:
    """One machine's publisher, with a log that has all services."""

    def __init__(self, limits: PublisherLimits | None = None, most_changes: int = 20) -> None:
        self.log = ChangeLog("east", most_changes, 1 << 20)
        self.publisher = Publisher(
            MACHINES[0], MACHINES, {"east": self.log}, limits or PublisherLimits()
        )
        self.publisher.on_nodes(NODES)
        living = [spec.name for spec in MACHINES]
        self.mine = [node for node in NODES if self.publisher.machine_for(node, living) == "east-0"]
        self.node = self.mine[0]
        for name in sorted(SERVICES):
            self.change(name)

    def change(self, service: str, uid: str = "u", size: int = 80) -> Change:
        revision = self.log.position.revision + 1
        change = Change(Position(1, revision), service, (Row(uid, str(revision) * (size // 2)),))
        self.log.append(change)
        return change


def test_a_change_goes_to_its_subscribers_alone_and_costs_as_much() -> None:
    rig = Rig()
    position = rig.log.position
    for index, node in enumerate(rig.mine):
        wanted = frozenset({"s0"} if index < 3 else {"s1"})
        answer = rig.publisher.subscribe(0, node, "east", position, wanted, wanted)
        assert isinstance(answer, Wait) and answer.until is None
    woken = rig.publisher.on_change("east", rig.change("s0"))
    assert sorted(woken) == sorted(rig.mine[:3])
    answer = rig.publisher.subscribe(0, woken[0], "east", position, frozenset({"s0"}))
    # It held nothing that this machine knows of, so it has to be given s0 whole.
    assert isinstance(answer, SendUpdate) and answer.update.position == rig.log.position


def test_a_change_and_a_move_in_the_same_instant_leave_no_gap() -> None:
    rig = Rig()
    position = rig.log.position
    rig.change("s0", "u0")
    rig.change("s1", "u1")
    held = frozenset({"s0"})
    answer = rig.publisher.subscribe(0, rig.node, "east", position, frozenset({"s0", "s1"}), held)
    assert isinstance(answer, SendUpdate) and isinstance(answer.update, Delta)
    assert answer.update.base == position and answer.update.position == rig.log.position
    by_name = {change.service: change for change in answer.update.changes}
    assert by_name["s1"].complete and len(by_name["s1"].rows) == 2 and not by_name["s0"].complete
    # What this machine sent counts as held when the node comes back from there.
    again = rig.publisher.subscribe(1, rig.node, "east", rig.log.position, frozenset({"s0", "s1"}))
    assert isinstance(again, Wait)


def test_a_subscriber_slower_than_the_changes_gets_the_services_whole() -> None:
    rig = Rig(most_changes=10)
    position = rig.log.position
    for _ in range(50):
        rig.change("s0")
    rig.change("s1")
    answer = rig.publisher.subscribe(0, rig.node, "east", position, SERVICES, SERVICES)
    assert isinstance(answer, SendUpdate) and isinstance(answer.update, Delta)
    assert [change.service for change in answer.update.changes if change.complete] == ["s0"]
    assert len(answer.update.changes) == 2


@pytest.mark.parametrize("position", [Position(1, 99), Position(2, 3), Position(2, 99)])
def test_a_machine_that_knows_less_sends_nothing_and_names_another(position: Position) -> None:
    rig = Rig()
    answer = rig.publisher.subscribe(0, rig.node, "east", position, SERVICES, SERVICES)
    assert isinstance(answer, Redirect) and answer.machine != "east-0"
    again = rig.publisher.subscribe(0, rig.node, "east", position, SERVICES, SERVICES, True)
    assert isinstance(again, RetryAfter)  # and nobody is sent round in circles


def test_a_machine_without_a_log_answers_no_empty_snapshot() -> None:
    rig = Rig()
    rig.log.reset()
    answer = rig.publisher.subscribe(0, rig.node, "east", START, SERVICES)
    assert isinstance(answer, RetryAfter)


def test_what_a_peer_feeds_is_refused_counted_and_changes_nothing() -> None:
    rig = Rig(PublisherLimits(max_services=10))
    many = frozenset(str(i) for i in range(11))
    ask = rig.publisher.subscribe
    assert ask(0, "nobody", "east", START, SERVICES) == Refused(Refusal.UNKNOWN_NODE)
    assert ask(0, rig.node, "north", START, SERVICES) == Refused(Refusal.UNKNOWN_REGION)
    assert ask(0, rig.node, "east", START, many) == Refused(Refusal.TOO_MANY_SERVICES)
    nonsense = [Position(-1, 3), Position(1, -3), Position(0, 5), Position(10**9, 1)]
    for position in [*nonsense, Position(1, 1 << 41)]:
        refused = ask(0, rig.node, "east", position, SERVICES)
        assert refused == Refused(Refusal.INVALID_POSITION)
    assert rig.publisher.counts["refused: nonsense position"] == 5
    assert not rig.publisher._subscribers and not rig.publisher._index
    assert rig.publisher.counts["refused: unknown node"] == 1


def test_a_storm_of_cold_nodes_stays_inside_the_bytes_with_one_retry_each() -> None:
    rig = Rig(PublisherLimits(snapshot_rate=5_000, snapshot_burst=5_000))
    sent: Counter[int] = Counter()
    asked: Counter[str] = Counter()
    due = [(0, node) for node in rig.mine]
    while due:
        due.sort()
        now, node = due.pop(0)
        asked[node] += 1
        answer = rig.publisher.subscribe(now, node, "east", START, SERVICES)
        if isinstance(answer, RetryAfter):
            due.append((now + answer.delay, node))
        else:
            assert isinstance(answer, SendUpdate) and isinstance(answer.update, Snapshot)
            assert set(answer.update.services) == SERVICES
            sent[now // SECOND] += answer.size
    assert max(asked.values()) <= 2 and len(asked) == len(rig.mine)
    assert max(sent.values()) <= 5_000 + 5_000 + 1_000 and len(sent) > 2


def test_changes_and_drains_do_not_wait_for_snapshots() -> None:
    rig = Rig(PublisherLimits(snapshot_rate=1_000, snapshot_burst=1_000, unpaced_bytes=100))
    position = rig.log.position
    for node in rig.mine[1:]:
        rig.publisher.subscribe(0, node, "east", START, SERVICES)
    rig.change("s0")
    held = frozenset({"s0"})
    answer = rig.publisher.subscribe(0, rig.node, "east", position, SERVICES, held)
    assert isinstance(answer, SendUpdate) and isinstance(answer.update, Delta)
    assert [change.service for change in answer.update.changes] == ["s0"]  # the rest is put off
    position = rig.log.position
    waits = rig.publisher.subscribe(0, rig.node, "east", position, SERVICES, held)
    assert isinstance(waits, Wait) and waits.until is not None
    assert rig.node in rig.publisher.on_change("east", rig.change("s0"))  # and wakes all the same
    later = rig.publisher.subscribe(waits.until, rig.node, "east", position, SERVICES, held)
    assert isinstance(later, SendUpdate) and isinstance(later.update, Delta)
    whole = {change.service for change in later.update.changes if change.complete}
    assert whole == SERVICES - held


def test_a_dead_machine_s_nodes_alone_move_and_all_stay_within_the_bound() -> None:
    placement = Placement(NODES, MACHINES)
    names = [spec.name for spec in MACHINES]
    before = {node: placement.machine_for(node, names) for node in NODES}
    for count in (1, 2):
        living = names[count:]
        after = {node: placement.machine_for(node, living) for node in NODES}
        moved = {node for node in NODES if before[node] != after[node]}
        assert moved == {node for node in NODES if before[node] not in living}
        loads = Counter(after.values())
        assert max(loads.values()) <= LOAD_BOUND * len(NODES) / len(living) + 1
        assert set(loads) == set(living)
    regions = {spec.name: spec.region for spec in MACHINES}
    home = sum(regions[str(before[node])] == NODES[node] for node in NODES)
    assert home > 0.9 * len(NODES)
    # Without its region a node goes to the other one.
    assert placement.machine_for("n1", ["west-0"]) == "west-0"
    assert placement.machine_for("n1", []) is None and placement.machine_for("x", names) is None


def test_who_belongs_elsewhere_is_sent_there_unless_sent_here() -> None:
    rig = Rig()
    other = next(node for node in NODES if node not in rig.mine)
    answer = rig.publisher.subscribe(0, other, "east", START, SERVICES)
    assert isinstance(answer, Redirect)
    here = rig.publisher.subscribe(0, other, "east", START, SERVICES, None, True)
    assert isinstance(here, SendUpdate)


def test_a_node_that_moves_away_is_forgotten_here() -> None:
    rig = Rig()
    living = [spec.name for spec in MACHINES if spec.name != "east-1"]
    position = rig.log.position
    rig.publisher.on_living(living)
    guests = [
        node for node in NODES
        if rig.publisher.machine_for(node, living) == "east-0" and node not in rig.mine
    ]  # fmt: skip
    assert guests
    for node in guests:
        answer = rig.publisher.subscribe(0, node, "east", position, SERVICES, SERVICES)
        assert isinstance(answer, Wait)
    woken = rig.publisher.on_living([spec.name for spec in MACHINES])
    assert sorted(woken) == sorted((node, "east") for node in guests)
    assert not rig.publisher._subscribers and not rig.publisher._index
