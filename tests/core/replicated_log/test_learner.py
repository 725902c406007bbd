"""Learners: snapshots in chunks, and snapshots that a learner ignores."""

from __future__ import annotations

from loadbalancer.core.assignment.model import START, Change, Position
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.core.replicated_log.learner import Learner
from loadbalancer.core.replicated_log.messages import FetchResponse, InstallSnapshot
from tests.core.replicated_log.group import STEP, Sent, partition, started


def test_a_learner_ignores_snapshots_that_are_older_or_implausible() -> None:
    """A learner is sent snapshots older than its log, or with an implausible number of chunks.

    None may be installed; each must be counted.
    """
    log = ChangeLog("east", 100, 1 << 20)
    log.append(Change(Position(3, 1), "a"))
    learner = Learner(log, ["east-0", "east-1"], SECOND)
    for number, (position, chunks) in enumerate(
        [(Position(2, 9), 1), (Position(3, 1), 1), (Position(4, 2), 0), (Position(4, 2), 1 << 30)]
    ):
        polled = learner.poll(0)
        assert polled is not None
        request_id = polled.fetch.request_id
        chunk = InstallSnapshot("east", request_id, position, 0, chunks, (), 0, (), START)
        assert learner.on_chunk(chunk) is None
        assert learner.counts["useless images"] == number + 1


def test_a_learner_installs_only_complete_snapshots() -> None:
    """Every third chunk of a snapshot for a learner is lost.

    The learner must never expose a part of the snapshot, and must have all of it once no more
    chunks are lost.
    """
    group = started(services=30, max_message_bytes=400)
    group.kill("west-1")
    group.start("west-1")
    chunks = 0

    def drops(sent: Sent) -> bool:
        nonlocal chunks
        message = sent.message
        if sent.recipient != "west-1" or not isinstance(message, InstallSnapshot):
            return False
        if message.region != "east":
            return False
        chunks += 1
        return chunks % 3 == 0  # then the learner starts again with another source

    group.drops = drops
    log = group.logs["west-1"]["east"]
    for _ in range(100):
        group.run(2 * STEP)
        services = len(list(log.services()))
        assert services in (0, 30)
    assert chunks > 6
    group.heal()
    assert group.run(5 * SECOND, lambda: log.position > START)
    assert len(list(log.services())) == 30


def test_a_learner_behind_the_compacted_log_gets_a_snapshot_and_never_an_older_one() -> None:
    """A learner is partitioned until the changes after its position have been compacted.

    It must get a snapshot. Late answers and an older snapshot must not change its position.
    """
    group = started(max_changes=20)
    partition(group, "west-1")
    for i in range(40):
        group.propose(group.leader(), f"u{i}")
        group.run(2 * STEP)
    group.heal()
    assert group.run(5 * SECOND, lambda: group.all_have("u39"))
    log = group.logs["west-1"]["east"]
    old = FetchResponse("east", 1, START, ())
    position = log.position
    group.replicas["west-1"].on_message(group.now, "east-0", old)
    chunk = InstallSnapshot(
        "east", 1, Position(1, 1), 0, 1, (), 0, (Position(1, 1),), Position(1, 0)
    )
    group.replicas["west-1"].on_message(group.now, "east-0", chunk)
    assert log.position == position
