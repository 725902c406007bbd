"""How many nodes can share one service's backends: a model, not a measurement.

Requests come as a Poisson stream and are divided evenly over nodes and backends. A node that
finds no free open connection opens one, which delays that request by the handshake. What part of
requests meets that is worked out here for three ways of using connections. Sources: A. K. Erlang,
"Solution of some problems in the theory of probabilities of significance in automatic telephone
exchanges" (1917), for the loss and the waiting formula; the ordered hunt over connections is the
usual overflow approximation (each connection's overflow is taken for Poisson again).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum
from math import exp, inf

NEVER = 1e-12  # a part of requests that is not told from none
MOST_NODES = 1_000  # where a search for the largest number ends


class Use(StrEnum):
    """How a node comes by the backend, and so by the connection, of a request."""

    GIVEN = "given"  # the request's backend is fixed before the node looks at connections
    LEAST_HELD = "least held"  # the node's least loaded backend, over all of the service
    DEALT = "dealt"  # the same, among the backends at which the node was dealt a slot


@dataclass(frozen=True, slots=True)
class Pool:
    """One service's backends as the nodes that take its requests share them.

    `rate` is requests a second a backend, `work_s` seconds of work a request, of which a backend
    does one at a time; `connections` how many it takes; `idle_s` how long an unused connection
    stays open; `slots` how many requests all nodes together keep at one backend.
    """

    nodes: int
    backends: int
    rate: float
    work_s: float
    connections: int
    idle_s: float
    slots: float

    @property
    def load(self) -> float:
        """Part of the time that a backend works."""
        return self.rate * self.work_s

    @property
    def blind_load(self) -> float:
        """The part of it that comes from other nodes, and that a node cannot see."""
        return self.load * (1.0 - 1.0 / self.nodes)

    @property
    def held_s(self) -> float:
        """Seconds that a request holds its connection: its work, and what is before it there.

        By the queue with one server (M/M/1) for what the others send; without end where that
        alone is too much.
        """
        return self.work_s / (1.0 - self.blind_load) if self.blind_load < 1.0 else inf


def loss(servers: int, load: float) -> float:
    """Erlang's loss formula: the part of a load (in Erlang) that finds all servers busy."""
    if load == inf:
        return 1.0
    blocked = 1.0
    for n in range(1, servers + 1):
        blocked = load * blocked / (n + load * blocked)
        if n > load and blocked < NEVER:
            break  # past the load each further server only lessens it
    return blocked


def waiting(servers: int, load: float) -> float:
    """Erlang's waiting formula: the part that has to wait; 1.0 where the load is too much."""
    if load >= servers:
        return 1.0
    blocked = loss(servers, load)
    return servers * blocked / (servers - load * (1.0 - blocked))


def new_connection_part(pool: Pool, use: Use) -> float:
    """The part of requests whose connection is busy, or was closed for want of use."""
    if use is Use.GIVEN:
        held = pool.connections // pool.nodes
        if held == 0:
            return 1.0
        return hunted(held, pool.rate / pool.nodes, pool.held_s, pool.idle_s)
    users = float(pool.nodes)
    if use is Use.DEALT:
        users = min(users, pool.slots)
    if users > pool.connections:
        return 1.0
    # Every backend's turn comes as often, so that its connection rests for as long.
    closed = exp(-pool.rate / users * pool.idle_s)
    held = int(pool.backends * users / pool.nodes) * int(pool.connections / users)
    in_use = pool.backends * pool.rate * pool.held_s / pool.nodes
    all_busy = loss(max(held, 1), in_use)
    return all_busy + (1.0 - all_busy) * closed


def hunted(connections: int, rate: float, held_s: float, idle_s: float) -> float:
    """The same at one backend whose connections are tried in a fixed order.

    The later ones carry only what finds the earlier ones busy, and so stand idle for longer.
    """
    load = rate * held_s
    before = 1.0
    part = 0.0
    for n in range(1, connections + 1):
        after = loss(n, load)
        part += (before - after) * exp(-rate * before * idle_s)
        before = after
    return part + before


def waits_for_slot_part(pool: Pool) -> float:
    """The part of requests that find all of their node's slots of the service in use."""
    held = int(pool.slots * pool.backends / pool.nodes)
    return waiting(held, pool.backends * pool.rate * pool.held_s / pool.nodes)


def meets_busy_part(pool: Pool) -> float:
    """The part of requests that are sent to a backend which another node has put to work.

    One node alone sees every request under way and waits only where all backends are busy. Of
    many, each picks a backend that it does not use itself: what the others have sent there it
    cannot see, and their part of the load is found at random.
    """
    alone = waiting(pool.backends, pool.backends * pool.load)
    return max(alone, min(pool.blind_load, 1.0))


def most_nodes(pool: Pool, part: Callable[[Pool], float], allowed: float) -> int:
    """The most nodes for which, as for all fewer, this part stays allowed; 0 for none.

    One after the other: connections that do not divide evenly make the part go up in steps and
    down between them. The search ends at MOST_NODES.
    """
    for nodes in range(1, MOST_NODES + 1):
        if part(replace(pool, nodes=nodes)) > allowed:
            return nodes - 1
    return MOST_NODES
