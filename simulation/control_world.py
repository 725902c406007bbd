"""Control machines, hollow nodes and links drawn from a seed, in one deterministic world.

Machines and nodes run the project's own classes: `Replica`, `Publisher`, `Handover`, `Assigner`,
`Liveness` and `Holder`. A source in each region says what its services are, proposes each change
until it is accepted, and loads a region's log where that was lost. Whatever is sent may be lost,
late, doubled or cut off in one direction; what reaches a stopped process waits for it. Late
answers are given to a node's holder like all others: nothing but its own rules guards it.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from loadbalancer.core.assignment.assigner import Assigner
from loadbalancer.core.assignment.handover import Handover
from loadbalancer.core.assignment.liveness import Liveness, LivenessRules
from loadbalancer.core.assignment.model import (
    MachineSpec,
    NodeSpec,
    Position,
    Row,
    ServiceSpec,
    Snapshot,
    Update,
)
from loadbalancer.core.assignment.release import ReleaseAuthority, ReleaseGrant, ReleaseRules
from loadbalancer.core.assignment.rules import AssignmentRules
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.core.replicated_log.messages import Message
from loadbalancer.core.replicated_log.replication import Outcome, Replica, Role, Timing
from loadbalancer.core.subscription.answers import (
    Answer,
    Redirect,
    Refused,
    RetryAfter,
    SendUpdate,
    Wait,
)
from loadbalancer.core.subscription.holder import Holder
from loadbalancer.core.subscription.limits import HolderLimits
from loadbalancer.core.subscription.publisher import Publisher, PublisherLimits
from loadbalancer.core.subscription.updates import Subscription
from simulation.control_invariants import NodeLife, Referee
from simulation.digest import Digest, machine_bytes
from simulation.links import Links

REGIONS = ("east", "west")
ZONES = {"east": ("east-1", "east-2"), "west": ("west-1", "west-2")}
MACHINES = 3  # a region
TICK = 100 * MS
REPORT = SECOND  # between two words of a node to each machine
PING = 500 * MS  # between two words of a machine to each other one
SILENCE = 2 * SECOND  # a machine that was not heard for so long counts as dead
HOLD = 2 * SECOND  # a question without news is answered after that
PATIENCE = 3 * SECOND  # a node asks another machine after that
SOURCE_TURN = 200 * MS  # between two looks of a source
RETRY = 3 * SECOND  # a change that was not accepted is proposed again
GRANT_FOR = 1500 * MS  # a leader's grant of releases counts so long
SOON = 10 * MS  # between a node's answer and its next question


@dataclass(frozen=True, slots=True)
class Size:
    """How large a world is."""

    nodes_a_zone: int = 3
    services_a_region: int = 6
    backends: int = 4
    most_changes: int = 40  # of a log, beside those that a load takes
    limits: PublisherLimits = field(
        default_factory=lambda: PublisherLimits(
            snapshot_rate=20_000, snapshot_burst=20_000, unpaced_bytes=1_000
        )
    )
    timing: Timing = field(default_factory=Timing)
    pace: int = 1  # how many times slower machines and nodes speak, in worlds of hours
    everywhere: bool = False  # the first service of each region is held by every node

    def loaded(self) -> int:
        """The most changes of a load: each service once, those gone, and the end."""
        return 2 * self.services_a_region + 4


@dataclass(frozen=True, slots=True)
class Told:
    """What a node was told to hold and may release."""

    wanted: frozenset[str] = frozenset()
    releasable: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Question:
    """A node's question for one region."""

    node: int
    life: int
    serial: int
    asked: Subscription
    told: Told | None  # by the machine that is asked, in this life of the node
    redirected: bool

    @property
    def region(self) -> str:
        """The region that it is about."""
        return self.asked.region


@dataclass(frozen=True, slots=True)
class Reply:
    """A machine's answer; `answer` is None where there was nothing newer."""

    machine: int
    question: Question
    answer: Answer | None
    told: Told
    generation: int


