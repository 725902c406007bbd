"""One control machine's replicas of all regions' logs.

The machine replicates its own region's log as a Raft member, and the other regions' logs as a
learner. A Raft member without contact to a leader acts as a learner of its own region's log too.
Every machine serves the fetches of learners. Sans-I/O: the caller passes in messages and the time
in nanoseconds, and sends the messages that `drain_outgoing` returns.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from loadbalancer.core.assignment.model import (
    START,
    Change,
    InvalidInputError,
    MachineSpec,
    Position,
    Row,
)
from loadbalancer.core.replicated_log.change_log import ChangeLog, LogSnapshot
from loadbalancer.core.replicated_log.fetch_server import FetchServer
from loadbalancer.core.replicated_log.learner import Learner
from loadbalancer.core.replicated_log.messages import (
    Fetch,
    FetchResponse,
    InstallSnapshot,
    Message,
    Outgoing,
)
from loadbalancer.core.replicated_log.model import Role, Timing, componentwise_max, is_plausible
from loadbalancer.core.replicated_log.raft import RaftMember
from loadbalancer.core.replicated_log.state import Membership, Outbox

SINGLE_WRITER_RULE = "a service's changes are accepted by the machines of its home region alone"


class ProposalOutcome(Enum):
    """The result of a proposal; the values appear in the HTTP answers to operators."""

    PROPOSED = "proposed"  # in the log; committed once `drain_committed` returns the change
    NOT_LEADER = "not leader"
    WRONG_REGION = "wrong region"
    BUSY = "busy"  # too many entries are uncommitted, or the log is being loaded


@dataclass(frozen=True, slots=True)
class Proposal:
    """The answer to `propose`."""

    outcome: ProposalOutcome
    position: Position | None = None  # of the change, if PROPOSED
    leader: str = ""  # the machine to propose to, if NOT_LEADER and the leader is known
    rule: str = ""  # the rule that the proposal breaks, if WRONG_REGION


class CommittedChange(NamedTuple):
    """A change that was committed to a region's log."""

    region: str
    change: Change


