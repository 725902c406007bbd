"""A handover with reports in any order: no node releases too early, and every move completes."""

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
    """A node that applies its assignment, at once or late."""

    loaded: set[str] = field(default_factory=set)
    required: frozenset[str] = frozenset()
    draining: set[str] = field(default_factory=set)  # released when their requests have ended
    generation: int = 0


class Fleet:
    """Nodes, their reports in transit, and one handover that receives these in any order."""

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
        """Send the node its assignment; a busy node drains a service before it releases it."""
        node = self.nodes[name]
        node.generation = self.handover.generation
        node.required = self.handover.required(name)
        releasable = self.handover.releasable(name)
        assert not node.required & releasable
        node.draining = set()
        for service in sorted(node.loaded & releasable):
            if busy:
                node.draining.add(service)
            else:
                node.loaded.discard(service)
                self.check_served(service, name)

    def check_served(self, service: str, released_by: str) -> None:
        """Assert that as many other nodes serve as the assignment requires."""
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
        missing = sorted(node.required - node.loaded)
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
        """Deliver one of the reports in transit; `again`: it will be delivered once more."""
        if not self.reports:
            return
        index = number % len(self.reports)
        name, loaded, generation = self.reports[index] if again else self.reports.pop(index)
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

    def complete_moves(self) -> None:
        """Deliver all messages in order until all moves are complete."""
        self.reports.clear()
        for _ in range(4):
            for name in self.living():
                self.answer(name, busy=False)
                self.load_all(name)
                self.send_report(name)
                self.receive(0, again=False)


LIVING_NODE_STEPS: dict[str, Callable[..., None]] = {
    "answer": Fleet.answer,
    "load": Fleet.load,
    "report": Fleet.send_report,
    "kill": Fleet.kill,
}
OTHER_STEPS: dict[str, Callable[..., None]] = {
    "drain": Fleet.drain,
    "receive": Fleet.receive,
    "receive all": Fleet.receive_all,
    "answer all": Fleet.answer_all,
    "report all": Fleet.report_all,
    "return": Fleet.bring_back,
    "services": Fleet.change_services,
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


def run_step(fleet: Fleet, step: tuple[Any, ...]) -> None:
    kind, *values = step
    if kind in OTHER_STEPS:
        OTHER_STEPS[kind](fleet, *values)
    elif values[0] not in fleet.dead:
        LIVING_NODE_STEPS[kind](fleet, *values)


@given(st.just(True) | st.booleans(), st.lists(steps, max_size=60))
@settings(max_examples=250, deadline=None, derandomize=True)
def test_in_any_order_of_reports_no_node_releases_too_early_and_all_moves_complete(
    warm: bool, run: list[tuple[Any, ...]]
) -> None:
    """Reports are late, lost and duplicated while nodes die and return, and services change.

    If a node released a service too early, fewer nodes than required would serve it, or none.
    """
    fleet = Fleet()
    if warm:
        fleet.complete_moves()
    for step in run:
        run_step(fleet, step)
    fleet.complete_moves()
    for name in set(NAMES) - fleet.dead:
        assert fleet.nodes[name].loaded == set(fleet.assignment.services_by_node[name])
    assert fleet.handover.pending_moves() == 0