@dataclass(slots=True)
class _Held:
    question: Question
    until: int  # answered without news
    again: int | None = None  # asked of the publisher again


class Machine:
    """One control machine in one life: all it has is lost with it."""

    def __init__(self, world: World, index: int) -> None:
        self.world = world
        self.index = index
        self.spec = world.machine_specs[index]
        self.life = world.lives[index]
        size = world.size
        most = size.most_changes + size.loaded()
        self.logs = {region: ChangeLog(region, most, 1 << 20) for region in REGIONS}
        seed = world.random.getrandbits(32)
        self.replica = Replica(
            self.spec, world.machine_specs, self.logs, seed, world.now, size.timing
        )
        self.publisher = Publisher(self.spec, world.machine_specs, self.logs, size.limits)
        self.publisher.on_nodes({node.name: node.region for node in world.node_specs})
        names = [node.name for node in world.node_specs]
        rules = LivenessRules(timeout=3 * SECOND * size.pace, recovery_time=5 * SECOND * size.pace)
        self.liveness = Liveness(world.now, names, rules)
        self.handover = Handover(world.node_specs)
        self.handover.on_assignment(world.assigner.with_alive(self.liveness.alive))
        self.heard = dict.fromkeys(range(len(world.machine_specs)), world.now)
        self.living = frozenset(spec.name for spec in world.machine_specs)
        self.held: dict[tuple[int, str], _Held] = {}
        self.pinged = 0
        grant_rules = ReleaseRules(lease_duration=GRANT_FOR * size.pace, max_pause=2 * world.tick)
        self.releases = ReleaseAuthority(
            world.now, self.spec, world.machine_specs, world.home, grant_rules
        )

    # ---- events -------------------------------------------------------------

    def on_message(self, sender: int, message: Message) -> None:
        """Another machine's word."""
        self.heard[sender] = self.world.now
        self.replica.on_message(self.world.now, self.world.machine_specs[sender].name, message)
        self.settle()

    def on_ping(self, sender: int, grant: ReleaseGrant | None) -> None:
        """Another machine lives; if it leads its region it says who may release what."""
        self.heard[sender] = self.world.now
        if grant is not None:
            self.releases.on_grant(self.world.now, self.world.machine_specs[sender].name, grant)

    def on_report(self, node: str, serving: frozenset[str], generation: int) -> None:
        """A node lives and says what it serves."""
        self.liveness.on_heartbeat(self.world.now, node)
        self.handover.on_report(node, serving, generation)

    def on_question(self, question: Question) -> None:
        """A node's question is answered now or held."""
        now = self.world.now
        self.replica.on_reported(now, question.region, question.asked.position)
        held = _Held(question, now + HOLD * self.world.size.pace)
        self.held[question.node, question.region] = held
        self._try(held)

    def on_tick(self) -> None:
        """Time has passed."""
        now = self.world.now
        self.replica.on_tick(now)
        leads = self.replica.role is Role.LEADER
        self.releases.on_tick(now, self.replica.current_term if leads else None)
        self._load()
        self.settle()
        self._turn_liveness()
        if now - self.pinged >= PING * self.world.size.pace:
            self._ping()
        for held in list(self.held.values()):
            due = held.again is not None and held.again <= now
            if due or held.until <= now or held.question.told != self._told(held.question.node):
                self._try(held)

    def settle(self) -> None:
        """Pass on what the replica has to send and has accepted."""
        world = self.world
        for recipient, message in self.replica.outgoing():
            world.send_between_machines(self.index, recipient, message)
        for region in self.replica.restored():
            world.referee.on_restored(self.spec.name, self.logs[region])
            world.decided(self.index, self.life, region, self.logs[region].position)
            self._wake(region, self.publisher.on_restored(region))
        for region, change in self.replica.committed():
            world.referee.on_committed(self.spec.name, region, change)
            world.decided(self.index, self.life, region, change.position, change.service)
            self._wake(region, self.publisher.on_change(region, change))

    def _load(self) -> None:
        if self.replica.needs_load():
            source = self.world.sources[self.spec.region]
            self.world.referee.on_load(self.spec.region, source.desired)
            self.replica.load({name: rows.values() for name, rows in source.desired.items()})

    def _turn_liveness(self) -> None:
        turned = self.liveness.advance(self.world.now)
        for node in turned.died:
            self.handover.on_dead(node)
        if turned.died or turned.returned:
            self.handover.on_assignment(self.world.assigner.with_alive(self.liveness.alive))

    def _ping(self) -> None:
        self.pinged = self.world.now
        names = [spec.name for spec in self.world.node_specs]
        releasable = {name: self.handover.releasable(name) for name in names}
        grant = self.releases.grant(self.world.now, releasable)
        for other in range(len(self.world.machine_specs)):
            if other != self.index:
                self.world.ping(self.index, other, grant)
        living = frozenset(
            spec.name
            for other, spec in enumerate(self.world.machine_specs)
            if other == self.index
            or self.world.now - self.heard[other] < SILENCE * self.world.size.pace
        )
        if living != self.living:
            self.living = living
            for node, region in self.publisher.on_living(living):
                self._wake(region, (node,))

    # ---- answers ------------------------------------------------------------

    def _wake(self, region: str, nodes: tuple[str, ...]) -> None:
        for node in nodes:
            held = self.held.get((self.world.node_index[node], region))
            if held is not None:
                self._try(held)

    def _told(self, node: int) -> Told:
        name = self.world.node_specs[node].name
        releasable = self.releases.releasable(self.world.now, name)
        return Told(self.handover.wanted(name), releasable)

    def _try(self, held: _Held) -> None:
        world, question = self.world, held.question
        told = self._told(question.node)
        here = {name for name in told.wanted if world.home[name] == question.region}
        answer: Answer | None = self.publisher.subscribe(
            world.now,
            world.node_specs[question.node].name,
            question.region,
            question.asked.position,
            question.asked.services | here,
            question.asked.current,
            question.redirected,
        )
        if isinstance(answer, Wait):
            if question.told == told and world.now < held.until:
                held.again = answer.until
                return
            answer = None
        del self.held[question.node, question.region]
        self.publisher.cancel(world.node_specs[question.node].name, question.region)
        reply = Reply(self.index, question, answer, told, self.handover.generation)
        world.reply(reply)