class Replica:
    """One control machine's replicas of the regions' logs."""

    def __init__(
        self,
        machine: MachineSpec,
        machines: Sequence[MachineSpec],
        logs: Mapping[str, ChangeLog],
        seed: int,
        now: int,
        timing: Timing | None = None,
    ) -> None:
        """Create the replicas of a machine that has just started.

        Args:
            machine: this control machine.
            machines: all control machines, including this one.
            logs: an empty log for each region; nothing else may write to them.
            seed: for random choices; it must differ at each start.
            now: the time in nanoseconds.
            timing: timeouts and limits; the defaults if None.

        Raises:
            InvalidInputError: the machine is not among `machines`, or a region has no log.
        """
        if machine not in machines:
            raise InvalidInputError(f"replica: {machine.name} is not among the machines")
        if missing := {spec.region for spec in machines} - logs.keys():
            raise InvalidInputError(f"replica: no log for {', '.join(sorted(missing))}")
        timing = timing or Timing()
        self._region = machine.region
        self._logs = dict(logs)
        self._machines = {spec.name: spec.region for spec in machines if spec != machine}
        self._counts: Counter[str] = Counter()
        self._outbox: Outbox = []
        self._committed: list[CommittedChange] = []
        self._restored: list[str] = []
        members = tuple(spec.name for spec in machines if spec.region == machine.region)
        self._member = RaftMember(
            Membership(machine.region, machine.name, members), logs[machine.region], seed, now,
            timing, self._outbox,
        )  # fmt: skip
        self._learners = {
            region: Learner(log, self._fetch_sources(region, machine.name), timing.fetch_timeout_ns)
            for region, log in logs.items()
        }
        self._servers = {
            region: FetchServer(log, timing.fetch_hold_ns, timing.max_message_bytes)
            for region, log in logs.items()
        }

    def _fetch_sources(self, region: str, name: str) -> list[str]:
        """Return the machines to fetch a region's log from, in order of preference.

        The region's own machines come first. They are rotated by a value derived from this
        machine's name, so that not all learners load the same machine.
        """
        members = [other for other, its_region in self._machines.items() if its_region == region]
        learners = [other for other, its_region in self._machines.items() if its_region != region]
        offset = sum(name.encode()) % len(members) if members else 0
        return members[offset:] + members[:offset] + learners

    @property
    def role(self) -> Role:
        """This machine's role in its own region's Raft group."""
        return self._member.role

    @property
    def current_term(self) -> int:
        """The highest term that this machine has entered in its own region's Raft group."""
        return self._member.current_term

    @property
    def leader(self) -> str:
        """The leader of this machine's own region, or "" if unknown."""
        return self._member.leader

    @property
    def counts(self) -> Counter[str]:
        """Counters of events, including rejected messages, by the names shown in GET /status."""
        total = self._counts + self._member.counts
        for learner in self._learners.values():
            total += learner.counts
        return total

    def propose(
        self,
        service: str,
        rows: Sequence[Row] = (),
        removed: Sequence[str] = (),
        deleted: bool = False,
        region: str | None = None,
    ) -> Proposal:
        """Propose a change of a service.

        If this machine is the leader, the `Proposal` has the change's position. The change is
        committed only when `drain_committed` returns it. If the leader changes before that, it may
        be lost and has to be proposed again.

        Args:
            service: the service's name.
            rows: its new or changed backends.
            removed: the uids of its removed backends.
            deleted: whether the service itself is deleted.
            region: the service's home region. If None, it is another region whose log has the
                service, or else this machine's own.

        Raises:
            InvalidInputError: the service has no name.
        """
        if not service:
            raise InvalidInputError("proposed change: the service has no name")
        if self._home_region(service, region) != self._region:
            return Proposal(ProposalOutcome.WRONG_REGION, rule=SINGLE_WRITER_RULE)
        member = self._member
        if member.role is not Role.LEADER:
            return Proposal(ProposalOutcome.NOT_LEADER, leader=member.leader)
        if not member.has_capacity():
            return Proposal(ProposalOutcome.BUSY)
        position = member.propose(Change(START, service, tuple(rows), tuple(removed), deleted))
        self._collect_committed()
        return Proposal(ProposalOutcome.PROPOSED, position)

    def _home_region(self, service: str, region: str | None) -> str:
        if region is not None:
            return region
        for name, log in self._logs.items():
            if name != self._region and log.rows(service) is not None:
                return name
        return self._region

    def needs_load(self) -> bool:
        """Return whether this machine is its region's leader and has to load the region's log."""
        return self._member.needs_load()

    def load(self, services: Mapping[str, Iterable[Row]]) -> None:
        """Load all services of this region, as read from their source.

        Does nothing unless `needs_load`.
        """
        self._member.load(services)
        self._collect_committed()

    def on_reported(self, now: int, region: str, position: Position) -> None:
        """Handle a position of a region's log that a subscriber has reported."""
        if not is_plausible(position):
            self._counts["nonsense reported"] += 1
        elif region == self._region:
            self._member.on_reported(now, position)
        elif (learner := self._learners.get(region)) is not None:
            learner.on_reported(position)

    # The drain_ methods return what events have produced. The owner calls them after each event.

    def drain_committed(self) -> list[CommittedChange]:
        """Return the changes that were appended to the logs since the last call."""
        drained, self._committed = self._committed, []
        return drained

    def drain_restored(self) -> list[str]:
        """Return the regions whose log was replaced, by a snapshot or a load, since the last call.

        To be called before `drain_committed`, which returns the changes of a load as well.
        """
        drained, self._restored = self._restored, []
        return drained

    def drain_outgoing(self) -> list[Outgoing]:
        """Return the messages to send since the last call."""
        drained = list(self._outbox)
        self._outbox.clear()
        return drained

    def on_tick(self, now: int) -> None:
        """Handle timeouts; to be called about every 50 ms."""
        self._member.on_tick(now)
        for server in self._servers.values():
            self._outbox.extend(server.on_tick(now))
        for region, learner in self._learners.items():
            self._poll(now, region, learner)
        self._collect_committed()

    def _poll(self, now: int, region: str, learner: Learner) -> None:
        if region == self._region and self._member.has_leader(now):
            learner.stop()
        elif polled := learner.poll(now):
            self._outbox.append(Outgoing(polled.source, polled.fetch))

    def on_message(self, now: int, sender: str, message: Message) -> None:
        """Handle another control machine's message; an invalid one is counted and ignored."""
        if sender not in self._machines or message.region not in self._logs:
            self._counts["unknown senders or regions"] += 1
            return
        try:
            self._dispatch(now, sender, message)
        except InvalidInputError:
            self._counts["unsound messages"] += 1
        self._collect_committed()

    def _dispatch(self, now: int, sender: str, message: Message) -> None:
        region = message.region
        if isinstance(message, Fetch):
            self._on_fetch(now, sender, message)
        elif isinstance(message, FetchResponse):
            learner = self._learners[region]
            self._apply(region, learner.on_response(message))
            self._poll(now, region, learner)
        elif isinstance(message, InstallSnapshot):
            learner = self._learners[region]
            self._install(region, learner.on_chunk(message))
            self._poll(now, region, learner)
        elif region != self._region or self._machines[sender] != region:
            self._counts["messages of no member"] += 1
        else:
            self._member.on_message(now, sender, message)

    def _on_fetch(self, now: int, sender: str, fetch: Fetch) -> None:
        if fetch.region == self._region:
            reported = componentwise_max(fetch.position, fetch.highest_reported)
            self._member.on_reported(now, reported)
        answer = self._servers[fetch.region].on_fetch(now, sender, fetch)
        if answer is not None:
            self._outbox.append(Outgoing(sender, answer))

    def _apply(self, region: str, changes: Sequence[Change]) -> None:
        if not changes:
            return
        if region == self._region:
            self._member.log.apply_fetched(changes)
        else:
            for change in changes:
                self._logs[region].append(change)
        self._committed += [CommittedChange(region, change) for change in changes]
        self._answer_fetches(region)

    def _install(self, region: str, snapshot: LogSnapshot | None) -> None:
        if snapshot is None:
            return
        if region == self._region:
            if not self._member.accepts_snapshot(snapshot):
                return
            self._member.log.install_snapshot(snapshot)
        else:
            self._logs[region].restore(snapshot)
        self._restored.append(region)
        self._answer_fetches(region)

    def _collect_committed(self) -> None:
        """Collect the changes that the Raft member has committed since the last event."""
        changes, replaced = self._member.drain_committed()
        if replaced:
            self._restored.append(self._region)
        elif not changes:
            return
        self._committed += [CommittedChange(self._region, change) for change in changes]
        self._answer_fetches(self._region)

    def _answer_fetches(self, region: str) -> None:
        self._outbox.extend(self._servers[region].on_log_advanced())


__all__ = ["SINGLE_WRITER_RULE", "ProposalOutcome", "Proposal", "Replica", "Role", "Timing"]
