"""Medians, bounds and percentiles of measured values, in the form that results have."""

from __future__ import annotations

from collections.abc import Sequence
from statistics import median


def spread(values: Sequence[float], digits: int = 3) -> dict[str, float]:
    """The median, the minimum ("least") and the maximum ("most") of a value's runs, rounded."""
    return {
        "median": round(median(values), digits),
        "least": round(min(values), digits),
        "most": round(max(values), digits),
        "runs": len(values),
    }


def spread_by_key(rows: Sequence[dict[str, float]], digits: int = 3) -> dict[str, dict[str, float]]:
    """The spread of each figure over runs that have the same figures."""
    return {key: spread([row[key] for row in rows], digits) for key in rows[0]}


def p50_and_p99(seconds: Sequence[float]) -> dict[str, float]:
    """The median and the 99th percentile of times, each one of them, to the millisecond."""
    ordered = sorted(seconds)
    p99_place = min(int(0.99 * len(ordered)), len(ordered) - 1)
    return {"p50": round(ordered[len(ordered) // 2], 3), "p99": round(ordered[p99_place], 3)}
