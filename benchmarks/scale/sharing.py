"""How many nodes can share one service's backends: a model, not a measurement.

Requests come as a Poisson stream and are divided evenly over nodes and backends. A node that
finds no free open connection opens one, which delays that request by the handshake. What part of
requests meets that is worked out here for three ways of using connections. Sources: A. K. Erlang,
"Solution of some problems in the theory of probabilities of significance in automatic telephone
exchanges" (1917), for the loss formula (B) and the waiting formula (C); the ordered hunt over
connections is the usual overflow approximation (each connection's overflow counts as Poisson).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum
from math import exp, inf

NEGLIGIBLE_PART = 1e-12  # of requests, that counts as none
MAX_NODES = 1_000  # where a search for the largest number ends


class Use(StrEnum):
    """How a node selects the backend, and so the connection, of a request."""

    GIVEN = "given"  # the backend is fixed before the node looks at connections
    LEAST_REQUESTS = "least held"  # that with the fewest of the node's requests in flight
    ALLOCATED = "dealt"  # the same, among the backends at which the node has a slot


@dataclass(frozen=True, slots=True)
class Pool:
    """One service's backends as the nodes with its requests share them."""

    nodes: int
    backends: int
    rate: float  # requests a second of a backend
    work_s: float  # seconds of work of a request; a backend does one at a time
    connections: int  # that a backend accepts
    idle_s: float  # seconds that an unused connection stays open
    slots: float  # requests that all nodes together have in flight at a backend

    @property
    def load(self) -> float:
        """Part of the time that a backend works."""
        return self.rate * self.work_s

    @property
    def blind_load(self) -> float:
        """The part of it that comes from other nodes, and that a node cannot see."""
        return self.load * (1.0 - 1.0 / self.nodes)

    @property
    def occupied_s(self) -> float:
        """Seconds that a request occupies its connection: its work, and the queue before it.

        By the queue with one server (M/M/1) for what the others send; infinite where that alone is
        too much.
        """
        return self.work_s / (1.0 - self.blind_load) if self.blind_load < 1.0 else inf


def erlang_b(servers: int, load: float) -> float:
    """Erlang's loss formula: the part of a load (in Erlang) that finds all servers busy."""
    if load == inf:
        return 1.0
    blocked = 1.0
    for n in range(1, servers + 1):
        blocked = load * blocked / (n + load * blocked)
        if n > load and blocked < NEGLIGIBLE_PART:
            break  # past the load each further server only lessens it
    return blocked


def erlang_c(servers: int, load: float) -> float:
    """Erlang's waiting formula: the part that has to wait; 1.0 where the load is too much."""
    if load >= servers:
        return 1.0
    blocked = erlang_b(servers, load)
    return servers * blocked / (servers - load * (1.0 - blocked))


def new_connection_part(pool: Pool, use: Use) -> float:
    """The part of requests whose connection is busy, or was closed for want of use."""
    if use is Use.GIVEN:
        own_connections = pool.connections // pool.nodes
        if own_connections == 0:
            return 1.0
        return ordered_hunt_part(
            own_connections, pool.rate / pool.nodes, pool.occupied_s, pool.idle_s
        )
    users = float(pool.nodes)
    if use is Use.ALLOCATED:
        users = min(users, pool.slots)
    if users > pool.connections:
        return 1.0
    # Every backend is selected as often, so that its connection is idle for as long.
    closed = exp(-pool.rate / users * pool.idle_s)
    own_connections = int(pool.backends * users / pool.nodes) * int(pool.connections / users)
    in_use = pool.backends * pool.rate * pool.occupied_s / pool.nodes
    all_busy = erlang_b(max(own_connections, 1), in_use)
    return all_busy + (1.0 - all_busy) * closed


def ordered_hunt_part(connections: int, rate: float, occupied_s: float, idle_s: float) -> float:
    """The same at one backend whose connections are tried in a fixed order.

    The later ones get only what finds the earlier ones busy, and so are idle for longer.
    """
    load = rate * occupied_s
    before = 1.0
    part = 0.0
    for n in range(1, connections + 1):
        after = erlang_b(n, load)
        part += (before - after) * exp(-rate * before * idle_s)
        before = after
    return part + before


def waits_for_slot_part(pool: Pool) -> float:
    """The part of requests that find all of their node's slots of the service in use."""
    own_slots = int(pool.slots * pool.backends / pool.nodes)
    return erlang_c(own_slots, pool.backends * pool.rate * pool.occupied_s / pool.nodes)


def meets_busy_part(pool: Pool) -> float:
    """The part of requests that are sent to a backend busy with another node's request.

    One node alone sees every request in flight and waits only where all backends are busy. Of
    many, each selects a backend that it does not use itself: what the others have sent there it
    cannot see, and their part of the load is met at random.
    """
    alone = erlang_c(pool.backends, pool.backends * pool.load)
    return max(alone, min(pool.blind_load, 1.0))


def max_nodes(pool: Pool, part: Callable[[Pool], float], allowed: float) -> int:
    """The maximum of nodes for which, as for all fewer, this part stays allowed; 0 for none.

    Each number is tried: connections that do not divide evenly make the part rise in steps and
    fall between them. The search ends at MAX_NODES.
    """
    for nodes in range(1, MAX_NODES + 1):
        if part(replace(pool, nodes=nodes)) > allowed:
            return nodes - 1
    return MAX_NODES
