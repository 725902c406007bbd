"""Decodes a parsed routes file into a table, or into the list of its faults.

The result is either an immutable `table.Table` or faults, never both. No I/O. Each
rule has an id and a paragraph in docs/operate/routes.md. Values are inherited in the
order defaults -> class (its `base` first) -> route. Each keeps the line where it was
written, so that a fault points at the value to change and not at where it applies.
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
    """The outcome of decoding; `table` is None if and only if there are faults.

    `faults` and `warnings` are sorted by line.
    """

    table: Table | None
    faults: list[Fault]
    warnings: list[Fault]
    explained: list[Explained] = field(default_factory=list)


def decode(
    raw: dict[str, Any], at: Mapping[KeyPath, int], settings: Settings | None = None
) -> Result:
    """Decode and check a whole file.

    `raw` is the parsed TOML, `at` the line of each key path. With `settings`,
    the file is also checked against the classes and limits of the node that will use it.
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
