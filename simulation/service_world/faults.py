"""Faults by kind, at one moment of a world."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from loadbalancer.core import State
from loadbalancer.core.balancing.model import SECOND
from simulation.service_world.world import ServiceWorld

FEW_SERVERS = 3
SOME_SERVERS_DIVISOR = 8  # one server in so many
SLOWDOWN = 8
LOW_CAPACITY = 4
REPLACED_WITHIN = 7 * SECOND


class Fault(Enum):
    """A kind of fault; the values are its names in benchmarks."""

    DRAIN = "drain"  # of three servers, notified to node 0 first
    SILENCE = "silent"  # one server in eight answers nothing
    SLOWNESS = "slow"  # one server in eight takes eight times as long
    LOW_CAPACITY = "tight"  # one server in eight has a capacity of four
    KILL = "kill"  # seven nodes in ten are killed, and three servers silent
    GOSSIP_LOSS = "cut"  # every message between nodes is lost
    REPLACEMENT = "replaced"  # six servers in ten within 7 s, each notified to one node first


def cause(world: ServiceWorld, fault: Fault) -> None:
    """Bring a fault into the world now."""
    _ACTIONS[fault](world)


def _some_servers(world: ServiceWorld) -> range:
    return range(1, 1 + len(world.pool) // SOME_SERVERS_DIVISOR)


def _few_servers() -> range:
    return range(1, 1 + FEW_SERVERS)


def _drain(world: ServiceWorld) -> None:
    for server in _few_servers():
        world.endpoint_list.change(server, State.DRAINING, [0])


def _silence(world: ServiceWorld) -> None:
    for server in _some_servers(world):
        world.pool[server].silent = True


def _slow_down(world: ServiceWorld) -> None:
    for server in _some_servers(world):
        world.pool[server].slowdown = SLOWDOWN


def _limit_capacity(world: ServiceWorld) -> None:
    for server in _some_servers(world):
        world.pool[server].capacity = LOW_CAPACITY


def _kill_nodes(world: ServiceWorld) -> None:
    for node in range(world.node_count * 7 // 10):
        world.kill(node)
    for server in _few_servers():
        world.pool[server].silent = True


def _lose_gossip(world: ServiceWorld) -> None:
    world.links.loss = 1.0


def _replace_servers(world: ServiceWorld) -> None:
    replaced = len(world.pool) * 6 // 10
    for server in range(replaced):
        at = world.now + server * REPLACED_WITHIN // replaced
        first = world.random.randrange(world.node_count)
        world.call_at(at, world.endpoint_list.replace, server, [first])


_ACTIONS: dict[Fault, Callable[[ServiceWorld], None]] = {
    Fault.DRAIN: _drain,
    Fault.SILENCE: _silence,
    Fault.SLOWNESS: _slow_down,
    Fault.LOW_CAPACITY: _limit_capacity,
    Fault.KILL: _kill_nodes,
    Fault.GOSSIP_LOSS: _lose_gossip,
    Fault.REPLACEMENT: _replace_servers,
}
