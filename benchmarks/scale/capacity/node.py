"""Rows of a node: one that holds everything, as today, and one that holds its part."""

from __future__ import annotations

from benchmarks.scale.capacity.load import CYCLES_A_SECOND, MICROSECONDS, Load
from benchmarks.scale.capacity.row import Mechanism, Role, Row, Situation, Slopes, Standing, Unit
from benchmarks.scale.capacity.target import (
    CLIENT_CONNECTIONS,
    DESCRIPTORS,
    LARGEST,
    Range,
    Target,
    ranged,
)

NONE = Mechanism("none: a node holds everything", "today's code")
ASSIGNMENT = Mechanism(
    "assignment of services to nodes",
    "loadbalancer/core/assignment/assignment.py, tests/core/assignment/test_assignment.py",
)
SUBSCRIPTION = Mechanism(
    "subscription: changes of its services alone",
    "loadbalancer/core/subscription/publisher.py, tests/core/subscription/test_publisher.py",
)
HOLDER = Mechanism(
    "the node's holder of its services",
    "loadbalancer/core/subscription/holder.py, tests/core/subscription/test_holder.py",
)
SUBSET = Mechanism("a subset of a large service's backends a node", "not built")
GOSSIP = Mechanism(
    "gossip between nodes (SWIM)", "loadbalancer/core/gossip, tests/core/gossip/test_fleet_world.py"
)
DEAL = Mechanism("slots dealt among the nodes of a service",
                 "loadbalancer/core/balancing/endpoint_caps.py, "
                 "tests/core/balancing/test_endpoint_caps.py")  # fmt: skip
PROCESS = Mechanism("the process itself", "loadbalancer/proxy/host.py, tests/proxy/test_node.py")
QUOTAS = Mechanism(
    "a bucket a tenant and node, its part of the quota",
    "loadbalancer/core/balancing/admission.py, tests/core/balancing/test_scheduling.py",
)


def rows(target: Target, slopes: Slopes) -> list[Row]:
    """All rows of both kinds of node."""
    return [*holding_all(target, slopes), *gossiping(target, slopes), *with_part(target, slopes)]


def cores(us_a_second: Range) -> Range:
    """Microseconds a second as a part of a core."""
    return us_a_second / MICROSECONDS


def _full_node_row(
    situation: Situation, resource: str, working: str, value: Range, unit: Unit, allowed: float
) -> Row:
    return Row(
        Role.NODE_ALL, situation, resource, working, value, unit, allowed, Standing.TODAY, NONE
    )


def _part_node_row(
    situation: Situation,
    resource: str,
    working: str,
    value: Range,
    unit: Unit,
    allowed: float | None,
    mechanism: Mechanism,
    standing: Standing = Standing.PREDICTED,
) -> Row:
    return Row(Role.NODE, situation, resource, working, value, unit, allowed, standing, mechanism)


def holding_all(target: Target, slopes: Slopes) -> list[Row]:
    """Rows of a node that holds everything: what no assignment would cost each node."""
    return [
        *_one_balancer(target, slopes),
        *_all_configuration(target, slopes),
        *_full_list(target, slopes),
    ]


def _one_balancer(target: Target, slopes: Slopes) -> list[Row]:
    """One Balancer for all backends: what it holds, its cycles, and changes."""
    load = Load(target)
    cycle = cores(CYCLES_A_SECOND * slopes.at("balancer.cycle", target.backends))
    change = cores(slopes.at("balancer.change", target.backends))
    memory, core = target.node_bytes, target.node_cores
    row = _full_node_row
    return [
        row(Situation.REST, "memory, one Balancer", "balancer.memory(120,000 backends)",
            slopes.at("balancer.memory", target.backends), Unit.BYTES, memory),
        row(Situation.REST, "processor, one Balancer", "2/s x balancer.cycle(120,000 backends)",
            cycle, Unit.CORE, core),
        row(Situation.DAY, "processor, changes of the list",
            "restarts a day x rows / 86,400 s x balancer.change(120,000)",
            load.rows_a_second * change, Unit.CORE, core),
        row(Situation.MINUTE, "processor, changes of the list",
            "rows a second of the busiest hour x balancer.change(120,000)",
            load.rows_a_second_at_worst * change, Unit.CORE, core),
    ]  # fmt: skip


def _all_configuration(target: Target, slopes: Slopes) -> list[Row]:
    """A Balancer for each service, the list, all routes and all tenants."""
    services = cores(CYCLES_A_SECOND * slopes.at("service.cycle", target.services))
    memory, core = target.node_bytes, target.node_cores
    row = _full_node_row
    return [
        row(Situation.REST, "memory, a Balancer a service", "service.memory(4,500 services)",
            slopes.at("service.memory", target.services), Unit.BYTES, memory),
        row(Situation.REST, "processor, a Balancer a service",
            "2/s x service.cycle(4,500 services)", services, Unit.CORE, core),
        row(Situation.REST, "memory, the list in hand", "list.roster_memory(120,000 rows)",
            slopes.at("list.roster_memory", target.backends), Unit.BYTES, memory),
        row(Situation.REST, "memory, routes", "routes.memory(140,000 routes)",
            slopes.at("routes.memory", target.routes), Unit.BYTES, memory),
        row(Situation.DAY, "memory, a reload of the routes", "routes.peak(140,000 routes)",
            slopes.at("routes.peak", target.routes), Unit.BYTES, memory),
        row(Situation.DAY, "time, a reload of the routes", "routes.read(140,000 routes)",
            cores(slopes.at("routes.read", target.routes)), Unit.SECONDS, target.in_force_s),
        row(Situation.REST, "memory, tenants", "tenant.memory(490,000 tenants)",
            slopes.at("tenant.memory", target.tenants), Unit.BYTES, memory),
    ]  # fmt: skip


