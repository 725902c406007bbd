"""The load that a backend reports about itself in the field X-Server-Load."""

from __future__ import annotations

from collections.abc import Sequence
from math import isfinite

# Names of figures on the wire, beside those that settings may use for the same figure.
COLUMN_OF_WIRE_NAME = {
    b"inflight": "rif",
    b"queue": "q",
    b"util": "busy",
    b"latency_ms": "lat_ms",
    b"qps": "rate",
    b"eps": "fail_rate",
}


def parse_load_report(value: bytes, columns: Sequence[str]) -> Sequence[float]:
    """The figures of a report `name=figure,name=figure ...` in the order of `columns`.

    Empty where one is missing, malformed or not finite: a report that is wrong in part
    says nothing reliable about the rest.
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
