"""Reads and resolves the policy keys shared by defaults, classes and routes."""

from __future__ import annotations

from typing import Any, TypeVar, cast

from loadbalancer.core.balancing.model import Effect
from loadbalancer.core.routes.reader import TableReader
from loadbalancer.core.routes.specs import ClassSpec, Given, Values
from loadbalancer.core.routes.table import NEVER_RAN, BudgetSpec, Condition, HedgingSpec, Policy

POLICY_KEYS = (
    "wanted",
    "timeout",
    "attempt_timeout",
    "attempts",
    "retry_on",
    "backoff",
    "budget",
    "second_copy",
)
MAX_BUDGET_FLOOR = 1000  # retries and hedges per second
MIN_PERCENTILE, MAX_PERCENTILE = 50, 99.9

T = TypeVar("T")


def read_policy_keys(table: TableReader, where: str) -> Values:
    """Read the policy keys of one section; `where` names it in explanations."""
    found: dict[str, Any] = {
        "wanted": table.duration("wanted"),
        "timeout": table.duration("timeout"),
        "attempt_timeout": table.duration("attempt_timeout"),
        "attempts": _read_attempts(table),
        "retry_on": _read_conditions(table),
        "backoff": _read_backoff(table.child("backoff")),
        "budget": read_budget(table),
        "second_copy": _read_second_copy(table.child("second_copy")),
    }
    return {
        key: Given(value, table.line(key), where)
        for key, value in found.items()
        if value is not None
    }


def read_budget(parent: TableReader) -> BudgetSpec | None:
    """Read the budget for retries and hedges of a section; None if it has none."""
    table = parent.child("budget")
    if table is None:
        return None
    table.known(("part", "floor"))
    part = table.value("part", float)
    floor = table.number("floor", 0, MAX_BUDGET_FLOOR)
    if part is not None and not 0 <= part <= 1:
        wrong = f"part is {part}, which is not a share of the requests"
        table.fault("part", "budget-over-whole", wrong, "write 0 to 1 (0.2 is a fifth)")
    if "part" not in table.raw:
        right = "write { part = 0.2, floor = 3 }"
        table.fault_here("missing-key", "budget has no part", right)
    return BudgetSpec(part or 0.0, 0.0 if floor is None else floor)


def _read_attempts(table: TableReader) -> int | None:
    attempts = table.value("attempts", int)
    if attempts is None or attempts >= 1:
        return attempts
    table.fault("attempts", "bad-value", f"attempts is {attempts}", "write 1 or more")
    return None


def _read_conditions(table: TableReader) -> frozenset[Condition] | None:
    names = table.choices("retry_on", [c.value for c in Condition], "bad-value")
    return None if names is None else frozenset(map(Condition, names))


def _read_backoff(table: TableReader | None) -> tuple[int, int] | None:
    """Read the base and maximum backoff in nanoseconds."""
    if table is None:
        return None
    table.known(("base", "most"))
    base = table.duration("base")
    longest = table.duration("most")
    if "base" not in table.raw:
        table.fault_here("missing-key", "backoff has no base", 'write base = "10ms"')
    if base is not None and longest is not None and longest < base:
        table.fault("most", "backoff-order", "most is less than base", "raise most or lower base")
    return None if base is None else (base, longest or base)


def _read_second_copy(table: TableReader | None) -> HedgingSpec | None:
    if table is None:
        return None
    table.known(("after", "percentile", "most"))
    after = table.duration("after")
    percentile = table.number("percentile", MIN_PERCENTILE, MAX_PERCENTILE)
    max_part = table.number("most", 0, 1)
    if ("after" in table.raw) == ("percentile" in table.raw):
        right = 'write after = "80ms" or percentile = 95'
        wrong = "second_copy needs exactly one of after and percentile"
        table.fault_here("missing-key", wrong, right)
    if "most" not in table.raw:
        wrong = "second_copy has no most, the share of requests that may be hedged"
        table.fault_here("missing-key", wrong, "write most = 0.05")
    return HedgingSpec(after or 0, percentile or 0.0, max_part or 0.0)


def resolve_policy(name: str, spec: ClassSpec, effect: Effect, values: Values) -> Policy:
    """Build the policy of a class from values that include its defaults and bases."""

    def value(key: str, default: T) -> T:
        return cast(T, values[key].value) if key in values else default

    retry_on: frozenset[Condition] | None = value("retry_on", None)
    if retry_on is None and effect == Effect.SIDE_EFFECT:
        retry_on = NEVER_RAN
    backoff_base, max_backoff = value("backoff", (0, 0))
    return Policy(
        name=name,
        cls=spec.name,
        number=spec.number,
        effect=effect,
        scope=spec.scope,
        window=spec.window,
        wanted=value("wanted", 0),
        timeout=value("timeout", 0),
        attempt_timeout=value("attempt_timeout", 0),
        attempts=value("attempts", 0),
        retry_on=retry_on,
        backoff_base=backoff_base,
        max_backoff=max_backoff,
        budget=value("budget", None),
        hedging=value("second_copy", None),
    )
