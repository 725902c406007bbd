"""The routes file: what a TOML parser made of it, decoded into a table or into faults.

Returns a frozen `table.Table` or faults, never both. Free of I/O. Each rule has an
id and a paragraph in docs/operate/routes.md. Inheritance goes defaults -> class (its
`base` first) -> route; a value keeps the line where it was written, so that a fault
points at what has to be changed, not at where it took effect.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from loadbalancer.core.balancing.model import Settings
from loadbalancer.core.routes.classes import ClassReader
from loadbalancer.core.routes.faults import Fault, FaultLog
from loadbalancer.core.routes.policy import read_budget
from loadbalancer.core.routes.reader import KeyPath, Lines, TableReader
from loadbalancer.core.routes.rules import MAX_ATTEMPTS, PolicyRules
from loadbalancer.core.routes.services import Explained, ServiceReader
from loadbalancer.core.routes.table import DEFAULT_NODE_BUDGET, BudgetSpec, Table

VERSION = 1
TOP_KEYS = ("version", "limits", "node", "defaults", "class", "service")


@dataclass(slots=True)
class Result:
    """`table` is None exactly where there are faults. Both lists are in the file's order."""

    table: Table | None
    faults: list[Fault]
    warnings: list[Fault]
    explained: list[Explained] = field(default_factory=list)


def decode(
    raw: dict[str, Any], at: Mapping[KeyPath, int], settings: Settings | None = None
) -> Result:
    """Check a whole file.

    `raw` is the parsed TOML, `at` the line of each key path. With `settings` the
    file is held against the classes and limits of the node that is to use it.
    """
    faults = FaultLog()
    lines = Lines(at)
    top = TableReader(raw, (), lines, faults)
    version = raw.get("version")
    if version != VERSION or isinstance(version, bool):
        top.fault("version", "version", f"version is {version!r}", f"write version = {VERSION}")
        return Result(None, faults.faults(), [])
    top.known(TOP_KEYS)
    rules = PolicyRules(faults, lines, settings)
    _read_limits(top.section("limits"), rules)
    node_budget = _read_node(top.section("node"))
    classes = ClassReader(top, settings, rules).read()
    reader = ServiceReader(top, classes, settings, rules)
    services = reader.read()
    if faults.faults():
        return Result(None, faults.faults(), faults.warnings())
    return Result(Table(services, node_budget), [], faults.warnings(), reader.explained)


def _read_limits(table: TableReader, rules: PolicyRules) -> None:
    table.known(("attempts",))
    attempts = table.number("attempts", 1, MAX_ATTEMPTS)
    if attempts is not None:
        rules.max_attempts = min(rules.max_attempts, int(attempts))


def _read_node(table: TableReader) -> BudgetSpec:
    table.known(("budget",))
    return read_budget(table) or DEFAULT_NODE_BUDGET
