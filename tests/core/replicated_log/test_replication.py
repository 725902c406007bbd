"""The log of a region: who accepts, who leads, who may vote, and how the others follow."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from loadbalancer.core.assignment.model import START, Change, MachineSpec, Position, Row
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.replicated_log.change_log import ChangeLog, change_size
from loadbalancer.core.replicated_log.entries import Entries, marker
from loadbalancer.core.replicated_log.learner import Learner
from loadbalancer.core.replicated_log.messages import (
    Append,
    Appended,
    Fetch,
    Fetched,
    ImagePart,
    Message,
    Vote,
    VoteRequest,
)
from loadbalancer.core.replicated_log.raft import Member
from loadbalancer.core.replicated_log.replication import ONE_WRITER, Outcome, Replica, Role, Timing

REGIONS = ("east", "west")
SPECS = [MachineSpec(f"{region}-{i}", region, region) for region in REGIONS for i in range(3)]
EAST = ["east-0", "east-1", "east-2"]
STEP = 50 * MS
Sent = tuple[str, str, Message]  # sender, recipient


class Group:
    """Six machines; messages of one step arrive in the next, unless `drops` says no."""

    def __init__(self, services: int = 4, most_changes: int = 500, most_bytes: int = 4096) -> None:
        self.now = 0
        self.services = services
        self.most_changes = most_changes
        self.timing = Timing(most_bytes=most_bytes)
        self.replicas: dict[str, Replica] = {}
        self.logs: dict[str, dict[str, ChangeLog]] = {}
        self.lives = 0
        self.stopped: set[str] = set()
        self.under_way: list[Sent] = []
        self.drops: Callable[[str, str, Message], bool] = lambda a, b, message: False
        self.loads: list[str] = []
        self.seen: list[Message] = []
        self.committed: dict[str, list[Change]] = {}
        for spec in SPECS:
            self.start(spec.name)

    def start(self, name: str) -> None:
        spec = next(spec for spec in SPECS if spec.name == name)
        self.lives += 1
        logs = {region: ChangeLog(region, self.most_changes, 1 << 20) for region in REGIONS}
        self.logs[name] = logs
        self.committed[name] = []
        self.replicas[name] = Replica(spec, SPECS, logs, self.lives, self.now, self.timing)

    def kill(self, *names: str) -> None:
        for name in names:
            del self.replicas[name]

    def run(self, span: int, done: Callable[[], bool] | None = None) -> bool:
        until = self.now + span
        while self.now < until and not (done is not None and done()):
            self.now += STEP
            arriving, self.under_way = self.under_way, []
            for sender, to, message in arriving:
                if to in self.stopped:
                    self.under_way.append((sender, to, message))
                elif to in self.replicas and not self.drops(sender, to, message):
                    self.replicas[to].on_message(self.now, sender, message)
            for name, replica in self.replicas.items():
                if name not in self.stopped:
                    replica.on_tick(self.now)
                    if replica.needs_load():
                        self.loads.append(name)
                        replica.load(self.now, self.source(name.split("-")[0]))
                    self.drain(name)
        return done is not None and done()

    def drain(self, name: str) -> None:
        replica = self.replicas[name]
        for to, message in replica.outgoing():
            self.seen.append(message)
            self.under_way.append((name, to, message))
        replica.restored()
        self.committed[name] += [change for region, change in replica.committed()]

    def source(self, region: str) -> dict[str, list[Row]]:
        return {f"{region}-s{i}": [Row(f"u{i}", "loaded")] for i in range(self.services)}

    def leader(self, region: str = "east") -> str:
        led = [
            name
            for name, replica in self.replicas.items()
            if replica.role is Role.LEADER and name.startswith(region) and name not in self.stopped
        ]
        return max(led, key=lambda name: self.replicas[name].epoch, default="")

    def ready(self) -> bool:
        logs = [log for name in self.replicas for log in self.logs[name].values()]
        return all(log.position > START for log in logs) and bool(self.leader())

    def has(self, name: str, uid: str) -> bool:
        return uid in (self.logs[name]["east"].rows("east-s0") or {})

    def propose(self, name: str, uid: str) -> Position:
        proposal = self.replicas[name].propose(self.now, "east-s0", [Row(uid, "x")])
        assert proposal.outcome is Outcome.PROPOSED and proposal.position is not None
        self.drain(name)
        return proposal.position

    def everywhere(self, uid: str) -> bool:
        return all(self.has(name, uid) for name in self.replicas)


def started(**sizes: int) -> Group:
    group = Group(**sizes)
    assert group.run(15 * SECOND, group.ready)
    return group


def cut(group: Group, *names: str) -> None:
    """Nothing passes between these and the others."""
    group.drops = lambda a, b, message: (a in names) != (b in names)


def test_a_change_is_accepted_by_a_majority_and_comes_to_all_machines_at_once() -> None:
    group = started()
    began = group.now
    group.propose(group.leader(), "new")
    assert group.run(SECOND, lambda: group.everywhere("new"))
    assert group.now - began <= 5 * STEP
    positions = {group.logs[name]["east"].position for name in group.replicas}
    assert len(positions) == 1


def test_one_writer_a_service_and_the_others_name_the_leader() -> None:
    group = started()
    wrong = group.replicas["west-0"].propose(group.now, "east-s0", [Row("u", "x")])
    assert wrong.outcome is Outcome.WRONG_REGION and wrong.rule == ONE_WRITER
    stated = group.replicas["east-0"].propose(group.now, "new", [Row("u", "x")], region="west")
    assert stated.outcome is Outcome.WRONG_REGION
    other = next(name for name in EAST if name != group.leader())
    refused = group.replicas[other].propose(group.now, "east-s0", [Row("u", "x")])
    assert refused.outcome is Outcome.NOT_LEADER and refused.leader == group.leader()


def test_without_a_majority_nothing_is_accepted() -> None:
    group = started()
    leader = group.leader()
    cut(group, leader)
    group.propose(leader, "alone")
    group.run(5 * SECOND)
    assert not any(group.has(name, "alone") for name in group.replicas)
    assert group.replicas[leader].role is not Role.LEADER  # it gave up by itself
    assert group.leader() and group.leader() != leader


def test_proposals_without_a_majority_are_bounded() -> None:
    group = started()
    leader = group.leader()
    for _ in range(group.timing.most_proposed):
        group.replicas[leader].propose(group.now, "east-s0", [Row("u", "x")])
    last = group.replicas[leader].propose(group.now, "east-s0", [Row("u", "x")])
    assert last.outcome is Outcome.BUSY


def test_a_leader_killed_in_the_middle_of_a_push_loses_nothing_accepted() -> None:
    group = started()
    leader = group.leader()
    epoch = group.replicas[leader].epoch
    group.propose(leader, "kept")
    other = next(name for name in EAST if name != leader)
    assert group.run(SECOND, lambda: group.has(leader, "kept"))
    group.kill(leader)
    assert group.run(10 * SECOND, lambda: group.leader() in EAST)
    assert group.replicas[other].epoch > epoch
    assert group.run(5 * SECOND, lambda: group.everywhere("kept"))


def test_a_leader_stopped_for_30_s_in_a_push_goes_on_without_harm() -> None:
    group = started()
    leader = group.leader()
    for i in range(3):
        group.propose(leader, f"late-{i}")
    group.under_way = [sent for sent in group.under_way if sent[0] != leader]  # none had left
    group.stopped.add(leader)
    group.run(30 * SECOND)
    successor = group.leader()
    assert successor and successor != leader
    group.propose(successor, "meanwhile")
    group.run(SECOND)
    group.stopped.clear()
    stale = group.replicas[leader].propose(group.now, "east-s0", [Row("stale", "x")])
    assert stale.outcome is Outcome.PROPOSED  # it does not know yet
    group.drain(leader)
    group.run(3 * SECOND)
    assert group.leader() == successor and group.everywhere("meanwhile")
    for uid in ("stale", "late-0", "late-1", "late-2"):
        assert not any(group.has(name, uid) for name in group.replicas)


@pytest.mark.parametrize("direction", ["hears nobody", "is heard by nobody"])
def test_one_way_links_of_a_leader_cost_an_election_at_most(direction: str) -> None:
    group = started()
    leader = group.leader()
    if direction == "hears nobody":
        group.drops = lambda a, b, message: b == leader
    else:
        group.drops = lambda a, b, message: a == leader
    others = [name for name in group.replicas if name != leader]
    assert group.run(10 * SECOND, lambda: group.leader() not in ("", leader))
    group.propose(group.leader(), "on")
    assert group.run(3 * SECOND, lambda: all(group.has(name, "on") for name in others))
    group.drops = lambda a, b, message: False
    assert group.run(5 * SECOND, lambda: group.everywhere("on"))
    assert group.replicas[leader].epoch < 2000  # and it did not raise epochs meanwhile


@pytest.mark.parametrize("kinds", [(Append,), (Append, Vote, Fetched, ImagePart)])
def test_a_follower_that_does_not_hear_its_leader_does_not_disturb_it(
    kinds: tuple[type, ...],
) -> None:
    group = started()
    leader, epoch = group.leader(), group.replicas[group.leader()].epoch
    deaf = next(name for name in EAST if name != leader)
    group.drops = lambda a, b, message: b == deaf and isinstance(message, kinds)
    group.run(20 * SECOND)
    group.drops = lambda a, b, message: False
    group.run(3 * SECOND)
    assert group.leader() == leader and group.replicas[leader].epoch == epoch


def test_entries_of_an_earlier_epoch_are_accepted_with_one_of_the_leader_s_own() -> None:
    """Raft, section 5.4.2: a majority alone does not make them final."""
    log = ChangeLog("east", 100, 1 << 20)
    out: list[tuple[str, Message]] = []
    member = Member("east", "east-0", EAST, log, 1, 0, Timing(), out)
    log.append(Change(Position(1, 1), "a"))
    member.entries = Entries(log)
    member.role, member.epoch = Role.FOLLOWER, 2
    older = Change(Position(2, 2), "a", (Row("u", "x"),))
    assert member.entries.take(Position(1, 1), (older,))
    member.on_tick(3 * SECOND)
    member.on_vote(3 * SECOND, "east-1", Vote("east", 3, 2, True, trial=True))
    member.on_vote(3 * SECOND, "east-1", Vote("east", 3, 3, True))
    assert member.role is Role.LEADER and member.entries.last == Position(3, 3)
    member.on_appended(3 * SECOND, "east-1", Appended("east", 3, True, 2))
    assert log.position == Position(1, 1) and member.accepted == []
    member.on_appended(3 * SECOND, "east-1", Appended("east", 3, True, 3))
    assert log.position == Position(3, 3)


def test_a_load_is_taken_with_its_last_entry_or_not_at_all() -> None:
    log = ChangeLog("east", 100, 1 << 20)
    log.append(Change(Position(1, 1), "old"))
    entries = Entries(log)
    entries.begin(Position(5, 1000))
    loaded = tuple(Change(Position(5, 1000 + n), f"s{n}", complete=True) for n in (1, 2))
    assert entries.take(Position(0, 1000), loaded)
    assert entries.accept(1002) == ([], False)
    assert list(log.services()) == ["old"] and log.position == Position(1, 1)
    assert entries.take(Position(5, 1002), (marker(Position(5, 1003)),))
    taken, replaced = entries.accept(1003)
    assert replaced and len(taken) == 3 and list(log.services()) == ["s1", "s2"]


def test_a_learner_refuses_images_that_are_older_or_nonsense() -> None:
    log = ChangeLog("east", 100, 1 << 20)
    log.append(Change(Position(3, 1), "a"))
    learner = Learner(log, ["east-0", "east-1"], SECOND)
    for number, (position, parts) in enumerate(
        [(Position(2, 9), 1), (Position(3, 1), 1), (Position(4, 2), 0), (Position(4, 2), 1 << 30)]
    ):
        asked = learner.poll(0)
        assert asked is not None
        part = ImagePart("east", asked[1].serial, position, 0, parts, (), 0, (), START)
        assert learner.on_part(part) is None
        assert learner.counts["useless images"] == number + 1


def test_a_machine_that_restarts_empty_neither_votes_nor_counts_until_it_has_caught_up() -> None:
    group = started()
    leader = group.leader()
    holder, lagging = (name for name in EAST if name != leader)
    cut(group, lagging)
    group.propose(leader, "held-by-two")
    assert group.run(SECOND, lambda: group.has(holder, "held-by-two"))
    group.kill(leader, holder)
    group.start(holder)
    group.drops = lambda a, b, message: "west" in a + b  # no help from learners either
    group.run(20 * SECOND)
    # The two that are left are a majority, but one of them has forgotten what it held.
    assert group.leader() == "" and group.replicas[holder].role is Role.EMPTY
    group.start(leader)
    group.drops = lambda a, b, message: False
    assert group.run(20 * SECOND, lambda: group.leader() in EAST and group.ready())
    assert group.loads[-1] in (leader, holder)  # two of three had lost it: loaded again
    assert group.logs[lagging]["east"].position.revision >= 2_000_000


def test_one_that_restarts_empty_comes_back_by_its_two_others() -> None:
    group = started()
    loads = len(group.loads)
    leader = group.leader()
    other = next(name for name in EAST if name != leader)
    group.kill(other)
    group.start(other)
    assert group.run(5 * SECOND, lambda: group.replicas[other].role is Role.FOLLOWER)
    group.kill(leader)
    assert group.run(10 * SECOND, lambda: group.leader() in EAST)
    assert len(group.loads) == loads


def test_all_six_restarted_empty_load_again_above_all_that_is_reported() -> None:
    group = started()
    before = group.logs["east-0"]["east"].position
    names = list(group.replicas)
    group.kill(*names)
    for name in names:
        group.start(name)
    group.run(2 * SECOND)
    # Subscribers report to whichever machine they ask, of either region.
    group.replicas["west-1"].on_reported(group.now, "east", Position(before.epoch + 700, 3_000_007))
    group.replicas["west-1"].on_reported(group.now, "east", Position(-1, 1 << 60))
    assert group.run(20 * SECOND, group.ready)
    position = group.logs["west-0"]["east"].position
    assert position.epoch > before.epoch + 700 and position.revision > 3_000_007
    # Loaded whole or not at all, at every machine.
    for name in names:
        assert sorted(group.logs[name]["east"].services()) == sorted(group.source("east"))


def test_a_position_reported_after_the_load_gets_a_history_above_it() -> None:
    group = started()
    group.propose(group.leader(), "kept")
    group.run(SECOND)
    lost = Position(2_000, 7_000_005)
    for spec in SPECS[:3]:
        group.replicas[spec.name].on_reported(group.now, "east", lost)
    above = lambda: all(  # noqa: E731
        group.logs[name]["east"].position > lost
        and group.logs[name]["east"].position.revision > lost.revision
        for name in group.replicas
    )
    assert group.run(10 * SECOND, above)
    assert group.everywhere("kept")
    group.propose(group.leader(), "on")
    assert group.run(2 * SECOND, lambda: group.everywhere("on"))


def test_late_doubled_and_older_entries_change_nothing() -> None:
    group = started()
    leader = group.leader()
    group.seen.clear()
    for i in range(5):
        group.propose(leader, f"u{i}")
        group.run(2 * STEP)
    assert group.run(2 * SECOND, lambda: group.everywhere("u4"))
    old = [message for message in group.seen if isinstance(message, Append) and message.entries]
    follower = next(name for name in EAST if name != leader)
    before = group.logs[follower]["east"].image()
    for message in reversed(old + old):
        group.replicas[follower].on_message(group.now, leader, message)
    group.kill(leader)
    assert group.run(10 * SECOND, lambda: group.leader() in EAST)
    for message in old:  # now of an older epoch, from a leader that no longer is
        group.replicas[follower].on_message(group.now, leader, message)
    assert group.replicas[follower].counts["older epochs"] >= len(old)
    assert group.logs[follower]["east"].image().rows == before.rows


def test_a_learner_takes_an_image_whole_or_not_at_all() -> None:
    group = started(services=30, most_bytes=400)
    group.kill("west-1")
    group.start("west-1")
    parts = 0

    def drops(sender: str, to: str, message: Message) -> bool:
        nonlocal parts
        if to != "west-1" or not isinstance(message, ImagePart) or message.region != "east":
            return False
        parts += 1
        return parts % 3 == 0  # every third is lost: the image is begun anew elsewhere

    group.drops = drops
    log = group.logs["west-1"]["east"]
    for _ in range(100):
        group.run(2 * STEP)
        held = len(list(log.services()))
        assert held in (0, 30)
    assert parts > 6
    group.drops = lambda a, b, message: False
    assert group.run(5 * SECOND, lambda: log.position > START)
    assert len(list(log.services())) == 30


def test_a_learner_behind_the_log_s_reach_gets_an_image_and_an_older_one_never() -> None:
    group = started(most_changes=20)
    cut(group, "west-1")
    for i in range(40):
        group.propose(group.leader(), f"u{i}")
        group.run(2 * STEP)
    group.drops = lambda a, b, message: False
    assert group.run(5 * SECOND, lambda: group.everywhere("u39"))
    log = group.logs["west-1"]["east"]
    old = Fetched("east", 1, START, ())
    position = log.position
    group.replicas["west-1"].on_message(group.now, "east-0", old)
    image = ImagePart("east", 1, Position(1, 1), 0, 1, (), 0, (Position(1, 1),), Position(1, 0))
    group.replicas["west-1"].on_message(group.now, "east-0", image)
    assert log.position == position


def test_the_regions_cut_each_goes_on_and_learns_from_its_own() -> None:
    group = started()
    # One machine of the west still hears one of the east; its own region learns from it.
    group.drops = lambda a, b, message: a[0] != b[0] and {a, b} != {"east-0", "west-0"}
    group.propose(group.leader(), "through")
    assert group.run(15 * SECOND, lambda: group.everywhere("through"))
    group.drops = lambda a, b, message: a[0] != b[0]
    group.propose(group.leader(), "east-alone")
    west = group.replicas[group.leader("west")]
    assert west.propose(group.now, "west-s0", [Row("w", "x")]).outcome is Outcome.PROPOSED
    group.drain(group.leader("west"))
    group.run(5 * SECOND)
    assert all(group.has(name, "east-alone") == (name in EAST) for name in group.replicas)
    assert "w" in (group.logs["west-2"]["west"].rows("west-s0") or {})
    group.drops = lambda a, b, message: False
    assert group.run(5 * SECOND, lambda: group.everywhere("east-alone"))
    assert group.run(
        5 * SECOND, lambda: "w" in (group.logs["east-1"]["west"].rows("west-s0") or {})
    )


def test_messages_are_bounded_and_a_flood_of_entries_is_batched() -> None:
    group = started()
    leader = group.leader()
    group.seen.clear()
    for i in range(200):
        group.replicas[leader].propose(group.now, "east-s0", [Row(f"u{i}", "x" * 100)])
    group.drain(leader)
    assert group.run(5 * SECOND, lambda: group.everywhere("u199"))
    largest = max(
        sum(change_size(entry) for entry in message.entries)
        for message in group.seen
        if isinstance(message, Append)
    )
    assert largest <= group.timing.most_bytes


def test_what_can_not_be_used_is_counted_and_changes_nothing() -> None:
    group = started()
    replica = group.replicas["east-0"]
    before = group.logs["east-0"]["east"].position, replica.epoch
    bad: list[tuple[str, Message]] = [
        ("stranger", Fetch("east", START, 1)),
        ("east-1", Fetch("north", START, 1)),
        ("west-0", VoteRequest("east", 10**6, START, Position(10**6, 10**9))),
        ("east-1", VoteRequest("east", 1 << 40, Position(1 << 40, 0), Position(1 << 40, 1))),
        ("east-1", Append("east", 1 << 40, START, START, (), 0)),
        ("east-1", Append("east", 1, Position(9, 9), START, (), 0)),
    ]
    for sender, message in bad:
        replica.on_message(group.now, sender, message)
    follows_not = Change(Position(before[0].epoch, before[0].revision + 7), "east-s0")
    leader = group.leader()
    follower = next(name for name in EAST if name != leader)
    history = group.logs[follower]["east"].history
    epoch = group.replicas[leader].epoch
    wrong = Append("east", epoch, history, before[0], (follows_not,), 10**9)
    group.replicas[follower].on_message(group.now, leader, wrong)
    assert (group.logs["east-0"]["east"].position, replica.epoch) == before
    assert sum(replica.counts.values()) >= 5
    assert group.replicas[follower].counts["unsound messages"] == 1
    group.propose(group.leader(), "on")
    assert group.run(2 * SECOND, lambda: group.everywhere("on"))
