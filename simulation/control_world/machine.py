"""A control machine of the world: its replica, its publisher and the polls that it holds open."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from loadbalancer.core.assignment.handover import Handover
from loadbalancer.core.assignment.liveness import Liveness, LivenessRules
from loadbalancer.core.assignment.release import ReleaseAuthority, ReleaseGrant, ReleaseRules
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.core.replicated_log.messages import Message
from loadbalancer.core.replicated_log.replication import Replica, Role
from loadbalancer.core.subscription.answers import Answer, Wait
from loadbalancer.core.subscription.publisher import Publisher
from simulation.control_world.messages import NodeAssignment, Poll, PollReply
from simulation.control_world.settings import (
    MACHINE_TIMEOUT,
    MAX_LOG_BYTES,
    NODE_RECOVERY_TIME,
    NODE_TIMEOUT,
    PING_INTERVAL,
    POLL_HOLD,
    REGIONS,
    RELEASE_LEASE,
    TICK_INTERVAL,
)

if TYPE_CHECKING:
    from simulation.control_world.environment import Environment
    from simulation.control_world.source import Source


class PollKey(NamedTuple):
    """At most one poll of a node is open for each region."""

    node: int
    region: str


@dataclass(slots=True)
class OpenPoll:
    """A poll that is not answered yet."""

    poll: Poll
    deadline: int  # then it is answered without an update
    retry_at: int | None = None  # then the publisher is queried again

    def due(self, now: int) -> bool:
        """Whether its deadline or its retry has come."""
        return self.deadline <= now or (self.retry_at is not None and self.retry_at <= now)


class ControlMachine:
    """One incarnation of a control machine: its state is lost with it."""

    def __init__(self, environment: Environment, source: Source, index: int) -> None:
        """`source` is the one of the machine's region."""
        self.index = index
        self.spec = environment.topology.machines[index]
        self.incarnation: int = environment.machines.incarnations[index]
        self.open_polls: dict[PollKey, OpenPoll] = {}
        self._environment = environment
        self._source = source
        now, size, topology = environment.now, environment.size, environment.topology
        self.logs = {
            region: ChangeLog(region, size.max_log_changes, MAX_LOG_BYTES) for region in REGIONS
        }
        seed = environment.random.getrandbits(32)
        self.replica: Replica = Replica(
            self.spec, topology.machines, self.logs, seed, now, size.timing
        )
        self.publisher = Publisher(self.spec, topology.machines, self.logs, size.publisher_limits)
        self.publisher.on_registered_nodes({node.name: node.region for node in topology.nodes})
        self._liveness = Liveness(
            now,
            [node.name for node in topology.nodes],
            LivenessRules(
                timeout_ns=size.slowed(NODE_TIMEOUT),
                recovery_time_ns=size.slowed(NODE_RECOVERY_TIME),
            ),
        )
        self._handover = Handover(topology.nodes)
        self._handover.on_assignment(environment.assigner.assign(self._liveness.alive))
        self._releases = ReleaseAuthority(
            now,
            self.spec,
            topology.machines,
            topology.home,
            ReleaseRules(
                lease_duration_ns=size.slowed(RELEASE_LEASE),
                max_pause_ns=2 * size.slowed(TICK_INTERVAL),
            ),
        )
        self._received_at = dict.fromkeys(range(len(topology.machines)), now)
        self._living = frozenset(topology.machine_index)
        self._pinged_at = 0

    def on_message(self, sender: int, message: Message) -> None:
        """Take another replica's message."""
        environment = self._environment
        self._received_at[sender] = environment.now
        name = environment.topology.machines[sender].name
        self.replica.on_message(environment.now, name, message)
        self.settle()

    def on_ping(self, sender: int, grant: ReleaseGrant | None) -> None:
        """Take another machine's ping, and its grant of releases if it leads its region."""
        environment = self._environment
        self._received_at[sender] = environment.now
        if grant is not None:
            name = environment.topology.machines[sender].name
            self._releases.on_grant(environment.now, name, grant)

    def on_heartbeat(self, node: str, serving: frozenset[str], generation: int) -> None:
        """Take a node's heartbeat and what it serves."""
        self._liveness.on_heartbeat(self._environment.now, node)
        self._handover.on_report(node, serving, generation)

    def on_poll(self, poll: Poll) -> None:
        """Answer a node's poll, or hold it open."""
        now = self._environment.now
        self.replica.on_reported(now, poll.region, poll.subscription.position)
        opened = OpenPoll(poll, now + self._environment.size.slowed(POLL_HOLD))
        self.open_polls[PollKey(poll.node, poll.region)] = opened
        self._answer(opened)

    def on_tick(self) -> None:
        """Do what is due by now."""
        now = self._environment.now
        self.replica.on_tick(now)
        leads = self.replica.role is Role.LEADER
        self._releases.on_tick(now, self.replica.current_term if leads else None)
        self._load_log()
        self.settle()
        self._advance_liveness()
        if now - self._pinged_at >= self._environment.size.slowed(PING_INTERVAL):
            self._ping()
            self._update_living()
        for opened in list(self.open_polls.values()):
            if opened.due(now) or opened.poll.assignment != self._assignment(opened.poll.node):
                self._answer(opened)

    def settle(self) -> None:
        """Send the replica's messages, and publish what it has restored and committed."""
        environment = self._environment
        for recipient, message in self.replica.drain_outgoing():
            environment.network.replicate(self.index, recipient, message)
        for region in self.replica.drain_restored():
            log = self.logs[region]
            environment.log_checker.on_restored(self.spec.name, log)
            environment.recorder.decision(self.index, self.incarnation, region, log.position)
            self._wake(region, self.publisher.on_restored(region))
        for region, change in self.replica.drain_committed():
            environment.log_checker.on_committed(self.spec.name, region, change)
            environment.recorder.decision(
                self.index, self.incarnation, region, change.position, change.service
            )
            self._wake(region, self.publisher.on_change(region, change))

    def _load_log(self) -> None:
        """Load the region's log from its source, where this leader's is empty."""
        if self.replica.needs_load():
            desired = self._source.desired
            self._environment.log_checker.on_load(self.spec.region, desired)
            self.replica.load({name: rows.values() for name, rows in desired.items()})

    def _advance_liveness(self) -> None:
        turned = self._liveness.advance(self._environment.now)
        for node in turned.died:
            self._handover.on_dead(node)
        if turned.died or turned.returned:
            assigner = self._environment.assigner
            self._handover.on_assignment(assigner.assign(self._liveness.alive))

    def _ping(self) -> None:
        """Ping all other machines, with a grant if this one leads its region."""
        environment = self._environment
        self._pinged_at = environment.now
        releasable = {
            spec.name: self._handover.releasable(spec.name) for spec in environment.topology.nodes
        }
        grant = self._releases.grant(environment.now, releasable)
        for other in range(len(environment.topology.machines)):
            if other != self.index:
                environment.network.ping(self.index, other, grant)

    def _update_living(self) -> None:
        """Redirect polls where machines have died or come back."""
        environment = self._environment
        timeout = environment.size.slowed(MACHINE_TIMEOUT)
        living = frozenset(
            spec.name
            for other, spec in enumerate(environment.topology.machines)
            if other == self.index or environment.now - self._received_at[other] < timeout
        )
        if living != self._living:
            self._living = living
            for node, region in self.publisher.on_live_machines(living):
                self._wake(region, (node,))

    def _wake(self, region: str, nodes: Iterable[str]) -> None:
        """Try to answer these nodes' open polls for a region."""
        for node in nodes:
            key = PollKey(self._environment.topology.node_index[node], region)
            opened = self.open_polls.get(key)
            if opened is not None:
                self._answer(opened)

    def _assignment(self, node: int) -> NodeAssignment:
        name = self._environment.topology.nodes[node].name
        releasable = self._releases.releasable(self._environment.now, name)
        return NodeAssignment(self._handover.required(name), releasable)

    def _answer(self, opened: OpenPoll) -> None:
        """Answer a poll if there is an update or a new assignment, or if its deadline has come."""
        environment, poll = self._environment, opened.poll
        assignment = self._assignment(poll.node)
        answer: Answer | None = self._subscribe(poll, assignment)
        if isinstance(answer, Wait):
            if poll.assignment == assignment and environment.now < opened.deadline:
                opened.retry_at = answer.until_ns
                return
            answer = None
        del self.open_polls[PollKey(poll.node, poll.region)]
        self.publisher.cancel(environment.topology.nodes[poll.node].name, poll.region)
        generation = self._handover.generation
        environment.network.reply(PollReply(self.index, poll, answer, assignment, generation))

    def _subscribe(self, poll: Poll, assignment: NodeAssignment) -> Answer:
        environment, subscription = self._environment, poll.subscription
        home = environment.topology.home
        wanted = {name for name in assignment.wanted if home[name] == poll.region}
        return self.publisher.subscribe(
            environment.now,
            environment.topology.nodes[poll.node].name,
            poll.region,
            subscription.position,
            subscription.services | wanted,
            subscription.current,
            poll.redirected,
        )
