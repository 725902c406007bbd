"""Rows of Consul's health end points as words on servers.

Source: Consul HTTP API, "Health": GET /v1/health/service/:service answers with an array of
{Node, Service, Checks}; an empty Service.Address stands for the node's.
"""

from __future__ import annotations

import json
from typing import Any

from flinthatch.members import Health, Word

MAX_ROWS = 100_000
MAINTENANCE = ("_service_maintenance:", "_node_maintenance")
HEALTH = {
    "passing": Health.PASSING,
    "warning": Health.WARNING,
    "critical": Health.CRITICAL,
    "maintenance": Health.MAINTENANCE,
}


class RowError(ValueError):
    """An answer that can't be used; the text says where and why."""


def words(body: bytes, zone: str) -> list[Word]:
    """Every server of an answer; RowError where any row can't be used, and then none is."""
    try:
        rows = json.loads(body)
    except (ValueError, RecursionError) as err:
        raise RowError(f"no JSON: {err}") from None
    if not isinstance(rows, list) or len(rows) > MAX_ROWS:
        raise RowError(f"no list of at most {MAX_ROWS} rows")
    out = []
    for i, row in enumerate(rows):
        try:
            out.append(_word(row, zone))
        except (KeyError, TypeError, ValueError, AttributeError) as err:
            raise RowError(f"row {i}: {type(err).__name__}: {err}") from None
    return out


def _word(row: Any, zone: str) -> Word:
    service, node = row["Service"], row["Node"]
    host = service["Address"] or node["Address"]
    port = service["Port"]
    if not isinstance(host, str) or not host:
        raise ValueError("neither the service nor its node has an address")
    if isinstance(port, bool) or not isinstance(port, int) or not 0 < port < 65536:
        raise ValueError(f"port {port!r}")
    health = max((_health(c) for c in row["Checks"] or ()), default=Health.PASSING)
    weights = service.get("Weights") or {}
    weight = weights.get("Warning" if health == Health.WARNING else "Passing", 1)
    if isinstance(weight, bool) or not isinstance(weight, int) or not 0 <= weight <= 65535:
        raise ValueError(f"weight {weight!r}")
    # An id is its agent's own: two nodes may use the same.
    # Its last characters are the service id's, by which a list is read in shards.
    return Word(f"{node['Node']}/{service['ID']}", host, port, zone, health, float(weight))


def _health(check: Any) -> Health:
    if str(check["CheckID"]).startswith(MAINTENANCE):
        return Health.MAINTENANCE
    return HEALTH[check["Status"]]