class Node:
    """One hollow node in one life: a holder, and a question for each region."""

    def __init__(self, world: World, index: int) -> None:
        self.world = world
        self.index = index
        self.spec = world.node_specs[index]
        self.life = world.node_lives[index]
        self.name = NodeLife(self.spec.name, self.life)
        self.holder = Holder(self.spec.name, REGIONS, HolderLimits())
        self.machine = dict.fromkeys(REGIONS, world.random.randrange(len(world.machine_specs)))
        self.serial = dict.fromkeys(REGIONS, 0)
        self.told: dict[int, Told] = {}  # by machine
        self.generations: dict[int, int] = {}
        for region in REGIONS:
            self.ask(region, False)

    def ask(self, region: str, redirected: bool) -> None:
        """ServiceQuery this region's machine, and another if nothing comes."""
        self.serial[region] += 1
        machine = self.machine[region]
        asked, told = self.holder.subscribe(region), self.told.get(machine)
        question = Question(self.index, self.life, self.serial[region], asked, told, redirected)
        self.world.ask(machine, question)
        self.world.later(PATIENCE * self.world.size.pace, lambda: self._unanswered(question))

    def _current(self, question: Question) -> bool:
        alive = self.world.nodes.get(self.index) is self
        return alive and self.serial[question.region] == question.serial

    def _unanswered(self, question: Question) -> None:
        if self.index in self.world.stopped_nodes:
            self.world.later(PATIENCE * self.world.size.pace, lambda: self._unanswered(question))
        elif self._current(question):
            region = question.region
            self.machine[region] = self.world.random.randrange(len(self.world.machine_specs))
            self.ask(region, True)

    def _again(self, question: Question, wait: int, redirected: bool = False) -> None:
        def now() -> None:
            if self._current(question):
                self.ask(question.region, redirected)

        self.world.later(wait, now)

    def on_reply(self, reply: Reply) -> None:
        """A machine's answer, whenever it comes."""
        world, question = self.world, reply.question
        if question.life != self.life:
            return
        current = self._current(question)
        if current:
            self.told[reply.machine] = reply.told
            self.generations[reply.machine] = reply.generation
            wanted = {name: world.home[name] for name in reply.told.wanted}
            self.holder.on_wanted(world.now, wanted, reply.told.releasable)
        answer = reply.answer
        if isinstance(answer, SendUpdate):
            taken = self.holder.on_update(world.now, answer.update, question.asked)
            world.counts[taken.status.name] += 1
            position = self.holder.position(question.region)
            world.decided(self.name, question.region, position, taken.status, taken.changed)
            world.referee.on_update(self.name, self.holder, answer.update, taken.status)
        world.referee.look_at(self.name, self.holder)
        if not current:
            return
        if isinstance(answer, Redirect):
            names = [spec.name for spec in world.machine_specs]
            self.machine[question.region] = names.index(answer.machine)
            self._again(question, SOON, True)
        elif isinstance(answer, RetryAfter):
            self._again(question, answer.delay)
        elif isinstance(answer, Refused):
            world.breach(f"{self.spec.name} was refused: {answer.reason.value}")
            self._again(question, SECOND)
        else:
            self._again(question, SOON)

    def report(self) -> None:
        """Say to every machine that it lives, and what it serves."""
        serving = self.holder.serving()
        for machine in range(len(self.world.machine_specs)):
            generation = self.generations.get(machine, 0)
            self.world.report(self.index, machine, serving, generation)


