"""Faults by kind, at one moment of a world."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from functools import partial

from loadbalancer.core import State
from loadbalancer.core.balancing.model import SECOND
from simulation.service_world.world import ServiceWorld

FEW_SERVERS = 3
SLOWDOWN = 8
TIGHT_CAPACITY = 4
REPLACED_WITHIN = 7 * SECOND


class Trouble(Enum):
    """A kind of fault."""

    DRAIN = "drain"  # of three servers, notified to node 0 first
    SILENT = "silent"  # one server in eight answers nothing
    SLOW = "slow"  # one server in eight takes eight times as long
    TIGHT = "tight"  # one server in eight has a capacity of four
    KILL = "kill"  # seven nodes in ten are killed, and three servers silent
    CUT = "cut"  # every message between nodes is lost
    REPLACED = "replaced"  # six servers in ten within 7 s, each notified to one node first


def cause(world: ServiceWorld, trouble: Trouble) -> None:
    """Bring a fault into the world now."""
    actions: dict[Trouble, Callable[[ServiceWorld], None]] = {
        Trouble.DRAIN: _drain,
        Trouble.SILENT: partial(_silence, servers=_eighth(world)),
        Trouble.SLOW: _slow_down,
        Trouble.TIGHT: _tighten,
        Trouble.KILL: _kill,
        Trouble.CUT: _cut,
        Trouble.REPLACED: _replace,
    }
    actions[trouble](world)


def _eighth(world: ServiceWorld) -> range:
    return range(1, 1 + len(world.pool) // 8)


def _few() -> range:
    return range(1, 1 + FEW_SERVERS)


def _drain(world: ServiceWorld) -> None:
    for server in _few():
        world.endpoint_list.change(server, State.DRAINING, [0])


def _silence(world: ServiceWorld, servers: range) -> None:
    for server in servers:
        world.pool[server].silent = True


def _slow_down(world: ServiceWorld) -> None:
    for server in _eighth(world):
        world.pool[server].slowdown = SLOWDOWN


def _tighten(world: ServiceWorld) -> None:
    for server in _eighth(world):
        world.pool[server].capacity = TIGHT_CAPACITY


def _kill(world: ServiceWorld) -> None:
    for node in range(world.node_count * 7 // 10):
        world.kill(node)
    _silence(world, _few())


def _cut(world: ServiceWorld) -> None:
    world.links.loss = 1.0


def _replace(world: ServiceWorld) -> None:
    replaced = len(world.pool) * 6 // 10
    for server in range(replaced):
        at = world.now + server * REPLACED_WITHIN // replaced
        first = world.random.randrange(world.node_count)
        world.call_at(at, world.endpoint_list.replace, server, [first])
