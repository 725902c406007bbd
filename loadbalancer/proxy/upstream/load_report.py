"""Parses the load that a backend reports in the header field X-Server-Load."""

from __future__ import annotations

from collections.abc import Sequence
from math import isfinite

# Names of reported figures, each with the name of the settings' column for the same figure.
COLUMN_OF_WIRE_NAME = {
    b"inflight": "rif",
    b"queue": "q",
    b"util": "busy",
    b"latency_ms": "lat_ms",
    b"qps": "rate",
    b"eps": "fail_rate",
}


def parse_load_report(value: bytes, columns: Sequence[str]) -> Sequence[float]:
    """Return the figures of a report `name=figure,name=figure,...` in the order of `columns`.

    Returns an empty sequence if a column is missing, one of its figures is not finite, or any
    part of the report is malformed: the other figures of such a report can't be relied on.
    """
    figures: dict[str, float] = {}
    try:
        for part in value.split(b","):
            wire_name, _, figure = part.strip().partition(b"=")
            name = wire_name.decode()
            figures[name] = figures[COLUMN_OF_WIRE_NAME.get(wire_name, name)] = float(figure)
        load = tuple(figures[column] for column in columns)
    except (ValueError, KeyError):
        return ()
    return load if all(map(isfinite, load)) else ()