class Source:
    """What one region's services are: the writer of each of them."""

    def __init__(self, world: World, region: str) -> None:
        self.world = world
        self.region = region
        self.desired: dict[str, dict[str, Row]] = {}
        self.outstanding: dict[str, tuple[Position, int]] = {}  # where, and since when
        self._ever: dict[str, set[str]] = {}  # uids that a service has had
        self._number = 0

    def add(self, service: str, backends: int) -> None:
        """A new service."""
        self.desired[service] = {}
        for _ in range(backends):
            self._add_row(service)

    def _add_row(self, service: str) -> None:
        self._number += 1
        uid = f"{service}-b{self._number}"
        self._put(service, uid, "active")

    def _put(self, service: str, uid: str, state: str) -> None:
        body = f'{{"uid": "{uid}", "state": "{state}", "at": {self.world.now // MS}}}'
        self.desired[service][uid] = Row(uid, body, state == "draining")
        self._ever.setdefault(service, set()).add(uid)

    def change(self) -> None:
        """Change one service that has no change under way."""
        draw = self.world.random
        free = [name for name in self.world.specs_of(self.region) if name not in self.outstanding]
        if free:
            self.change_service(draw.choice(free))

    def change_service(self, service: str) -> None:
        """A backend comes, drains, comes back or goes; rarely the service itself does."""
        draw = self.world.random
        rows = self.desired.get(service)
        what = draw.random()
        if rows is None:
            self.add(service, self.world.size.backends)
        elif what < 0.04:
            del self.desired[service]
        elif what < 0.4 or len(rows) < 2:
            self._add_row(service)
        elif what < 0.7:
            self._put(service, draw.choice(sorted(rows)), "draining")
        elif what < 0.8:
            self._put(service, draw.choice(sorted(rows)), "active")
        else:
            del rows[draw.choice(sorted(rows))]
        self.outstanding[service] = Position(0, 0), -RETRY

    def turn(self) -> None:
        """Propose what is not under way; again what was not accepted in time."""
        world = self.world
        for service, (position, since) in list(self.outstanding.items()):
            if world.referee.accepted(self.region, position):
                del self.outstanding[service]
            elif world.now - since >= RETRY:
                self._propose(service)

    def _propose(self, service: str) -> None:
        world = self.world
        rows = self.desired.get(service)
        content = () if rows is None else tuple(rows.values())
        removed = tuple(sorted(self._ever[service] - (rows or {}).keys())) if rows else ()
        for machine in world.running_machines(self.region):
            proposal = machine.replica.propose(service, content, removed, deleted=rows is None)
            if proposal.outcome is Outcome.PROPOSED and proposal.position is not None:
                world.decided(machine.index, self.region, proposal.position, service, content)
                world.referee.on_proposed(
                    self.region, proposal.position, service, None if rows is None else dict(rows)
                )
                self.outstanding[service] = proposal.position, world.now
                machine.settle()
                return


