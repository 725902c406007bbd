"""Simulated nodes: when all know a drain or a death, and how many messages that takes."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from benchmarks.stats import p50_and_p99, spread
from loadbalancer.core.balancing.model import SECOND, State
from simulation.gossip_world import GossipWorld

START_NS = 6 * SECOND
MESSAGES_MEASURED_S = 5
DRAIN_STEP_NS = SECOND // 200
DRAIN_TIMEOUT_NS = 20 * SECOND
DEATH_STEP_NS = SECOND // 50
DEATH_TIMEOUT_NS = 60 * SECOND
SEED = 1


def dissemination_figures(nodes: int, servers: int, loss: float, drains: int) -> dict[str, Any]:
    """Seconds until all nodes know, after so many drains and one death; messages a second."""
    world = GossipWorld(nodes, servers, SEED)
    world.links.loss = loss
    world.start_all()
    world.run(START_NS)
    messages_s = _messages_per_second(world)
    drain_s = [time for number in range(drains) for time in _drain_times(world, number)]
    death_s = _death_times(world, nodes // 2)
    errors = sum(
        not observer.members.is_alive(node)
        for observer in world.nodes.values()
        for node in world.nodes
    )
    return {
        "nodes": nodes,
        "servers": servers,
        "loss": loss,
        "drain_s": p50_and_p99(drain_s),
        "death_s": p50_and_p99(death_s),
        "words_s": spread(messages_s, 1),
        "held_for_dead_in_error": errors,
    }


def _messages_per_second(world: GossipWorld) -> list[float]:
    """What each node sends."""
    before = world.sent.copy()
    world.run(world.now + MESSAGES_MEASURED_S * SECOND)
    return [(world.sent[node] - before[node]) / MESSAGES_MEASURED_S for node in world.nodes]


def _drain_times(world: GossipWorld, server: int) -> list[float]:
    """Notify node 0 of a drain: seconds until each other node knows."""
    version = 2 + server
    draining = [(server, 0, State.DRAINING)]
    world.nodes[0].on_local_list(world.clock(0), version, draining, complete=False)
    world.schedule_turn(0, world.now + 1)  # its next turn is at once

    def knows(node: int) -> bool:
        return world.nodes[node].effective_state(server, 0, State.READY) != State.READY

    others = [node for node in world.nodes if node != 0]
    return _times_until(world, knows, others, DRAIN_STEP_NS, DRAIN_TIMEOUT_NS)


def _death_times(world: GossipWorld, killed: int) -> list[float]:
    """Kill a node: seconds until each other node knows."""
    world.kill(killed)

    def knows(node: int) -> bool:
        return not world.nodes[node].members.is_alive(killed)

    return _times_until(world, knows, list(world.nodes), DEATH_STEP_NS, DEATH_TIMEOUT_NS)


def _times_until(
    world: GossipWorld,
    knows: Callable[[int], bool],
    nodes: Iterable[int],
    step_ns: int,
    timeout_ns: int,
) -> list[float]:
    """Simulated seconds until each of these nodes knows; those that never do are left out."""
    began = world.now
    remaining = set(nodes)
    times: list[float] = []
    while remaining and world.now < began + timeout_ns:
        world.run(world.now + step_ns)
        knowing = {node for node in remaining if knows(node)}
        times += [(world.now - began) / SECOND] * len(knowing)
        remaining -= knowing
    return times
