"""Rows of Consul's health and catalogue end points as words on servers.

Source: Consul HTTP API, "Health": GET /v1/health/service/:service answers with an array of
{Node, Service, Checks}; an empty Service.Address stands for the node's. "Catalog": GET
/v1/catalog/service/:service answers with an array of flat rows {Node, Address, ServiceID,
ServiceAddress, ServicePort, ServiceMeta, ServiceWeights, ...} without checks. Either takes a
filter on its own names of the fields.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from loadbalancer.core.endpoints.merged_list import Health, Word
from loadbalancer.core.errors import ProtocolError

MAX_ROWS = 100_000
MAINTENANCE = ("_service_maintenance:", "_node_maintenance")
HEALTH = {
    "passing": Health.PASSING,
    "warning": Health.WARNING,
    "critical": Health.CRITICAL,
    "maintenance": Health.MAINTENANCE,
}


class RowError(ProtocolError, ValueError):
    """An answer that can't be used; the text says where and why."""


@dataclass(frozen=True, slots=True)
class Fields:
    """An end point, and what its filters call the fields that are asked about.

    `shard_by` as in the file: id, node, address or meta.NAME. `zone_meta`: the key of a
    server's meta that names its zone, "" for none.
    """

    catalog: bool = False
    shard_by: str = "id"
    zone_meta: str = ""

    @property
    def path(self) -> str:
        return "/v1/catalog/service/" if self.catalog else "/v1/health/service/"

    @property
    def id(self) -> str:
        return "ServiceID" if self.catalog else "Service.ID"

    @property
    def tags(self) -> str:
        return "ServiceTags" if self.catalog else "Service.Tags"

    @property
    def key(self) -> str:
        """The selector of the field by which a list is read in shards."""
        if self.shard_by == "id":
            return self.id
        if self.shard_by == "node":
            return "Node" if self.catalog else "Node.Node"
        if self.shard_by == "address":
            return "ServiceAddress" if self.catalog else "Service.Address"
        return f"{'ServiceMeta' if self.catalog else 'Service.Meta'}.{self.shard_by[5:]}"


HEALTH_FIELDS = Fields()


def words(body: bytes, zone: str, fields: Fields = HEALTH_FIELDS) -> list[Word]:
    """Every server of an answer; RowError where any row can't be used, and then none is."""
    return [word for word, _ in rows(body, zone, fields)]


def rows(body: bytes, zone: str, fields: Fields) -> list[tuple[Word, str]]:
    """As `words`, each with its value of the field that shards are told apart by."""
    try:
        found = json.loads(body)
    except (ValueError, RecursionError) as err:
        raise RowError(f"no JSON: {err}") from None
    if not isinstance(found, list) or len(found) > MAX_ROWS:
        raise RowError(f"no list of at most {MAX_ROWS} rows")
    out = []
    for i, row in enumerate(found):
        try:
            if fields.catalog:
                row = _as_health(row)
            out.append((_word(row, zone, fields.zone_meta), _key(row, fields.shard_by)))
        except (KeyError, TypeError, ValueError, AttributeError) as err:
            raise RowError(f"row {i}: {type(err).__name__}: {err}") from None
    return out


def _as_health(row: Any) -> dict[str, Any]:
    """A catalogue's flat row in the form of a health one, with no checks."""
    return {
        "Node": {"Node": row["Node"], "Address": row["Address"]},
        "Service": {
            "ID": row["ServiceID"], "Address": row["ServiceAddress"], "Port": row["ServicePort"],
            "Meta": row.get("ServiceMeta"), "Weights": row.get("ServiceWeights"),
        },
        "Checks": None,
    }  # fmt: skip


def _key(row: Any, shard_by: str) -> str:
    service = row["Service"]
    if shard_by == "id":
        return str(service["ID"])
    if shard_by == "node":
        return str(row["Node"]["Node"])
    if shard_by == "address":
        return str(service["Address"])
    return str((service.get("Meta") or {}).get(shard_by[5:], ""))


def _word(row: Any, zone: str, zone_meta: str) -> Word:
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
    zone = str((service.get("Meta") or {}).get(zone_meta) or zone)
    return Word(f"{node['Node']}/{service['ID']}", host, port, zone, health, float(weight))


def _health(check: Any) -> Health:
    if str(check["CheckID"]).startswith(MAINTENANCE):
        return Health.MAINTENANCE
    return HEALTH[check["Status"]]
