"""Rows of the backends and of the clients' side, and how many nodes may share a service."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import NamedTuple

from benchmarks.scale.capacity.load import MICROSECONDS, Load
from benchmarks.scale.capacity.node import DEAL
from benchmarks.scale.capacity.row import Mechanism, Role, Row, Situation, Slopes, Standing, Unit
from benchmarks.scale.capacity.target import (
    CLIENT_CONNECTIONS,
    CONNECTIONS,
    DESCRIPTORS,
    HANDSHAKE,
    HOLDERS,
    IDLE,
    WORK,
    Range,
    Target,
)
from benchmarks.scale.sharing import (
    Pool,
    Use,
    max_nodes,
    meets_busy_part,
    new_connection_part,
    waits_for_slot_part,
)
from loadbalancer.core.balancing.state import INITIAL_CONCURRENCY_LIMIT

RECONNECTED_IN = Range(1, 10)  # seconds in which a lost node's clients come to the others

PARTITION = Mechanism("each backend under one node of its zone", "not built")
POOL = Mechanism(
    "the pool of idle connections", "loadbalancer/proxy/upstream/pool.py, tests/proxy/test_node.py"
)
FRONT = Mechanism("a front that knows which nodes hold a service", "not built, not ours")
ACCEPT = Mechanism(
    "the node's server",
    "loadbalancer/proxy/downstream/listener.py, tests/proxy/test_descriptors.py",
)


class Ends(NamedTuple):
    """The easier and the harder end of what is assumed of a shared backend."""

    easy: Pool
    hard: Pool


def ends(target: Target, nodes: Range, backends: float) -> Ends:
    """A service's backends shared by so many nodes."""
    easy = Pool(
        nodes=round(nodes.low),
        backends=round(backends),
        rate=target.rate_a_backend,
        work_s=WORK.range.low,
        connections=int(CONNECTIONS.range.high),
        idle_s=IDLE.range.high,
        slots=INITIAL_CONCURRENCY_LIMIT,
    )
    hard = replace(
        easy,
        nodes=round(nodes.high),
        work_s=WORK.range.high,
        connections=int(CONNECTIONS.range.low),
        idle_s=IDLE.range.low,
    )
    return Ends(easy, hard)


PARTS: dict[str, Callable[[Pool], float]] = {
    "new connection, backend given": partial(new_connection_part, use=Use.GIVEN),
    "new connection, least held of all": partial(new_connection_part, use=Use.LEAST_REQUESTS),
    "new connection, slots dealt": partial(new_connection_part, use=Use.ALLOCATED),
    "waits for a slot of its node": waits_for_slot_part,
    "meets a busy backend": meets_busy_part,
}
SIZES = (1, 7, 27, 270)  # backends that a node may choose among: 27 in all zones, 7 in its own


class Sharing(NamedTuple):
    """The most nodes that may share a service, by what a request may meet."""

    part: str
    backends: int
    easy: int
    hard: int


def sharing(target: Target) -> list[Sharing]:
    """For each way a request may be delayed, and sizes of a service, at both ends."""
    found = []
    for name, part in PARTS.items():
        for backends in SIZES:
            easy, hard = ends(target, Range(1, 1), backends)
            limit = partial(max_nodes, part=part, allowed=target.late_part)
            found.append(Sharing(name, backends, limit(easy), limit(hard)))
    return found


def rows(target: Target, slopes: Slopes) -> list[Row]:
    """All rows of backends and clients."""
    return [*backend(target), *clients(target, slopes)]


def _backend_row(
    situation: Situation,
    resource: str,
    working: str,
    value: Range,
    unit: Unit,
    allowed: float,
    mechanism: Mechanism,
) -> Row:
    return Row(
        Role.BACKEND, situation, resource, working, value, unit, allowed, Standing.MODEL, mechanism
    )


def _delayed_part(target: Target, name: str, nodes: Range, backends: float) -> Range:
    """Return the part of requests that meet this delay, at both ends of the assumptions."""
    easy, hard = ends(target, nodes, backends)
    low, high = sorted((PARTS[name](easy), PARTS[name](hard)))
    return Range(low, high)


def backend(target: Target) -> list[Row]:
    """Rows of one backend under the nodes of a service of usual size."""
    return [
        *_backend_connections(target),
        *_delayed_requests(target),
        *_backend_work(target),
    ]


