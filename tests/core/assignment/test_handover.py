"""No service is released before others serve it, however words come; and all of it ends."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.core.assignment.assignment import Assigner, Assignment, AssignmentRules
from loadbalancer.core.assignment.handover import MOST_FORMER, Handover
from loadbalancer.core.assignment.model import InvalidInputError, NodeSpec, ServiceSpec

ZONES = ("z1", "z2")
NODES = [NodeSpec(f"{zone}-{n}", "r", zone, 64) for zone in ZONES for n in range(4)]
NAMES = [node.name for node in NODES]
ZONE_OF = {node.name: node.zone for node in NODES}
SERVICES = [ServiceSpec(f"s{n}", "r", ZONES[: 1 + n % 2], 10.0, 5) for n in range(5)]
ASSIGNER = Assigner(NODES, SERVICES, AssignmentRules())
FEWER = Assigner(NODES, SERVICES[:3], AssignmentRules())


def assignment_of(holders: dict[str, tuple[str, ...]]) -> Assignment:
    held = {
        node: tuple(service for service, nodes in holders.items() if node in nodes)
        for node in NAMES
    }
    return Assignment(holders, held, (), "")


def moving(old: tuple[str, ...], new: tuple[str, ...]) -> Handover:
    """A hand-over of service s whose old holders all serve."""
    handover = Handover(NODES)
    handover.on_assignment(assignment_of({"s": old}))
    for node in old:
        assert handover.on_serving(node, "s")
    handover.on_assignment(assignment_of({"s": new}))
    return handover


def test_an_old_holder_is_released_only_once_the_new_one_serves() -> None:
    handover = moving(("z1-0", "z1-1"), ("z1-1", "z1-2"))
    assert handover.wanted("z1-0") == {"s"}
    assert handover.assigned("z1-0") == frozenset()
    assert handover.wanted("z1-2") == {"s"}
    assert handover.releasable("z1-0") == frozenset()
    assert handover.moving() == 1
    assert handover.on_serving("z1-2", "s")
    assert handover.wanted("z1-0") == frozenset()
    assert handover.releasable("z1-0") == {"s"}
    assert handover.moving() == 0
    handover.on_released("z1-0", "s")
    assert handover.releasable("z1-0") == frozenset()


def test_one_old_holder_is_let_go_for_each_new_one() -> None:
    handover = moving(("z1-0", "z1-1"), ("z1-2", "z1-3"))
    assert handover.on_serving("z1-3", "s")
    assert [handover.releasable(node) for node in NAMES[:2]] == [{"s"}, frozenset()]
    assert handover.on_serving("z1-3", "s")  # said twice
    assert handover.releasable("z1-1") == frozenset()
    assert handover.on_serving("z1-2", "s")
    assert handover.releasable("z1-1") == {"s"}


def test_holders_of_another_zone_do_not_count_where_the_zone_has_its_own() -> None:
    handover = moving(("z1-0", "z2-0"), ("z1-1", "z2-1"))
    assert handover.on_serving("z2-1", "s")
    assert handover.releasable("z2-0") == {"s"}
    assert handover.releasable("z1-0") == frozenset()


def test_a_zone_that_stood_in_is_released_when_the_others_serve() -> None:
    handover = moving(("z2-0", "z2-1"), ("z1-0", "z1-1"))
    assert handover.on_serving("z1-0", "s")
    assert [len(handover.releasable(node)) for node in ("z2-0", "z2-1")] == [1, 0]
    assert handover.on_serving("z1-1", "s")
    assert [len(handover.releasable(node)) for node in ("z2-0", "z2-1")] == [1, 1]


def test_the_last_serving_holder_stays_however_many_assignments_come() -> None:
    handover = moving(("z1-0",), ("z1-1",))
    for new in ("z1-2", "z1-3", "z1-1", "z2-0"):
        handover.on_assignment(assignment_of({"s": (new,)}))
        assert handover.wanted("z1-0") == {"s"}
        assert handover.releasable("z1-0") == frozenset()
    handover.on_assignment(assignment_of({"s": ()}))
    assert handover.wanted("z1-0") == {"s"}


def test_a_service_that_is_gone_is_released_at_once() -> None:
    handover = moving(("z1-0",), ("z1-0", "z1-1"))
    handover.on_assignment(assignment_of({"other": ("z1-1",)}))
    assert handover.releasable("z1-0") == {"s"}


def test_the_loss_of_a_new_holder_keeps_the_old_one_again() -> None:
    handover = moving(("z1-0",), ("z1-1",))
    assert handover.on_serving("z1-1", "s")
    assert handover.releasable("z1-0") == {"s"}
    said = handover.generation
    handover.on_dead("z1-1")
    assert handover.releasable("z1-0") == frozenset()
    assert not handover.on_serving("z1-0", "s", said)  # from before: it may have released
    assert handover.wanted("z1-0") == frozenset()
    assert handover.on_serving("z1-0", "s", handover.generation)
    assert handover.wanted("z1-0") == {"s"}


def test_a_service_that_comes_back_counts_only_by_a_later_word() -> None:
    handover = moving(("z1-0",), ("z1-1",))
    assert handover.on_serving("z1-1", "s")
    said = handover.generation
    handover.on_assignment(assignment_of({"s": ("z1-0",)}))
    assert handover.releasable("z1-0") == frozenset()
    assert not handover.on_serving("z1-0", "s", said)
    assert handover.releasable("z1-1") == frozenset()
    assert handover.on_serving("z1-0", "s", handover.generation)
    assert handover.releasable("z1-1") == {"s"}


def test_a_late_word_of_one_that_has_released_does_not_count() -> None:
    handover = moving(("z1-0",), ("z1-1",))
    assert handover.on_serving("z1-1", "s")
    said = handover.generation
    handover.on_report("z1-0", (), said)
    assert not handover.on_serving("z1-0", "s", said)
    handover.on_assignment(assignment_of({"s": ("z1-2",)}))
    handover.on_report("z1-0", ("s",), said)
    assert handover.wanted("z1-1") == {"s"}
    assert handover.releasable("z1-1") == frozenset()


def test_a_dead_nodes_word_from_before_does_not_count() -> None:
    handover = moving(("z1-0",), ("z1-0", "z1-1"))
    said = handover.generation
    handover.on_dead("z1-0")
    handover.on_report("z1-0", ("s",), said)
    handover.on_assignment(assignment_of({"s": ("z1-2",)}))
    assert not handover.on_serving("z1-0", "s", said)
    assert handover.wanted("z1-0") == frozenset()


def test_a_machine_that_begins_anew_lets_nobody_go_before_it_knows() -> None:
    handover = Handover(NODES)
    assert handover.on_serving("z1-0", "s", 0)  # before any assignment
    assert handover.releasable("z1-0") == frozenset()
    assert handover.wanted("z1-0") == {"s"}
    handover.on_assignment(assignment_of({"s": ("z1-1", "z1-2")}))
    assert handover.releasable("z1-0") == frozenset()
    handover.on_report("z1-1", ("s",), 0)
    assert handover.releasable("z1-0") == frozenset()
    handover.on_report("z1-2", ("s",), 0)
    assert handover.releasable("z1-0") == {"s"}


def test_an_assigned_node_that_has_not_said_so_may_be_the_only_holder() -> None:
    handover = Handover(NODES)
    handover.on_assignment(assignment_of({"s": ("z1-0",)}))
    handover.on_assignment(assignment_of({"s": ("z1-1",)}))
    assert handover.releasable("z1-0") == frozenset()


def test_a_rack_back_at_once_and_cold_is_waited_for() -> None:
    everywhere = ASSIGNER.with_alive(NAMES)
    rack = {"z1-0", "z1-1"}
    without = ASSIGNER.with_alive(set(NAMES) - rack)
    handover = Handover(NODES)
    handover.on_assignment(everywhere)
    for node, services in everywhere.services_by_node.items():
        handover.on_report(node, services)
    for node in rack:
        handover.on_dead(node)
    handover.on_assignment(without)
    for node, services in without.services_by_node.items():
        handover.on_report(node, services)
    handover.on_assignment(everywhere)
    substitutes = {
        (node, service)
        for node, services in without.services_by_node.items()
        for service in set(services) - set(everywhere.services_by_node[node])
    }
    assert substitutes
    assert all(service in handover.wanted(node) for node, service in substitutes)
    for node in rack:
        handover.on_report(node, everywhere.services_by_node[node], handover.generation)
    assert all(service in handover.releasable(node) for node, service in substitutes)
    assert handover.moving() == 0


def test_what_a_node_claims_is_bounded() -> None:
    handover = Handover(NODES)
    handover.on_assignment(ASSIGNER.with_alive(NAMES))
    handover.on_report("z1-0", [f"nonsense-{n}" for n in range(10_000)])
    assert len(handover.releasable("z1-0")) == MOST_FORMER
    assert len(handover.wanted("z1-0")) <= MOST_FORMER + len(SERVICES)


def test_an_unknown_node_is_refused() -> None:
    handover = Handover(NODES)
    with pytest.raises(
        InvalidInputError, match="handover: unknown node 'x', must be a registered one"
    ):
        handover.on_serving("x", "s")
    with pytest.raises(InvalidInputError, match="unknown node 'x'"):
        handover.on_assignment(Assignment({"s": ("x",)}, {"x": ("s",)}, (), ""))
    assert handover.generation == 0


@dataclass
class Node:
    """A node that does as it is told, at once or late."""

    loaded: set[str] = field(default_factory=set)
    wanted: frozenset[str] = frozenset()
    draining: set[str] = field(default_factory=set)  # released once their requests end
    generation: int = 0


class World:
    """Nodes, the words that they have said, and one hand-over that hears them in any order."""

    def __init__(self) -> None:
        self.handover = Handover(NODES)
        self.nodes = {name: Node() for name in NAMES}
        self.dead: set[str] = set()
        self.said: list[tuple[str, frozenset[str], int]] = []
        self.assigner = ASSIGNER
        self.assignment = ASSIGNER.with_alive(NAMES)
        self.handover.on_assignment(self.assignment)

    def assign(self) -> None:
        self.assignment = self.assigner.with_alive(set(NAMES) - self.dead)
        self.handover.on_assignment(self.assignment)

    def answer(self, name: str, busy: bool) -> None:
        node = self.nodes[name]
        node.generation = self.handover.generation
        node.wanted = self.handover.wanted(name)
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
        asked = Counter(ZONE_OF[name] for name in self.assignment.holders[service])
        zone = ZONE_OF[released_by]
        if zone in asked:
            assert serving[zone] >= asked[zone]
        else:
            assert serving.total() >= max(asked.total(), 1)

    def load(self, name: str) -> None:
        node = self.nodes[name]
        missing = sorted(node.wanted - node.loaded)
        node.loaded.update(missing[:1])

    def drain(self, name: str) -> None:
        node = self.nodes[name]
        node.loaded -= node.draining
        node.draining = set()

    def say(self, name: str) -> None:
        node = self.nodes[name]
        self.said.append((name, frozenset(node.loaded), node.generation))

    def hear(self, number: int, again: bool) -> None:
        if not self.said:
            return
        place = number % len(self.said)
        name, loaded, generation = self.said[place] if again else self.said.pop(place)
        self.handover.on_report(name, loaded, generation)

    def kill(self, name: str) -> None:
        self.dead.add(name)
        self.nodes[name] = Node()
        self.handover.on_dead(name)
        self.assign()

    def settle(self) -> None:
        """Let everything arrive, in order, until nothing moves any more."""
        self.said.clear()
        for _ in range(4):
            for name in sorted(set(NAMES) - self.dead):
                self.answer(name, busy=False)
                for _ in SERVICES:
                    self.load(name)
                self.say(name)
                self.hear(0, again=False)


steps = st.one_of(
    st.tuples(st.just("answer"), st.sampled_from(NAMES), st.booleans()),
    st.tuples(st.just("load"), st.sampled_from(NAMES)),
    st.tuples(st.just("drain"), st.sampled_from(NAMES)),
    st.tuples(st.just("say"), st.sampled_from(NAMES)),
    st.tuples(st.just("hear"), st.integers(0, 50), st.booleans()),
    st.tuples(st.just("hear all"), st.booleans()),
    st.tuples(st.just("all answer"), st.booleans()),
    st.tuples(st.just("all load and say"), st.booleans()),
    st.tuples(st.just("kill"), st.sampled_from(NAMES)),
    st.tuples(st.just("return"), st.sampled_from(NAMES)),
    st.tuples(st.just("services"), st.booleans()),
)


def run_step(world: World, step: tuple[object, ...]) -> None:
    match step:
        case ("answer", str(name), bool(busy)) if name not in world.dead:
            world.answer(name, busy)
        case ("load", str(name)) if name not in world.dead:
            world.load(name)
        case ("drain", str(name)):
            world.drain(name)
        case ("say", str(name)) if name not in world.dead:
            world.say(name)
        case ("hear", int(number), bool(again)):
            world.hear(number, again)
        case ("hear all", bool(last_first)):
            while world.said:
                world.hear(-1 if last_first else 0, again=False)
        case ("all answer", bool(busy)):
            for name in sorted(set(NAMES) - world.dead):
                world.answer(name, busy)
        case ("all load and say", bool(loads)):
            for name in sorted(set(NAMES) - world.dead):
                for _ in SERVICES if loads else ():
                    world.load(name)
                world.say(name)
        case ("kill", str(name)) if name not in world.dead and len(world.dead) < 5:
            world.kill(name)
        case ("return", str(name)) if name in world.dead:
            world.dead.discard(name)
            world.assign()
        case ("services", bool(fewer)):
            world.assigner = FEWER if fewer else ASSIGNER
            world.assign()
        case _:
            pass


@given(st.just(True) | st.booleans(), st.lists(steps, max_size=60))
@settings(max_examples=250, deadline=None, derandomize=True)
def test_in_any_order_of_words_nobody_releases_too_early_and_all_moves_end(
    warm: bool, run: list[tuple[object, ...]]
) -> None:
    world = World()
    if warm:
        world.settle()
    for step in run:
        run_step(world, step)
    world.settle()
    for name in set(NAMES) - world.dead:
        assert world.nodes[name].loaded == set(world.assignment.services_by_node[name])
    assert world.handover.moving() == 0