def _full_list(target: Target, slopes: Slopes) -> list[Row]:
    """Reading the full list, and its changes."""
    load = Load(target)
    lines = target.backends / target.list_lines_a_second
    list_bytes = slopes.at("list.bytes", target.backends)
    read = cores(
        slopes.at("list.parse", target.backends) + slopes.at("list.roster", target.backends)
    )
    row = _full_node_row
    return [
        row(Situation.RESTART, "time, the list for one reader", "120,000 rows / 200 a second",
            ranged(lines), Unit.SECONDS, target.in_force_s),
        row(Situation.RESTART, "time, the list for every node",
            "7,800 nodes x 120,000 rows / 200 a second",
            ranged(target.nodes * lines), Unit.SECONDS, target.in_force_s),
        row(Situation.RESTART, "time, the list at the bytes allowed",
            "list.bytes(120,000 rows) / 3 KB a second",
            list_bytes / target.node_bytes_a_second, Unit.SECONDS, target.in_force_s),
        row(Situation.RESTART, "time, reading the list's text",
            "list.parse(120,000) + list.roster(120,000)", read, Unit.SECONDS, target.in_force_s),
        row(Situation.DAY, "bytes, changes of the list",
            "restarts a day x rows / 86,400 s x delta.bytes",
            load.rows_a_second * slopes.each("delta.bytes"), Unit.BYTES_A_SECOND,
            target.node_bytes_a_second),
        row(Situation.MINUTE, "bytes, changes of the list",
            "rows a second of the busiest hour x delta.bytes",
            load.rows_a_second_at_worst * slopes.each("delta.bytes"), Unit.BYTES_A_SECOND,
            target.node_bytes_a_second),
    ]  # fmt: skip


def gossiping(target: Target, slopes: Slopes) -> list[Row]:
    """What the nodes' gossip costs if all of them are one group, or one zone's are."""
    members = Range(target.nodes_a_zone, target.nodes)

    def row(resource: str, working: str, value: Range, unit: Unit, allowed: float | None) -> Row:
        return Row(
            Role.NODE_ALL, Situation.REST, resource, working, value, unit, allowed,
            Standing.TODAY, GOSSIP,
        )  # fmt: skip

    return [
        row("memory, members", "gossip.state_memory(1,950 to 7,800 members)",
            slopes.at("gossip.state_memory", members), Unit.BYTES, target.node_bytes),
        row("bytes, gossip", "gossip.bytes(members)",
            slopes.at("gossip.bytes", members), Unit.BYTES_A_SECOND, target.node_bytes_a_second),
        row("processor, gossip", "gossip.cpu(members)",
            cores(slopes.at("gossip.cpu", members)), Unit.CORE, target.node_cores),
        row("messages, gossip", "gossip.messages(members)",
            slopes.at("gossip.messages", members), Unit.A_SECOND, None),
    ]  # fmt: skip


def with_part(target: Target, slopes: Slopes) -> list[Row]:
    """Rows predicted for a node that holds the services assigned to it."""
    return [
        *_part_idle(target, slopes),
        *_largest_service(target, slopes),
        *_part_changes(target, slopes),
        *_part_requests_and_start(target, slopes),
    ]


def _part_idle(target: Target, slopes: Slopes) -> list[Row]:
    """The process and the services, routes and tenants that the node holds."""
    load = Load(target)
    services, backends = load.services_a_node, load.backends_a_node
    state = (
        slopes.at("service.memory", services)
        + slopes.each("list.roster_memory", backends)
        + slopes.each("revisions.memory", backends)
    )
    routes = slopes.each("routes.memory", load.routes_a_node)
    tenants = slopes.each("tenant.memory", load.tenants_a_node)
    base = slopes.at("node.memory", 0)
    cycles = cores(CYCLES_A_SECOND * slopes.at("service.cycle", services))
    idle = cores(slopes.at("node.rest", 0))
    memory, core = target.node_bytes, target.node_cores
    row = _part_node_row
    return [
        row(Situation.REST, "memory, the process", "node.memory(0)", base, Unit.BYTES, memory,
            PROCESS, Standing.TODAY),
        row(Situation.REST, "processor, the process", "node.rest(0)", idle, Unit.CORE, core,
            PROCESS, Standing.TODAY),
        row(Situation.REST, "memory, services and rows",
            "service.memory(services a node) + (list.roster_memory + revisions.memory) x backends",
            state, Unit.BYTES, memory, ASSIGNMENT),
        row(Situation.REST, "memory, routes", "routes.memory x routes a node", routes, Unit.BYTES,
            memory, ASSIGNMENT),
        row(Situation.REST, "memory, tenants", "tenant.memory x tenants a node", tenants,
            Unit.BYTES, memory, ASSIGNMENT),
        row(Situation.REST, "memory, all of it", "the process, services, rows, routes, tenants",
            base + state + routes + tenants, Unit.BYTES, memory, ASSIGNMENT),
        row(Situation.REST, "processor, cycles", "2/s x service.cycle(services a node)", cycles,
            Unit.CORE, core, HOLDER),
        row(Situation.REST, "processor, all of it", "the process, cycles and gossip.cpu(1,950)",
            idle + cycles + cores(slopes.at("gossip.cpu", target.nodes_a_zone)), Unit.CORE, core,
            HOLDER),
    ]  # fmt: skip