def _backend_connections(target: Target) -> list[Row]:
    """Connections from the service's nodes."""
    everywhere = Load(target).subscribers
    row = _backend_row
    return [
        row(Situation.REST, "connections, one from each node of all zones",
            "holders a zone x 4 zones, against 15", everywhere, Unit.COUNT, CONNECTIONS.range.low,
            DEAL),
        row(Situation.REST, "connections, one from each node of its zone",
            "holders a zone, against 15", HOLDERS.range, Unit.COUNT, CONNECTIONS.range.low, DEAL),
    ]  # fmt: skip


def _delayed_requests(target: Target) -> list[Row]:
    """Requests that are delayed because nodes share the backend."""
    everywhere = Load(target).subscribers
    mean = target.backends_a_service
    zone = mean / target.zones
    late = target.late_part
    opened = "new connection, least held of all"
    part = partial(_delayed_part, target)
    row = _backend_row
    return [
        row(Situation.DAY, "requests that need a new connection, nodes of all zones",
            "new_connection_part(12 to 32 nodes, 27 backends, least held)",
            part(opened, everywhere, mean), Unit.PART, late, POOL),
        row(Situation.DAY, "requests that need a new connection, nodes of its zone",
            "new_connection_part(3 to 8 nodes, 7 backends, least held)",
            part(opened, HOLDERS.range, zone), Unit.PART, late, POOL),
        row(Situation.DAY, "requests that need a new connection, slots dealt",
            "new_connection_part(12 to 32 nodes, 27 backends, dealt)",
            part("new connection, slots dealt", everywhere, mean), Unit.PART, late, DEAL),
        row(Situation.DAY, "requests to a given backend that need a new connection",
            "new_connection_part(12 to 32 nodes, given)",
            part("new connection, backend given", everywhere, mean), Unit.PART, late, POOL),
        row(Situation.DAY, "requests that wait for a slot of their node, all zones",
            "waits_for_slot_part(12 to 32 nodes, 27 backends, level 4)",
            part("waits for a slot of its node", everywhere, mean), Unit.PART, late, DEAL),
        row(Situation.DAY, "requests that wait for a slot of their node, its zone",
            "waits_for_slot_part(3 to 8 nodes, 7 backends, level 4)",
            part("waits for a slot of its node", HOLDERS.range, zone), Unit.PART, late, DEAL),
        row(Situation.DAY, "requests that meet a backend at work",
            "meets_busy_part(3 to 8 nodes, 7 backends)",
            part("meets a busy backend", HOLDERS.range, zone), Unit.PART, late, PARTITION),
    ]  # fmt: skip


def _backend_work(target: Target) -> list[Row]:
    """Processor time of requests and of connections."""
    everywhere = Load(target).subscribers
    row = _backend_row
    return [
        row(Situation.RESTART, "work, a connection from each node of all zones",
            "12 to 32 nodes x 1.5 to 4 ms, in the first second", everywhere * HANDSHAKE.range,
            Unit.CORE, 1.0, POOL),
        row(Situation.DAY, "work of its requests", "7.1 requests a second x work of a request",
            target.rate_a_backend * WORK.range, Unit.CORE, 1.0, DEAL),
    ]  # fmt: skip


def clients(target: Target, slopes: Slopes) -> list[Row]:
    """What clients' connections cost a node, and what their way to a node has to know."""
    opens = Range(
        CLIENT_CONNECTIONS.range.low / RECONNECTED_IN.high,
        CLIENT_CONNECTIONS.range.high / RECONNECTED_IN.low,
    )
    missed = Range(
        1 - HOLDERS.range.high / target.nodes_a_zone, 1 - HOLDERS.range.low / target.nodes_a_zone
    )

    def row(
        situation: Situation, resource: str, working: str, value: Range, unit: Unit,
        allowed: float | None, mechanism: Mechanism = ACCEPT, standing: Standing = Standing.TODAY,
    ) -> Row:  # fmt: skip
        return Row(
            Role.CLIENTS, situation, resource, working, value, unit, allowed, standing, mechanism
        )

    return [
        row(Situation.REST, "memory of a node", "connection.memory x clients' connections",
            slopes.each("connection.memory", CLIENT_CONNECTIONS.range), Unit.BYTES, None),
        row(Situation.REST, "descriptors of a node", "clients' connections, against 1,024",
            CLIENT_CONNECTIONS.range, Unit.COUNT, DESCRIPTORS),
        row(Situation.ZONE, "processor, the clients of a node come to another",
            "connection.open x clients' connections, within 1 to 10 s",
            opens * slopes.each("connection.open") / MICROSECONDS, Unit.CORE, None),
        row(Situation.DAY, "requests that reach a node without their service",
            "1 - holders of a zone / 1,950, where the front does not know the assignment",
            missed, Unit.PART, target.late_part, FRONT, Standing.MODEL),
    ]  # fmt: skip
