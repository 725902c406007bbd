"""Rows of a control machine and of the list service."""

from __future__ import annotations

from benchmarks.scale.capacity.load import MICROSECONDS, Load
from benchmarks.scale.capacity.row import Mechanism, Role, Row, Situation, Slopes, Standing, Unit
from benchmarks.scale.capacity.target import CHANGE_ROWS, NETWORK, RACK, Range, Target, ranged
from loadbalancer.core.endpoints.revisions import MAX_CHANGES

SERVERS_MEASURED = 270  # of every proxy in the measured cases

TODAY = Mechanism("the control service: everything to every proxy",
                  "loadbalancer/control/xds, tests/control/xds/test_service.py")  # fmt: skip
DISTRIBUTION = Mechanism(
    "distribution by subscription, from the service's home region",
    "loadbalancer/core/subscription/publisher.py, tests/core/subscription/test_publisher.py",
)
REPLICATION = Mechanism(
    "the control machines' replicated log of changes",
    "loadbalancer/core/replicated_log/replication.py, "
    "tests/core/replicated_log/test_replication.py",
)
STORE = Mechanism("the control machines' own copy of the list on disk", "not built")
READERS = Mechanism(
    "a few readers for all",
    "loadbalancer/core/endpoints/list_readers.py, tests/core/endpoints/test_shared_list.py",
)
REVISIONS = Mechanism(
    "Revisions, a snapshot past its log",
    "loadbalancer/core/endpoints/revisions.py, tests/core/endpoints/test_revisions.py",
)


def rows(target: Target, slopes: Slopes) -> list[Row]:
    """All rows of both."""
    return [*today(target, slopes), *predicted(target, slopes), *listing(target)]


def today(target: Target, slopes: Slopes) -> list[Row]:
    """The control service as it is, six of them, each serving its part of all nodes."""
    load = Load(target)
    proxies = target.nodes_a_control_machine
    one_down = target.nodes / target.regions / (target.control_machines / target.regions - 1)
    message = slopes.each("control.bytes") * (target.backends / SERVERS_MEASURED)
    events = load.rows_a_second + load.changes_a_second

    def row(
        situation: Situation, resource: str, working: str, value: Range, unit: Unit,
        allowed: float | None,
    ) -> Row:  # fmt: skip
        return Row(
            Role.CONTROL, situation, resource, working, value, unit, allowed, Standing.TODAY, TODAY
        )

    return [
        row(Situation.REST, "connections", "7,800 nodes / 6; one of three lost: 3,900 / 2",
            Range(proxies, one_down), Unit.COUNT, None),
        row(Situation.REST, "memory, proxies with 270 servers each",
            "control.memory(1,300 to 1,950 proxies)",
            slopes.at("control.memory", Range(proxies, one_down)), Unit.BYTES, None),
        row(Situation.DAY, "bytes to one node, all 120,000 backends at each change",
            "changes a second x control.bytes x 120,000 / 270", events * message,
            Unit.BYTES_A_SECOND, target.node_bytes_a_second),
        row(Situation.DAY, "network, all 120,000 backends at each change",
            "changes a second x control.bytes x 120,000 / 270 x 1,300 proxies",
            events * message * proxies, Unit.BYTES_A_SECOND, NETWORK.range.low),
        row(Situation.DAY, "processor, one service of 270 servers to 1,300 proxies",
            "changes a second x control.cpu(1,300 proxies)",
            events * slopes.at("control.cpu", proxies) / MICROSECONDS, Unit.CORE, 1.0),
        row(Situation.MINUTE, "processor, one service of 270 servers to 1,300 proxies",
            "rows and changes a second of the busiest hour x control.cpu(1,300 proxies)",
            (load.rows_a_second_at_worst + load.changes_a_second_at_worst)
            * slopes.at("control.cpu", proxies) / MICROSECONDS, Unit.CORE, 1.0),
        row(Situation.DAY, "time to the last answer, 1,300 proxies", "control.last(1,300 proxies)",
            slopes.at("control.last", proxies) / 1000, Unit.SECONDS, target.in_force_s),
    ]  # fmt: skip


