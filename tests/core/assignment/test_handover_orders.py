"""A handover under reports in any order: nobody releases too early, and every move ends."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.core.assignment.assigner import Assigner
from loadbalancer.core.assignment.handover import Handover
from loadbalancer.core.assignment.rules import AssignmentRules
from tests.core.assignment.test_handover import ASSIGNER, NAMES, NODES, SERVICES, ZONE_OF

FEWER = Assigner(NODES, SERVICES[:3], AssignmentRules())
MAX_DEAD = 5  # nodes at a time


@dataclass
class Node:
    """A node that follows its orders, at once or late."""

    loaded: set[str] = field(default_factory=set)
    wanted: frozenset[str] = frozenset()
    draining: set[str] = field(default_factory=set)  # released once their requests end
    generation: int = 0


class World:
    """Nodes, the reports that they have sent, and one handover that receives them in any order."""

    def __init__(self) -> None:
        self.handover = Handover(NODES)
        self.nodes = {name: Node() for name in NAMES}
        self.dead: set[str] = set()
        self.reports: list[tuple[str, frozenset[str], int]] = []
        self.assigner = ASSIGNER
        self.assignment = ASSIGNER.assign(NAMES)
        self.handover.on_assignment(self.assignment)

    def assign(self) -> None:
        self.assignment = self.assigner.assign(set(NAMES) - self.dead)
        self.handover.on_assignment(self.assignment)

    def living(self) -> list[str]:
        return sorted(set(NAMES) - self.dead)

    def answer(self, name: str, busy: bool) -> None:
        """Give the node what it is to hold; a busy one drains before it releases."""
        node = self.nodes[name]
        node.generation = self.handover.generation
        node.wanted = self.handover.required(name)
        releasable = self.handover.releasable(name)
        assert not node.wanted & releasable
        node.draining = set()
        for service in sorted(node.loaded & releasable):
            if busy:
                node.draining.add(service)
            else:
                node.loaded.discard(service)
                self.check_served(service, name)

    def check_served(self, service: str, released_by: str) -> None:
        """As many serve as the assignment asks for, without the one that has released."""
        if service not in self.assignment.holders:
            return
        serving = Counter(
            ZONE_OF[name]
            for name, node in self.nodes.items()
            if name not in self.dead and service in node.loaded
        )
        assigned = Counter(ZONE_OF[name] for name in self.assignment.holders[service])
        zone = ZONE_OF[released_by]
        if zone in assigned:
            assert serving[zone] >= assigned[zone]
        else:
            assert serving.total() >= max(assigned.total(), 1)

    def load(self, name: str) -> None:
        node = self.nodes[name]
        missing = sorted(node.wanted - node.loaded)
        node.loaded.update(missing[:1])

    def load_all(self, name: str) -> None:
        for _ in SERVICES:
            self.load(name)

    def drain(self, name: str) -> None:
        node = self.nodes[name]
        node.loaded -= node.draining
        node.draining = set()

    def send_report(self, name: str) -> None:
        node = self.nodes[name]
        self.reports.append((name, frozenset(node.loaded), node.generation))

    def receive(self, number: int, again: bool) -> None:
        """One of the reports under way arrives; `again`: it will arrive once more."""
        if not self.reports:
            return
        place = number % len(self.reports)
        name, loaded, generation = self.reports[place] if again else self.reports.pop(place)
        self.handover.on_report(name, loaded, generation)

    def receive_all(self, last_first: bool) -> None:
        while self.reports:
            self.receive(-1 if last_first else 0, again=False)

    def answer_all(self, busy: bool) -> None:
        for name in self.living():
            self.answer(name, busy)

    def report_all(self, loads: bool) -> None:
        for name in self.living():
            if loads:
                self.load_all(name)
            self.send_report(name)

    def kill(self, name: str) -> None:
        if len(self.dead) >= MAX_DEAD:
            return
        self.dead.add(name)
        self.nodes[name] = Node()
        self.handover.on_dead(name)
        self.assign()

    def bring_back(self, name: str) -> None:
        if name in self.dead:
            self.dead.discard(name)
            self.assign()

    def change_services(self, fewer: bool) -> None:
        self.assigner = FEWER if fewer else ASSIGNER
        self.assign()

    def settle(self) -> None:
        """Let everything arrive, in order, until nothing moves any more."""
        self.reports.clear()
        for _ in range(4):
            for name in self.living():
                self.answer(name, busy=False)
                self.load_all(name)
                self.send_report(name)
                self.receive(0, again=False)


OF_A_LIVING_NODE: dict[str, Callable[..., None]] = {
    "answer": World.answer,
    "load": World.load,
    "report": World.send_report,
    "kill": World.kill,
}
OTHERS: dict[str, Callable[..., None]] = {
    "drain": World.drain,
    "receive": World.receive,
    "receive all": World.receive_all,
    "answer all": World.answer_all,
    "report all": World.report_all,
    "return": World.bring_back,
    "services": World.change_services,
}
names = st.sampled_from(NAMES)
steps = st.one_of(
    st.tuples(st.just("answer"), names, st.booleans()),
    st.tuples(st.just("load"), names),
    st.tuples(st.just("drain"), names),
    st.tuples(st.just("report"), names),
    st.tuples(st.just("receive"), st.integers(0, 50), st.booleans()),
    st.tuples(st.just("receive all"), st.booleans()),
    st.tuples(st.just("answer all"), st.booleans()),
    st.tuples(st.just("report all"), st.booleans()),
    st.tuples(st.just("kill"), names),
    st.tuples(st.just("return"), names),
    st.tuples(st.just("services"), st.booleans()),
)


def run_step(world: World, step: tuple[Any, ...]) -> None:
    kind, *values = step
    if kind in OTHERS:
        OTHERS[kind](world, *values)
    elif values[0] not in world.dead:
        OF_A_LIVING_NODE[kind](world, *values)


@given(st.just(True) | st.booleans(), st.lists(steps, max_size=60))
@settings(max_examples=250, deadline=None, derandomize=True)
def test_in_any_order_of_reports_nobody_releases_too_early_and_all_moves_end(
    warm: bool, run: list[tuple[Any, ...]]
) -> None:
    """Reports are late, lost and doubled while nodes die and return and services change.

    A node that released a service too early would leave it to fewer nodes than it needs, or none.
    """
    world = World()
    if warm:
        world.settle()
    for step in run:
        run_step(world, step)
    world.settle()
    for name in set(NAMES) - world.dead:
        assert world.nodes[name].loaded == set(world.assignment.services_by_node[name])
    assert world.handover.pending_moves() == 0
