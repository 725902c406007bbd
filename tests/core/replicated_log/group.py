"""Six control machines in two regions that exchange messages in memory, for this folder's tests."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from loadbalancer.core.assignment.model import START, Change, MachineSpec, Position, Row
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.core.replicated_log.messages import Message
from loadbalancer.core.replicated_log.raft import RaftMember
from loadbalancer.core.replicated_log.replication import ProposalOutcome, Replica, Role, Timing
from loadbalancer.core.replicated_log.state import Membership, Outbox

REGIONS = ("east", "west")
SPECS = [MachineSpec(f"{region}-{i}", region, region) for region in REGIONS for i in range(3)]
EAST = ["east-0", "east-1", "east-2"]
STEP = 50 * MS  # between two ticks; a message is delivered one step after it was sent


class Sent(NamedTuple):
    """A message in transit."""

    sender: str
    recipient: str
    message: Message


class Group:
    """Six machines. Messages sent in one step arrive in the next, unless `drops` returns True."""

    def __init__(
        self, services: int = 4, max_changes: int = 500, max_message_bytes: int = 4096
    ) -> None:
        self.now = 0
        self.services = services
        self.max_changes = max_changes
        self.timing = Timing(max_message_bytes=max_message_bytes)
        self.replicas: dict[str, Replica] = {}
        self.logs: dict[str, dict[str, ChangeLog]] = {}
        self.starts = 0  # of all machines; used as the seed of the next replica
        self.stopped: set[str] = set()  # machines whose process is suspended
        self.in_transit: list[Sent] = []
        self.drops: Callable[[Sent], bool] = lambda _: False
        self.loads: list[str] = []  # the leaders that loaded the log, in order
        self.sent: list[Message] = []  # all messages sent so far
        self.committed: dict[str, list[Change]] = {}
        for spec in SPECS:
            self.start(spec.name)

    def start(self, name: str) -> None:
        spec = next(spec for spec in SPECS if spec.name == name)
        self.starts += 1
        logs = {region: ChangeLog(region, self.max_changes, 1 << 20) for region in REGIONS}
        self.logs[name] = logs
        self.committed[name] = []
        self.replicas[name] = Replica(spec, SPECS, logs, self.starts, self.now, self.timing)

    def heal(self) -> None:
        """Drop no more messages."""
        self.drops = lambda _: False

    def kill(self, *names: str) -> None:
        for name in names:
            del self.replicas[name]

    def run(self, span: int, done: Callable[[], bool] | None = None) -> bool:
        until = self.now + span
        while self.now < until and not (done is not None and done()):
            self.now += STEP
            arriving, self.in_transit = self.in_transit, []
            for sent in arriving:
                self._deliver(sent)
            for name in self.replicas:
                if name not in self.stopped:
                    self._tick(name)
        return done is not None and done()

    def _deliver(self, sent: Sent) -> None:
        if sent.recipient in self.stopped:
            self.in_transit.append(sent)
        elif sent.recipient in self.replicas and not self.drops(sent):
            replica = self.replicas[sent.recipient]
            replica.on_message(self.now, sent.sender, sent.message)

    def _tick(self, name: str) -> None:
        replica = self.replicas[name]
        replica.on_tick(self.now)
        if replica.needs_load():
            self.loads.append(name)
            replica.load(self.source(name.split("-")[0]))
        self.drain(name)

    def drain(self, name: str) -> None:
        replica = self.replicas[name]
        for recipient, message in replica.drain_outgoing():
            self.sent.append(message)
            self.in_transit.append(Sent(name, recipient, message))
        replica.drain_restored()
        self.committed[name] += [change for region, change in replica.drain_committed()]

    def source(self, region: str) -> dict[str, list[Row]]:
        return {f"{region}-s{i}": [Row(f"u{i}", "loaded")] for i in range(self.services)}

    def leader(self, region: str = "east") -> str:
        leaders = [
            name
            for name, replica in self.replicas.items()
            if replica.role is Role.LEADER and name.startswith(region) and name not in self.stopped
        ]
        return max(leaders, key=lambda name: self.replicas[name].current_term, default="")

    def ready(self) -> bool:
        logs = [log for name in self.replicas for log in self.logs[name].values()]
        return all(log.position > START for log in logs) and bool(self.leader())

    def has(self, name: str, uid: str) -> bool:
        return uid in (self.logs[name]["east"].rows("east-s0") or {})

    def propose(self, name: str, uid: str) -> Position:
        proposal = self.replicas[name].propose("east-s0", [Row(uid, "x")])
        assert proposal.outcome is ProposalOutcome.PROPOSED
        assert proposal.position is not None
        self.drain(name)
        return proposal.position

    def all_have(self, uid: str) -> bool:
        return all(self.has(name, uid) for name in self.replicas)


def started(**sizes: int) -> Group:
    """Return a group whose members have loaded their logs and elected leaders."""
    group = Group(**sizes)
    assert group.run(15 * SECOND, group.ready)
    return group


def partition(group: Group, *names: str) -> None:
    """Drop all messages between these machines and the others."""
    group.drops = lambda sent: (sent.sender in names) != (sent.recipient in names)


def member_of(log: ChangeLog, outbox: Outbox | None = None) -> RaftMember:
    """Return the first member of the region east alone, just started, at time 0."""
    membership = Membership("east", "east-0", tuple(EAST))
    return RaftMember(membership, log, 1, 0, Timing(), [] if outbox is None else outbox)