def _told_values(told: Told | None) -> object:
    return None if told is None else (told.wanted, told.releasable)


def _question_values(question: Question) -> tuple[object, ...]:
    """What the digest takes of a question."""
    asked = question.asked
    values = (asked.region, asked.position, asked.services, asked.current)
    told = _told_values(question.told)
    return question.life, question.serial, *values, told, question.redirected


def _answer_values(reply: Reply) -> tuple[object, ...]:
    """What the digest takes of an answer.

    Services of a snapshot come in the order of a set, which differs by process: sorted here.
    """
    answer: object = reply.answer
    if isinstance(answer, SendUpdate):
        update = answer.update
        if isinstance(update, Snapshot):
            rows = [(name, tuple(update.services[name].values())) for name in update.services]
            answer = update.region, update.position, sorted(rows), answer.size
        else:
            changes = [
                (one.position, one.service, one.rows, one.removed, one.deleted, one.complete)
                for one in update.changes
            ]
            answer = update.region, update.base, update.position, changes, answer.size
    told = _told_values(reply.told)
    return reply.question.life, reply.question.serial, answer, told, reply.generation


class World:
    """All of it, and the events to come."""

    def __init__(self, seed: int, size: Size | None = None, digest: Digest | None = None) -> None:
        self.digest = digest  # takes all that is sent and decided
        self.size = size or Size()
        self.now = 0
        self.tick = TICK * self.size.pace
        self.random = Random(seed)
        self.links = Links(Random(seed + 1))
        self.breaches: list[str] = []
        self.counts: Counter[str] = Counter()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._number = 0
        self.machine_specs = [
            MachineSpec(f"control-{region}-{i}", region, ZONES[region][i % 2])
            for region in REGIONS
            for i in range(MACHINES)
        ]
        self.machine_index = {spec.name: i for i, spec in enumerate(self.machine_specs)}
        self.node_specs = [
            NodeSpec(f"node-{zone}-{i}", region, zone, 64)
            for region in REGIONS
            for zone in ZONES[region]
            for i in range(self.size.nodes_a_zone)
        ]
        self.node_index = {spec.name: i for i, spec in enumerate(self.node_specs)}
        self.sources = {region: Source(self, region) for region in REGIONS}
        specs = []
        for region in REGIONS:
            for i in range(self.size.services_a_region):
                name = f"{region}-s{i}"
                zones = ZONES[region] if i % 3 else ZONES["east"] + ZONES["west"]
                specs.append(ServiceSpec(name, region, zones, 10.0, self.size.backends))
                self.sources[region].add(name, self.size.backends)
        self.service_specs = specs
        self.home = {spec.name: spec.region for spec in specs}
        everywhere = frozenset(f"{region}-s0" for region in REGIONS if self.size.everywhere)
        self.assigner = Assigner(self.node_specs, specs, AssignmentRules(on_every_node=everywhere))
        self.referee = Referee(
            self.home, lambda: self.now, self.breach, self.others_serving, self.asked_for
        )
        self.lives: Counter[int] = Counter()
        self.node_lives: Counter[int] = Counter()
        self.machines: dict[int, Machine] = {}
        self.nodes: dict[int, Node] = {}
        self.stopped: dict[int, list[Callable[[Machine], None]]] = {}  # machines, what waits
        self.stopped_nodes: dict[int, list[Callable[[Node], None]]] = {}
        self._late: dict[tuple[int, int, str], Snapshot] = {}  # by node, life and region
        self.changing = 0  # mean nanoseconds between two changes of a region, 0 for none
        for i in range(len(self.machine_specs)):
            self.start_machine(i)
        for i in range(len(self.node_specs)):
            self.start_node(i)
        for region in REGIONS:
            self._turn_source(region)
        self._look()

    # ---- time ---------------------------------------------------------------

    def later(self, wait: int, what: Callable[[], None]) -> None:
        """Do it `wait` nanoseconds from now."""
        self._number += 1
        heapq.heappush(self._events, (self.now + wait, self._number, what))

    def run(self, span: int, done: Callable[[], bool] | None = None) -> bool:
        """Go on for `span` nanoseconds, or until `done`; gives whether it is."""
        until = self.now + span
        checked = self.now
        while self._events and self._events[0][0] <= until:
            self.now, _, what = heapq.heappop(self._events)
            what()
            if done is not None and self.now >= checked:
                if done():
                    return True
                checked = self.now + 50 * MS
        self.now = until
        return done is not None and done()

    def breach(self, text: str) -> None:
        """A rule was broken."""
        self.breaches.append(f"{self.now / SECOND:.3f} s: {text}")

    def decided(self, *values: object) -> None:
        """For the digest: something that a machine, a node or a source has decided or taken."""
        if self.digest is not None:
            self.digest.add(self.now, *values)

    def _look(self) -> None:
        self.referee.look()
        for machine in self.machines.values():
            self._look_at_bounds(machine)
        self.later(SECOND, self._look)

    def _look_at_bounds(self, machine: Machine) -> None:
        most = self.size.most_changes + self.size.loaded()
        for region, log in machine.logs.items():
            if len(log) > most:
                self.breach(f"{machine.spec.name}: {len(log)} changes in {region}'s log")
        if len(machine.held) > len(REGIONS) * len(self.node_specs):
            self.breach(f"{machine.spec.name}: {len(machine.held)} questions held")

    def _turn_source(self, region: str) -> None:
        source = self.sources[region]
        if self.changing and self.random.random() < SOURCE_TURN * self.size.pace / self.changing:
            source.change()
        source.turn()
        self.later(SOURCE_TURN * self.size.pace, lambda: self._turn_source(region))

    # ---- processes ------------------------------------------------------------

    def specs_of(self, region: str) -> list[str]:
        """The services whose home is a region."""
        return [name for name, home in self.home.items() if home == region]

    def running_machines(self, region: str) -> list[Machine]:
        """Those of a region that are neither dead nor stopped."""
        return [
            machine
            for index, machine in self.machines.items()
            if machine.spec.region == region and index not in self.stopped
        ]

    def start_machine(self, index: int) -> None:
        """A control machine begins with nothing."""
        self.lives[index] += 1
        machine = self.machines[index] = Machine(self, index)
        self._tick(machine, self.random.randrange(self.tick))

    def _tick(self, machine: Machine, wait: int) -> None:
        def tick() -> None:
            if self.machines.get(machine.index) is machine:
                if machine.index not in self.stopped:
                    machine.on_tick()
                self._tick(machine, self.tick)

        self.later(wait, tick)

    def kill_machine(self, index: int) -> None:
        """It is gone with all it had."""
        self.machines.pop(index, None)
        self.stopped.pop(index, None)

    def stop_machine(self, index: int) -> None:
        """It does nothing until `continue_machine`; what reaches it waits."""
        self.stopped.setdefault(index, [])

    def continue_machine(self, index: int) -> None:
        """It goes on where it was."""
        for event in self.stopped.pop(index, []):
            self._at_machine(index, event)

    def start_node(self, index: int) -> None:
        """A node begins with nothing."""
        self.node_lives[index] += 1
        node = self.nodes[index] = Node(self, index)
        self._report(node, self.random.randrange(REPORT))

    def _report(self, node: Node, wait: int) -> None:
        def report() -> None:
            if self.nodes.get(node.index) is node:
                if node.index not in self.stopped_nodes:
                    node.report()
                self._report(node, REPORT * self.size.pace)

        self.later(wait, report)

    def kill_node(self, index: int) -> None:
        """It is gone with all it held."""
        node = self.nodes.pop(index, None)
        self.stopped_nodes.pop(index, None)
        if node is not None:
            self.referee.on_node_gone(node.holder)

    def stop_node(self, index: int) -> None:
        """It does nothing until `continue_node`; what reaches it waits."""
        self.stopped_nodes.setdefault(index, [])

    def continue_node(self, index: int) -> None:
        """It goes on where it was."""
        for event in self.stopped_nodes.pop(index, []):
            self._at_node(index, event)

    def serving(self, service: str) -> list[str]:
        """The living nodes that serve a service."""
        return [node.spec.name for node in self.nodes.values() if service in node.holder.serving()]

    def others_serving(self, service: str, name: str) -> list[str]:
        """The zones of all other nodes that serve a service."""
        return [
            node.spec.zone
            for node in self.nodes.values()
            if node.spec.name != name and service in node.holder.serving()
        ]

    def asked_for(self, service: str) -> list[str]:
        """The zones of all nodes that are to hold a service, while those live that do."""
        alive = [node.spec.name for node in self.nodes.values()]
        holders = self.assigner.with_alive(alive).holders[service]
        return [self.node_specs[self.node_index[holder]].zone for holder in holders]

    def skip_a_delta(self, node: Node, region: str) -> None:
        """A machine takes it that a node has all but the last change, and sends that alone."""
        newest = max(self.machines.values(), key=lambda machine: machine.logs[region].position)
        log = newest.logs[region]
        epoch = log.epoch_at(log.position.revision - 1)
        services = node.holder.subscription(region)
        base = Position(epoch or 0, log.position.revision - 1)
        delta = log.since(base, services)
        if base > node.holder.position(region) and delta is not None and delta.changes:
            self._send_unasked(newest.index, node, delta)

    def repeat_a_snapshot(self, node: Node, region: str) -> None:
        """A snapshot that was made when this was last done comes now."""
        newest = max(self.machines.values(), key=lambda machine: machine.logs[region].position)
        snapshot = newest.logs[region].snapshot(node.holder.subscription(region))
        late = self._late.get((node.index, node.life, region))
        self._late[node.index, node.life, region] = snapshot
        if late is not None:
            self._send_unasked(newest.index, node, late)

    def _send_unasked(self, machine: int, node: Node, update: Update) -> None:
        question = Question(
            node.index, node.life, 0, node.holder.subscribe(update.region), None, False
        )
        self.reply(Reply(machine, question, SendUpdate(update, 0), Told(), 0))

    def differences(self) -> list[str]:
        """What is not everywhere as the sources say."""
        found = []
        for region, source in self.sources.items():
            if source.outstanding:
                found.append(f"{region}: {sorted(source.outstanding)} not accepted")
            for machine in self.machines.values():
                log = machine.logs[region]
                if {name: log.rows(name) for name in log.services()} != source.desired:
                    found.append(f"{machine.spec.name} differs in {region}")
        assigned = self.assigner.with_alive([node.spec.name for node in self.nodes.values()])
        for node in self.nodes.values():
            for service in assigned.services_by_node[node.spec.name]:
                desired = self.sources[self.home[service]].desired.get(service)
                if node.holder.rows(service) != desired:
                    found.append(f"{node.spec.name} differs in {service}")
        return found

    def heal(self, span: int) -> None:
        """All has healed: within `span` nanoseconds everything must be as the sources say."""
        self.changing = 0
        if not self.run(span, lambda: not self.differences()):
            for difference in self.differences()[:5]:
                self.breach(f"not healed: {difference}")
        for machine in self.machines.values():
            for log in machine.logs.values():
                self.referee.compare(machine.spec.name, log)

    # ---- links --------------------------------------------------------------

    def place(self, node: int) -> int:
        """A node's number among the ends of links, after the machines."""
        return len(self.machine_specs) + node

    def ends(self, region: str) -> set[int]:
        """All ends of links in a region."""
        machines = {i for i, spec in enumerate(self.machine_specs) if spec.region == region}
        nodes = {self.place(i) for i, spec in enumerate(self.node_specs) if spec.region == region}
        return machines | nodes

    def cut_regions(self) -> None:
        """Nothing passes between the regions."""
        self.links.part(self.ends("east"), self.ends("west"))

    def _pass(self, source: int, target: int, content: object, what: Callable[[], None]) -> None:
        """`content` is what the digest takes of the message."""
        delays = self.links.passing(source, target)
        if self.digest is not None:
            self.digest.add(self.now, source, target, content, delays)
        for delay in delays:
            self.later(delay, what)

    def _at_machine(self, index: int, event: Callable[[Machine], None]) -> None:
        if index in self.stopped:
            self.stopped[index].append(event)
        elif (machine := self.machines.get(index)) is not None:
            event(machine)

    def _at_node(self, index: int, event: Callable[[Node], None]) -> None:
        if index in self.stopped_nodes:
            self.stopped_nodes[index].append(event)
        elif (node := self.nodes.get(index)) is not None:
            event(node)

    def send_between_machines(self, sender: int, recipient: str, message: Message) -> None:
        """A message of a replica."""
        to = self.machine_index[recipient]
        life = self.lives[to]

        def arrive(machine: Machine) -> None:
            if machine.life == life:  # a connection ends with the process
                machine.on_message(sender, message)

        self.counts[type(message).__name__] += 1
        content = machine_bytes(message) if self.digest is not None else None
        self._pass(sender, to, content, lambda: self._at_machine(to, arrive))

    def ping(self, sender: int, to: int, grant: ReleaseGrant | None) -> None:
        """A machine says that it lives."""

        def arrive(machine: Machine) -> None:
            machine.on_ping(sender, grant)

        said = grant is not None and self.digest is not None
        content = machine_bytes(grant) if said else None
        self._pass(sender, to, content, lambda: self._at_machine(to, arrive))

    def report(self, node: int, to: int, serving: frozenset[str], generation: int) -> None:
        """A node says what it serves."""
        name = self.node_specs[node].name
        life, machine_life = self.node_lives[node], self.lives[to]

        def arrive(machine: Machine) -> None:
            if self.node_lives[node] == life and machine.life == machine_life:
                machine.on_report(name, serving, generation)

        content = (serving, generation)
        self._pass(self.place(node), to, content, lambda: self._at_machine(to, arrive))

    def ask(self, to: int, question: Question) -> None:
        """A node's question."""

        def arrive(machine: Machine) -> None:
            machine.on_question(question)

        self.counts["questions"] += 1
        source = self.place(question.node)
        content = _question_values(question) if self.digest is not None else None
        self._pass(source, to, content, lambda: self._at_machine(to, arrive))

    def reply(self, reply: Reply) -> None:
        """A machine's answer."""
        node = reply.question.node

        def arrive(there: Node) -> None:
            there.on_reply(reply)

        self.counts[type(reply.answer).__name__] += 1
        content = _answer_values(reply) if self.digest is not None else None
        self._pass(reply.machine, self.place(node), content, lambda: self._at_node(node, arrive))
