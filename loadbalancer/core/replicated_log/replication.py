"""One control machine's part in the log of its own region, and its copy of the others'.

Of its own region's log it is a `Member`, of the others' a `Learner`; a member that hears no
leader learns as well. Whoever asks it is told what it has. Sans-I/O: told messages and the time
in nanoseconds, it leaves what is to be sent in `outgoing`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from loadbalancer.core.assignment.model import (
    START,
    Change,
    InvalidInputError,
    MachineSpec,
    Position,
    Row,
)
from loadbalancer.core.replicated_log.change_log import ChangeLog, LogImage
from loadbalancer.core.replicated_log.learner import Learner, Source
from loadbalancer.core.replicated_log.messages import (
    Append,
    Appended,
    Fetch,
    Fetched,
    ImagePart,
    Message,
    Status,
    StatusRequest,
    Vote,
    VoteRequest,
)
from loadbalancer.core.replicated_log.raft import Member, Role, Timing, highest, may_be

ONE_WRITER = "a service's changes are accepted by the machines of its home region alone"


class Outcome(Enum):
    """What becomes of a proposal at the machine that was asked."""

    PROPOSED = "proposed"  # in the leader's log; accepted once `committed` gives it
    NOT_LEADER = "not leader"
    WRONG_REGION = "wrong region"
    BUSY = "busy"  # too many changes wait for a majority, or the log is being loaded


@dataclass(frozen=True, slots=True)
class Proposal:
    """The answer to `propose`."""

    outcome: Outcome
    position: Position | None = None  # of the change, where PROPOSED
    leader: str = ""  # whom to ask, where NOT_LEADER and one is known
    rule: str = ""  # where WRONG_REGION


class Replica:
    """One machine's logs: its own region's as a member, the others' as a learner."""

    def __init__(
        self,
        machine: MachineSpec,
        machines: Sequence[MachineSpec],
        logs: Mapping[str, ChangeLog],
        seed: int,
        now: int,
        timing: Timing | None = None,
    ) -> None:
        """`logs` has one log a region, empty and written to here alone.

        `seed` is to differ from one start to the next. Raises InvalidInputError where the machine
        is not among `machines` or a region has no log.
        """
        if machine not in machines:
            raise InvalidInputError(f"replica: {machine.name} is not among the machines")
        if missing := {spec.region for spec in machines} - logs.keys():
            raise InvalidInputError(f"replica: no log for {', '.join(sorted(missing))}")
        self._timing = timing or Timing()
        self._region = machine.region
        self._logs = dict(logs)
        self._machines = {spec.name: spec.region for spec in machines if spec != machine}
        self._counts: Counter[str] = Counter()
        self._out: list[tuple[str, Message]] = []
        self._committed: list[tuple[str, Change]] = []
        self._restored: list[str] = []
        names = [spec.name for spec in machines if spec.region == machine.region]
        self._member = Member(
            machine.region, machine.name, names, logs[machine.region], seed, now, self._timing,
            self._out,
        )  # fmt: skip
        self._learners = {
            region: Learner(log, self._sources(region, machine.name), self._timing.patience)
            for region, log in logs.items()
        }
        self._serving = {
            region: Source(log, self._timing.hold, self._timing.most_bytes)
            for region, log in logs.items()
        }

    def _sources(self, region: str, name: str) -> list[str]:
        """The region's own machines first; each machine begins with another one."""
        home = [other for other, where in self._machines.items() if where == region]
        away = [other for other, where in self._machines.items() if where != region]
        turn = sum(name.encode()) % len(home) if home else 0
        return home[turn:] + home[:turn] + away

    # ---- what is asked of it ------------------------------------------------

    @property
    def role(self) -> Role:
        """What it is in its own region's group."""
        return self._member.role

    @property
    def epoch(self) -> int:
        """The highest epoch of its own region that it has entered."""
        return self._member.epoch

    @property
    def leader(self) -> str:
        """The leader of its own region as far as it knows, "" where it knows none."""
        return self._member.leader

    @property
    def counts(self) -> Counter[str]:
        """What happened, what could not be used included."""
        total = self._counts + self._member.counts
        for learner in self._learners.values():
            total += learner.counts
        return total

    def propose(
        self,
        now: int,
        service: str,
        rows: Sequence[Row] = (),
        removed: Sequence[str] = (),
        deleted: bool = False,
        region: str | None = None,
    ) -> Proposal:
        """Ask for a change of a service whose home is `region`, this machine's own by default.

        A leader's `Proposal` names the position; the change is accepted only when `committed`
        gives it. After a change of leader it may be lost and has to be proposed again. Raises
        InvalidInputError where the service has no name.
        """
        if not service:
            raise InvalidInputError("proposed change: the service has no name")
        if self._home(service, region) != self._region:
            return Proposal(Outcome.WRONG_REGION, rule=ONE_WRITER)
        member = self._member
        if member.role is not Role.LEADER:
            return Proposal(Outcome.NOT_LEADER, leader=member.leader)
        if not member.room():
            return Proposal(Outcome.BUSY)
        change = Change(START, service, tuple(rows), tuple(removed), deleted)
        position = member.propose(now, change)
        self._collect(now)
        return Proposal(Outcome.PROPOSED, position)

    def _home(self, service: str, region: str | None) -> str:
        if region is not None:
            return region
        for name, log in self._logs.items():
            if name != self._region and log.rows(service) is not None:
                return name
        return self._region

    def needs_load(self) -> bool:
        """Whether this machine leads a region that has lost its log and waits for `load`."""
        return self._member.needs_load()

    def load(self, now: int, services: Mapping[str, Iterable[Row]]) -> None:
        """All services of this region from their source, where `needs_load`."""
        self._member.load(now, services)
        self._collect(now)

    def on_reported(self, now: int, region: str, position: Position) -> None:
        """A subscriber holds this position of a region's log."""
        if not may_be(position):
            self._counts["nonsense reported"] += 1
        elif region == self._region:
            self._member.on_reported(now, position)
        elif (learner := self._learners.get(region)) is not None:
            learner.reported = highest(learner.reported, position)

    def committed(self) -> list[tuple[str, Change]]:
        """Drains the (region, change) pairs that were appended to the logs since the last call."""
        drained, self._committed = self._committed, []
        return drained

    def restored(self) -> list[str]:
        """Drains the regions whose log was replaced, by an image or a load, since the last call.

        To be asked before `committed`, which gives the changes of a load as well.
        """
        drained, self._restored = self._restored, []
        return drained

    def outgoing(self) -> list[tuple[str, Message]]:
        """Drains the (recipient, message) pairs to send."""
        drained = list(self._out)
        self._out.clear()
        return drained

    # ---- events ---------------------------------------------------------------

    def on_tick(self, now: int) -> None:
        """Time has passed; to be called every 50 ms or so."""
        self._member.on_tick(now)
        for source in self._serving.values():
            self._out.extend(source.on_tick(now))
        for region, learner in self._learners.items():
            self._poll(now, region, learner)
        self._collect(now)

    def _poll(self, now: int, region: str, learner: Learner) -> None:
        if region == self._region and self._member.led(now):
            learner.stop()
        elif asked := learner.poll(now):
            self._out.append(asked)

    def on_message(self, now: int, sender: str, message: Message) -> None:
        """A message of another control machine. What can't be used is counted and dropped."""
        if sender not in self._machines or message.region not in self._logs:
            self._counts["unknown senders or regions"] += 1
            return
        try:
            self._dispatch(now, sender, message)
        except InvalidInputError:
            self._counts["unsound messages"] += 1
        self._collect(now)

    def _dispatch(self, now: int, sender: str, message: Message) -> None:
        region = message.region
        if isinstance(message, Fetch):
            if region == self._region:
                self._member.on_reported(now, highest(message.position, message.reported))
            answer = self._serving[region].on_fetch(now, sender, message)
            if answer is not None:
                self._out.append((sender, answer))
        elif isinstance(message, Fetched):
            learner = self._learners[region]
            self._learn(region, learner.on_fetched(message))
            self._poll(now, region, learner)
        elif isinstance(message, ImagePart):
            learner = self._learners[region]
            self._restore(region, learner.on_part(message))
            self._poll(now, region, learner)
        elif region != self._region or self._machines[sender] != region:
            self._counts["messages of no member"] += 1
        else:
            self._to_member(now, sender, message)

    def _to_member(
        self,
        now: int,
        sender: str,
        message: VoteRequest | Vote | Append | Appended | StatusRequest | Status,
    ) -> None:
        member = self._member
        if isinstance(message, Append):
            member.on_append(now, sender, message)
        elif isinstance(message, Appended):
            member.on_appended(now, sender, message)
        elif isinstance(message, VoteRequest):
            member.on_vote_request(now, sender, message)
        elif isinstance(message, Vote):
            member.on_vote(now, sender, message)
        elif isinstance(message, StatusRequest):
            member.on_status_request(sender, message)
        else:
            member.on_status(now, sender, message)

    def _learn(self, region: str, changes: Sequence[Change]) -> None:
        if not changes:
            return
        if region == self._region:
            self._member.entries.learn(changes)
        else:
            for change in changes:
                self._logs[region].append(change)
        self._committed += [(region, change) for change in changes]
        self._news(region)

    def _restore(self, region: str, image: LogImage | None) -> None:
        if image is None:
            return
        if region == self._region:
            if not self._member.may_restore(image):
                return
            self._member.entries.restore(image)
        else:
            self._logs[region].restore(image)
        self._restored.append(region)
        self._news(region)

    def _collect(self, now: int) -> None:
        """What the member took into its log since the last event."""
        member = self._member
        if member.replaced:
            self._restored.append(self._region)
        elif not member.accepted:
            return
        self._committed += [(self._region, change) for change in member.accepted]
        member.accepted = []
        member.replaced = False
        self._news(self._region)

    def _news(self, region: str) -> None:
        self._out.extend(self._serving[region].on_news())


__all__ = ["ONE_WRITER", "Outcome", "Proposal", "Replica", "Role", "Timing"]
