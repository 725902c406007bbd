"""One row of the page: what a role spends on something in one situation."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from benchmarks.scale.capacity.target import Range
from benchmarks.scale.fit import Slope


class Role(StrEnum):
    """Who holds or sends."""

    NODE_ALL = "node that holds all"
    NODE = "node with its part"
    CONTROL = "control machine"
    LIST = "list service"
    BACKEND = "backend"
    CLIENTS = "clients' side"


class Situation(StrEnum):
    """When."""

    REST = "at rest"
    DAY = "ordinary day"
    MINUTE = "worst minute"
    RACK = "rack lost"
    ZONE = "zone lost"
    SPLIT = "region split, 1 h"
    RESTART = "all restarted"


class Standing(StrEnum):
    """What a figure rests on."""

    TODAY = "today"  # measured slopes of the code as it is
    PREDICTED = "predicted"  # the same slopes, multiplied by what a mechanism will hold
    MODEL = "model"  # a formula without a measured slope


class Unit(StrEnum):
    """Of a value and of what is allowed."""

    BYTES = "bytes"
    BYTES_A_SECOND = "bytes/s"
    CORE = "core"  # part of one
    SECONDS = "s"
    PART = "part"
    COUNT = ""
    A_SECOND = "/s"


@dataclass(frozen=True, slots=True)
class Mechanism:
    """What carries a row, and where it is: a module and its test, or not built."""

    name: str
    where: str


@dataclass(frozen=True, slots=True)
class Row:
    """`working` is the arithmetic in words; `allowed` is None where the target sets no bound."""

    role: Role
    situation: Situation
    resource: str
    working: str
    value: Range
    unit: Unit
    allowed: float | None
    standing: Standing
    mechanism: Mechanism

    @property
    def ratio(self) -> Range | None:
        """Measured against allowed: over 1 the budget is not met."""
        return None if self.allowed is None else self.value / self.allowed


def by_ratio(rows: list[Row]) -> list[Row]:
    """The worst first, by the upper end; what nothing bounds comes last."""

    def key(row: Row) -> tuple[bool, float]:
        return (row.ratio is None, -row.ratio.high if row.ratio is not None else 0.0)

    return sorted(rows, key=key)


class MissingSlopeError(LookupError):
    """A row wants a slope that has not been measured."""


class Slopes:
    """Measured slopes by name, at a size that may be a range."""

    def __init__(self, by_name: dict[str, Slope]) -> None:
        self._by_name = by_name

    def __getitem__(self, name: str) -> Slope:
        found = self._by_name.get(name)
        if found is None:
            raise MissingSlopeError(f"no slope {name!r}: measure it with the sub-command slopes")
        return found

    def at(self, name: str, size: Range | float) -> Range:
        """The cost of so many items, the cost of none included."""
        slope = self[name]
        if isinstance(size, Range):
            return Range(slope.at(size.low), slope.at(size.high))
        return Range(slope.at(size), slope.at(size))

    def each(self, name: str, size: Range | float = 1.0) -> Range:
        """The cost of so many further items: the slope alone, never under 0."""
        per_item = max(self[name].per_item, 0.0)
        return size * Range(per_item, per_item)
