"""Median and spread of a few runs."""

from __future__ import annotations

from collections.abc import Sequence
from statistics import median


def spread(values: Sequence[float], digits: int = 3) -> dict[str, float]:
    """The median, the least and the most."""
    return {
        "median": round(median(values), digits),
        "least": round(min(values), digits),
        "most": round(max(values), digits),
        "runs": len(values),
    }
