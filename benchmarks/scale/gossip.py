"""Slopes of the gossip between nodes, by members: state, messages, bytes, processor time."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial
from pickle import dumps, loads

from benchmarks.scale import meter
from benchmarks.scale.fit import Point, Slope, fit
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.gossip.messages import Outgoing
from loadbalancer.gossip_transport.codec import encode
from simulation.gossip_world import GossipWorld

SETTLED = 6 * SECOND  # after which the start's own messages are over
STRETCH_S = 2  # of the world's time, for one reading
STRETCHES = 5
HEADERS = 28  # bytes of IPv4 and UDP around a datagram


class CountedWorld(GossipWorld):
    """A world that counts the bytes of what its nodes send, as datagrams."""

    bytes_sent = 0

    def send(self, node: int, out: list[Outgoing]) -> None:
        """Count, then pass on."""
        self.bytes_sent += sum(HEADERS + len(encode(message, 0)) for _, message in out)
        super().send(node, out)


def by_members(quick: bool) -> list[Slope]:
    """Members at rest: one node's table and whole state, and what it sends and computes."""
    sizes = (10, 20, 40) if quick else (50, 100, 200, 400)
    worlds = {n: CountedWorld(n, seed=1) for n in sizes}
    costs = [at_rest(n, world) for n, world in worlds.items()]
    fleets = {n: dumps(world.nodes[0]) for n, world in worlds.items()}
    tables = {n: dumps(world.nodes[0].members) for n, world in worlds.items()}
    return [
        fit("gossip.table_memory", "bytes", "member", meter.memory(read_back(tables))),
        fit("gossip.state_memory", "bytes", "member", meter.memory(read_back(fleets))),
        fit("gossip.messages", "messages a second", "member", [c[0] for c in costs]),
        fit("gossip.bytes", "bytes a second", "member", [c[1] for c in costs]),
        fit("gossip.cpu", "us a second", "member", [c[2] for c in costs]),
    ]


def read_back(states: dict[int, bytes]) -> dict[int, Callable[[], object]]:
    """Builds of a state as it was while the world went on: new ones hold less."""
    return {size: partial(loads, state) for size, state in states.items()}


def at_rest(members: int, world: CountedWorld) -> tuple[Point, Point, Point]:
    """What a node sends, its bytes, and its processor time, each a second; links lose nothing.

    The time is that of the whole world divided by its nodes: the queue of events, and the
    encoding that counts bytes, are in it; reading datagrams is not.
    """
    world.start_all()
    world.run(SETTLED)
    sent, sent_bytes = world.sent.copy(), world.bytes_sent
    spent = [1e6 * stretch(world) / members / STRETCH_S for _ in range(STRETCHES)]
    watched_s = STRETCHES * STRETCH_S
    each = sorted((world.sent[n] - sent[n]) / watched_s for n in range(members))
    total_bytes = (world.bytes_sent - sent_bytes) / members / watched_s
    return (
        Point(members, sum(each) / members, each[members // 2], each[-1]),
        meter.point(members, [total_bytes]),
        meter.point(members, spent),
    )


def stretch(world: CountedWorld) -> float:
    """Seconds of processor time for the next stretch of the world's time."""
    began = time.process_time()
    world.run(world.now + STRETCH_S * SECOND)
    return time.process_time() - began
