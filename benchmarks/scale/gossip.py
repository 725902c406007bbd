"""Slopes of the gossip between nodes, by members: state, messages, bytes, processor time."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial
from pickle import dumps, loads
from typing import NamedTuple

from benchmarks.scale import meter
from benchmarks.scale.fit import Point, Slope, fit
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.gossip.messages import Outgoing
from loadbalancer.gossip_transport.codec import encode
from simulation.gossip_world import GossipWorld

SETTLED_NS = 6 * SECOND  # of simulated time, after which the start's own messages have ended
INTERVAL_S = 2  # of simulated time, for one reading
INTERVALS = 5
HEADER_BYTES = 28  # of IPv4 and UDP around a datagram


class CountedWorld(GossipWorld):
    """A world that counts the bytes of what its nodes send, as datagrams."""

    bytes_sent = 0

    def send(self, node: int, out: list[Outgoing]) -> None:
        """Count the bytes, then send."""
        self.bytes_sent += sum(HEADER_BYTES + len(encode(message, 0)) for _, message in out)
        super().send(node, out)


class MemberCosts(NamedTuple):
    """What one node sends and computes, each a second, in a fleet of one size."""

    messages: Point
    bytes: Point
    cpu_us: Point


def by_members(quick: bool) -> list[Slope]:
    """Members at rest: one node's table and whole state, and what it sends and computes."""
    sizes = (10, 20, 40) if quick else (50, 100, 200, 400)
    worlds = {n: CountedWorld(n, seed=1) for n in sizes}
    costs = [member_costs(n, world) for n, world in worlds.items()]
    states = {n: dumps(world.nodes[0]) for n, world in worlds.items()}
    tables = {n: dumps(world.nodes[0].members) for n, world in worlds.items()}
    return [
        fit("gossip.table_memory", "bytes", "member", meter.memory(rebuilt(tables))),
        fit("gossip.state_memory", "bytes", "member", meter.memory(rebuilt(states))),
        fit("gossip.messages", "messages a second", "member", [cost.messages for cost in costs]),
        fit("gossip.bytes", "bytes a second", "member", [cost.bytes for cost in costs]),
        fit("gossip.cpu", "us a second", "member", [cost.cpu_us for cost in costs]),
    ]


def rebuilt(states: dict[int, bytes]) -> dict[int, Callable[[], object]]:
    """Calls that build a state as the simulation left it: a new node's is smaller."""
    return {size: partial(loads, state) for size, state in states.items()}


def member_costs(members: int, world: CountedWorld) -> MemberCosts:
    """Run a fleet without requests, whose links lose nothing.

    The processor time is that of the simulation divided by its nodes: the queue of events, and the
    encoding that counts bytes, are in it; reading datagrams is not.
    """
    world.start_all()
    world.run(SETTLED_NS)
    sent_before, bytes_before = world.sent.copy(), world.bytes_sent
    cpu_us = [1e6 * interval_cpu_s(world) / members / INTERVAL_S for _ in range(INTERVALS)]
    measured_s = INTERVALS * INTERVAL_S
    messages = sorted((world.sent[n] - sent_before[n]) / measured_s for n in range(members))
    bytes_s = (world.bytes_sent - bytes_before) / members / measured_s
    return MemberCosts(
        Point(members, sum(messages) / members, messages[members // 2], messages[-1]),
        meter.point(members, [bytes_s]),
        meter.point(members, cpu_us),
    )


def interval_cpu_s(world: CountedWorld) -> float:
    """Seconds of processor time for the next interval of simulated time."""
    began = time.process_time()
    world.run(world.now + INTERVAL_S * SECOND)
    return time.process_time() - began
