"""Straight lines through measured costs, and what they say at another size.

A cost is measured at three sizes or more; the line through them has a slope (the cost of one
more item) and an intercept (the cost of none). How far the measured points lie from the line
is kept beside it, so that a line that does not fit is seen and is not multiplied out in silence.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict, dataclass
from statistics import linear_regression, mean
from typing import Any

LEAST_SIZES = 3  # two points are always on a line
GOOD_RESIDUAL = 0.1  # a largest relative residual up to here is called a straight line


class FitError(ValueError):
    """Points through which no line can be drawn; the text says why."""


@dataclass(frozen=True, slots=True)
class Point:
    """One measured cost at one size: the value that counts, the median and most of its repeats."""

    size: float
    value: float
    median: float
    most: float


@dataclass(frozen=True, slots=True)
class Slope:
    """A cost as a straight line over sizes.

    `unit` is that of the cost (bytes, microseconds) and `item` what sizes count. `residual` is
    the largest distance of a point from the line, as a part of that point's value (of the largest
    one where its own is 0); `r2` the coefficient of determination.
    """

    name: str
    unit: str
    item: str
    per_item: float
    fixed: float
    residual: float
    r2: float
    points: tuple[Point, ...]

    @property
    def sizes(self) -> tuple[float, ...]:
        """The measured sizes, ascending."""
        return tuple(p.size for p in self.points)

    @property
    def straight(self) -> bool:
        """Whether every point lies near the line."""
        return self.residual <= GOOD_RESIDUAL

    def at(self, size: float) -> float:
        """The cost at a size by the line, never under 0."""
        return max(self.fixed + self.per_item * size, 0.0)

    def beyond(self, size: float) -> float:
        """How many times the largest measured size this one is: 1.0 or less was measured."""
        return size / self.points[-1].size

    def as_json(self) -> dict[str, Any]:
        """Plain data; `from_json` reads it back."""
        return asdict(self)


def from_json(raw: dict[str, Any]) -> Slope:
    """A slope from what `Slope.as_json` gave; FitError names what is missing or too much."""
    try:
        points = tuple(Point(**p) for p in raw["points"])
        return Slope(**{**raw, "points": points})
    except (KeyError, TypeError) as err:
        raise FitError(f"not a slope: {err}") from None


def fit(name: str, unit: str, item: str, points: Sequence[Point]) -> Slope:
    """The least-squares line through these points; FitError where they are too few."""
    ordered = tuple(sorted(points, key=lambda p: p.size))
    if len({p.size for p in ordered}) < LEAST_SIZES:
        raise FitError(f"{name}: a line needs {LEAST_SIZES} sizes, not {len(ordered)}")
    line = linear_regression([p.size for p in ordered], [p.value for p in ordered])
    expected = [line.intercept + line.slope * p.size for p in ordered]
    largest = max(abs(p.value) for p in ordered) or 1.0
    residual = max(
        abs(p.value - e) / (abs(p.value) or largest) for p, e in zip(ordered, expected, strict=True)
    )
    return Slope(
        name=name,
        unit=unit,
        item=item,
        per_item=line.slope,
        fixed=line.intercept,
        residual=residual,
        r2=determination([p.value for p in ordered], expected),
        points=ordered,
    )


def determination(values: Sequence[float], expected: Sequence[float]) -> float:
    """R squared: 1.0 where the line explains all variance, 1.0 too where there is none."""
    centre = mean(values)
    total = sum((v - centre) ** 2 for v in values)
    residual = sum((v - e) ** 2 for v, e in zip(values, expected, strict=True))
    return 1.0 - residual / total if total > 0 else 1.0