def _predicted_row(
    situation: Situation,
    resource: str,
    working: str,
    value: Range,
    unit: Unit,
    allowed: float | None,
    mechanism: Mechanism = DISTRIBUTION,
    standing: Standing = Standing.PREDICTED,
) -> Row:
    return Row(
        Role.CONTROL, situation, resource, working, value, unit, allowed, standing, mechanism
    )


def predicted(target: Target, slopes: Slopes) -> list[Row]:
    """Rows predicted for a control machine whose nodes subscribe by service."""
    return [
        *_control_memory(target, slopes),
        *_changes_to_subscribers(target, slopes),
        *_rack_or_zone_lost(target, slopes),
        *_snapshots_and_logs(target, slopes),
    ]


def _control_memory(target: Target, slopes: Slopes) -> list[Row]:
    """What a machine holds."""
    nodes = Range(target.nodes_a_control_machine, target.nodes / target.regions)
    texts = slopes.each("revisions.memory", target.backends) + slopes.each(
        "routes.bytes", target.routes
    )
    row = _predicted_row
    return [
        row(Situation.REST, "memory, rows and routes as text",
            "revisions.memory x 120,000 + routes.bytes x 140,000", texts, Unit.BYTES, None,
            REPLICATION),
        row(Situation.REST, "memory, its nodes' connections",
            "control.memory x 1,300 to 3,900 nodes", slopes.each("control.memory", nodes),
            Unit.BYTES, None),
    ]  # fmt: skip


def _changes_to_subscribers(target: Target, slopes: Slopes) -> list[Row]:
    """Changes, to the nodes that hold their services and between the machines."""
    load = Load(target)
    machines = target.control_machines
    per_message = slopes.each("control.cpu") / MICROSECONDS
    worst = load.rows_a_second_at_worst + load.changes_a_second_at_worst
    sends = load.subscribers * worst / machines
    largest = load.subscribers_of_the_largest
    nodes = Range(target.nodes_a_control_machine, target.nodes / target.regions)
    row = _predicted_row
    return [
        row(Situation.MINUTE, "processor, changes to their subscribers",
            "rows and changes a second of the busiest hour x subscribers / 6 x control.cpu",
            sends * per_message, Unit.CORE, 1.0),
        row(Situation.DAY, "fan-out of a change of a usual service", "holders a zone x 4 zones",
            load.subscribers, Unit.COUNT, None),
        row(Situation.DAY, "fan-out of a change of the largest service",
            "its part of 7,800 nodes, at least holders a zone x 4 zones", largest, Unit.COUNT,
            None),
        row(Situation.DAY, "size of a change's message", "rows in one change x delta.bytes",
            slopes.each("delta.bytes", CHANGE_ROWS.range), Unit.BYTES, None),
        row(Situation.MINUTE, "messages to subscribers",
            "rows and changes a second of the busiest hour x subscribers / 6", sends,
            Unit.A_SECOND, None),
        row(Situation.MINUTE, "time, a change of the largest service",
            "its subscribers at one machine x control.cpu", largest * per_message, Unit.SECONDS,
            target.in_force_s),
        row(Situation.DAY, "time, a change that is every node's",
            "1,300 to 3,900 nodes x control.cpu", nodes * per_message, Unit.SECONDS,
            target.in_force_s),
        row(Situation.MINUTE, "messages between control machines",
            "rows and changes a second of the busiest hour x 5 others", worst * (machines - 1),
            Unit.A_SECOND, None, REPLICATION),
    ]  # fmt: skip


def _rack_or_zone_lost(target: Target, slopes: Slopes) -> list[Row]:
    """The rows of a rack or a zone, to their subscribers."""
    load = Load(target)
    machines = target.control_machines
    per_message = slopes.each("control.cpu") / MICROSECONDS
    row = _predicted_row
    return [
        row(Situation.RACK, "time, the rows of a rack to their subscribers",
            "machines in a rack x subscribers x control.cpu, all at one machine",
            RACK.range * load.subscribers * per_message, Unit.SECONDS, target.in_force_s),
        row(Situation.ZONE, "time, a zone's rows as a message each",
            "30,000 rows x subscribers x control.cpu / 6",
            target.backends / target.zones * load.subscribers * per_message / machines,
            Unit.SECONDS, target.in_force_s),
        row(Situation.ZONE, "time, a zone's rows as one message a service",
            "4,500 services x subscribers x control.cpu / 6",
            target.services * load.subscribers * per_message / machines, Unit.SECONDS,
            target.in_force_s),
    ]  # fmt: skip