def _largest_service(target: Target, slopes: Slopes) -> list[Row]:
    """The largest service, held with all its backends."""
    largest = LARGEST.range
    largest_cycle = cores(CYCLES_A_SECOND * slopes.each("balancer.cycle", largest))
    memory, core = target.node_bytes, target.node_cores
    row = _part_node_row
    return [
        row(Situation.REST, "memory, the largest service whole", "balancer.memory x its backends",
            slopes.each("balancer.memory", largest), Unit.BYTES, memory, SUBSET),
        row(Situation.REST, "processor, the largest service whole",
            "2/s x balancer.cycle x its backends", largest_cycle, Unit.CORE, core, SUBSET),
    ]  # fmt: skip


def _part_changes(target: Target, slopes: Slopes) -> list[Row]:
    """Changes of the services that the node holds."""
    load = Load(target)
    backends = load.backends_a_node
    largest = LARGEST.range
    change = cores(slopes.at("service.change", target.backends_a_service))
    worst = load.rows_a_second_at_worst * load.services_a_node / target.services
    all_at_once = slopes.each("delta.bytes", backends) * 3
    core, sent = target.node_cores, target.node_bytes_a_second
    row = _part_node_row
    return [
        row(Situation.MINUTE, "processor, changes of its services",
            "rows a second of the busiest hour x services a node / 4,500 x service.change(27)",
            worst * change, Unit.CORE, core, SUBSCRIPTION),
        row(Situation.MINUTE, "processor, a roll of the largest service held whole",
            "rows a second of the busiest hour x balancer.change x its backends",
            cores(load.rows_a_second_at_worst * slopes.each("balancer.change", largest)),
            Unit.CORE, core, SUBSET),
        row(Situation.MINUTE, "bytes, all its services rolled",
            "backends a node x 3 rows x delta.bytes / 60 s", all_at_once / 60,
            Unit.BYTES_A_SECOND, sent, SUBSCRIPTION),
        row(Situation.ZONE, "bytes, a zone's rows gone",
            "backends a node / 4 zones x delta.bytes / 6 s",
            slopes.each("delta.bytes", backends) / target.zones / target.in_force_s,
            Unit.BYTES_A_SECOND, sent, SUBSCRIPTION),
    ]  # fmt: skip


def _part_requests_and_start(target: Target, slopes: Slopes) -> list[Row]:
    """Requests, the snapshot at the start, and what sharing a service means for a tenant."""
    load = Load(target)
    backends = load.backends_a_node
    start = slopes.each("list.bytes", backends) + slopes.each("routes.bytes", load.routes_a_node)
    start_tenants = slopes.each("tenant.bytes", load.tenants_a_node)
    sharing = load.subscribers
    sent = target.node_bytes_a_second
    row = _part_node_row
    return [
        row(Situation.ZONE, "processor, requests of the zone beside it",
            "2 x requests a node x node.requests",
            cores(2 * target.rate_a_node * slopes.each("node.requests")), Unit.CORE, None, PROCESS,
            Standing.TODAY),
        row(Situation.DAY, "processor, requests", "requests a node x node.requests",
            cores(target.rate_a_node * slopes.each("node.requests")), Unit.CORE, None, PROCESS,
            Standing.TODAY),
        row(Situation.RESTART, "time, a snapshot without tenants at the bytes allowed",
            "(list.bytes x backends + routes.bytes x routes) / 3 KB a second", start / sent,
            Unit.SECONDS, target.in_force_s, SUBSCRIPTION),
        row(Situation.RESTART, "time, a snapshot's tenants at the bytes allowed",
            "tenant.bytes x tenants a node / 3 KB a second", start_tenants / sent, Unit.SECONDS,
            target.in_force_s, SUBSCRIPTION),
        row(Situation.REST, "descriptors, one to each backend it holds and those of clients",
            "backends a node + clients' connections, against 1,024",
            backends + CLIENT_CONNECTIONS.range, Unit.COUNT, DESCRIPTORS, DEAL, Standing.MODEL),
        row(Situation.REST, "a mean tenant's requests let through at once",
            "a request of burst x nodes that hold the service / 1.7 a second",
            sharing / target.rate_a_tenant, Unit.COUNT, 1.0, QUOTAS, Standing.MODEL),
    ]  # fmt: skip