def _snapshots_and_logs(target: Target, slopes: Slopes) -> list[Row]:
    """Snapshots when all nodes start, and logs after a split of the regions."""
    load = Load(target)
    machines = target.control_machines
    rows_a_node = load.backends_a_node
    snapshot = slopes.each("list.bytes", rows_a_node) + slopes.each(
        "routes.bytes", load.routes_a_node
    )
    nodes = Range(target.nodes_a_control_machine, target.nodes / target.regions)
    encoded = (
        slopes.each("list.write", rows_a_node) + slopes.each("revisions.since", rows_a_node)
    ) / MICROSECONDS
    row = _predicted_row
    return [
        row(Situation.RESTART, "time, snapshots over the network",
            "1,300 to 3,900 nodes x (list.bytes x backends + routes.bytes x routes) / network",
            nodes * snapshot / NETWORK.range.low, Unit.SECONDS, target.in_force_s),
        row(Situation.RESTART, "time, snapshots' processor",
            "1,300 to 3,900 nodes x (list.write + revisions.since) x backends a node",
            nodes * encoded, Unit.SECONDS, target.in_force_s),
        row(Situation.RESTART, "time, its own list anew",
            "120,000 rows / 200 a second, one reader to six",
            target.backends / target.list_lines_a_second * Range(1, machines), Unit.SECONDS,
            target.in_force_s, STORE, Standing.MODEL),
        row(Situation.SPLIT, "rows in one log that the other region missed",
            "(restarts x rows + changes x rows) of an hour, against the log's 4,096",
            load.rows_in_an_hour, Unit.COUNT, MAX_CHANGES, REVISIONS, Standing.MODEL),
        row(Situation.SPLIT, "rows in one service's log",
            "(restarts x rows + changes x rows) of an hour / 4,500 services",
            load.rows_in_an_hour / target.services, Unit.COUNT, MAX_CHANGES, REVISIONS,
            Standing.MODEL),
    ]  # fmt: skip


def listing(target: Target) -> list[Row]:
    """What readers take of the list service's 200 lines a second."""
    load = Load(target)
    lines = target.list_lines_a_second
    readers = float(target.control_machines)
    zone = target.backends / target.zones

    def row(
        situation: Situation, resource: str, working: str, value: Range, unit: Unit,
        allowed: float, mechanism: Mechanism = READERS,
    ) -> Row:  # fmt: skip
        return Row(
            Role.LIST, situation, resource, working, value, unit, allowed, Standing.MODEL, mechanism
        )

    return [
        row(Situation.DAY, "lines, every node a watcher", "changed rows a second x 7,800",
            load.rows_a_second * target.nodes, Unit.A_SECOND, lines,
            Mechanism("none: each node watches for itself", "loadbalancer/sources/discovery.py")),
        row(Situation.DAY, "lines, six watchers", "changed rows a second x 6",
            load.rows_a_second * readers, Unit.A_SECOND, lines),
        row(Situation.MINUTE, "lines, six watchers", "rows a second of the busiest hour x 6",
            load.rows_a_second_at_worst * readers, Unit.A_SECOND, lines),
        row(Situation.RACK, "time, the rows of a rack", "machines in a rack x 6 readers / 200",
            RACK.range * readers / lines, Unit.SECONDS, target.in_force_s),
        row(Situation.ZONE, "time, the rows of a zone", "30,000 rows x 1 to 6 readers / 200",
            zone / lines * Range(1, readers), Unit.SECONDS, target.in_force_s),
        row(Situation.SPLIT, "time, the rows of a region if it is told as gone",
            "60,000 rows x 1 to 6 readers / 200",
            target.backends / target.regions / lines * Range(1, readers), Unit.SECONDS,
            target.in_force_s),
        row(Situation.RESTART, "time, the whole list", "120,000 rows x 1 to 6 readers / 200",
            ranged(target.backends / lines) * Range(1, readers), Unit.SECONDS, target.in_force_s),
    ]  # fmt: skip
