"""Decodes the rows of Consul's health and catalogue APIs into reports of servers.

Source: Consul HTTP API, "Health": GET /v1/health/service/:service answers with an array of
{Node, Service, Checks}; an empty Service.Address stands for the node's. "Catalog": GET
/v1/catalog/service/:service answers with an array of flat rows {Node, Address, ServiceID,
ServiceAddress, ServicePort, ServiceMeta, ServiceWeights, ...} without checks. Either takes a
filter on its own names of the fields.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any, NamedTuple

from loadbalancer.core.balancing.model import UNKNOWN
from loadbalancer.core.endpoints.server_report import Health, ServerReport
from loadbalancer.sources.consul.agent_response import ResponseError
from loadbalancer.sources.consul.file import META_PREFIX, ServiceApi

MAX_ROWS = 100_000
MAX_PORT = 65_535
MAX_WEIGHT = 65_535
MAX_CELL = 65_535
MAINTENANCE = ("_service_maintenance:", "_node_maintenance")  # how ids of such checks begin
HEALTH = {
    "passing": Health.PASSING,
    "warning": Health.WARNING,
    "critical": Health.CRITICAL,
    "maintenance": Health.MAINTENANCE,
}


class RowError(ResponseError, ValueError):
    """Rows that can't be used; the text says where and why."""


class DecodedRow(NamedTuple):
    """One server, and its value of the field that shards are told apart by."""

    report: ServerReport
    key: str


@dataclass(frozen=True, slots=True)
class RowFormat:
    """An API, and what its filters call the fields.

    Attributes:
        api: where the rows come from.
        shard_by: as in the file: id, node, address or meta.NAME.
        zone_meta: the key of a server's meta that names its zone, "" for none.
        cell_meta: the key of a server's meta that has the number of its cell, "" for none.
    """

    api: ServiceApi = ServiceApi.HEALTH
    shard_by: str = "id"
    zone_meta: str = ""
    cell_meta: str = ""

    @property
    def is_catalog(self) -> bool:
        """Whether rows are the catalogue's, without checks."""
        return self.api is ServiceApi.CATALOG

    @property
    def path(self) -> str:
        """The request path, without the service."""
        return "/v1/catalog/service/" if self.is_catalog else "/v1/health/service/"

    @property
    def id_selector(self) -> str:
        """The filter's name of a server's id."""
        return "ServiceID" if self.is_catalog else "Service.ID"

    @property
    def tags_selector(self) -> str:
        """The filter's name of a server's tags."""
        return "ServiceTags" if self.is_catalog else "Service.Tags"

    @property
    def key_selector(self) -> str:
        """The filter's name of the field by which a list is read in shards."""
        if self.shard_by == "id":
            return self.id_selector
        if self.shard_by == "node":
            return "Node" if self.is_catalog else "Node.Node"
        if self.shard_by == "address":
            return "ServiceAddress" if self.is_catalog else "Service.Address"
        meta = "ServiceMeta" if self.is_catalog else "Service.Meta"
        return f"{meta}.{self.shard_by.removeprefix(META_PREFIX)}"


HEALTH_FORMAT = RowFormat()


def decode_rows(body: bytes, zone: str, row_format: RowFormat = HEALTH_FORMAT) -> list[DecodedRow]:
    """Every server of an answer; `zone` is of those that name none.

    Raises:
        RowError: any row can't be used; then none is.
    """
    try:
        rows = json.loads(body)
    except (ValueError, RecursionError) as err:
        raise RowError(f"no JSON: {err}") from None
    if not isinstance(rows, list) or len(rows) > MAX_ROWS:
        raise RowError(f"no list of at most {MAX_ROWS} rows")
    decoded = []
    for number, row in enumerate(rows):
        try:
            decoded.append(_decode_row(row, zone, row_format))
        except (KeyError, TypeError, ValueError, AttributeError) as err:
            raise RowError(f"row {number}: {type(err).__name__}: {err}") from None
    return decoded


def _decode_row(row: Any, zone: str, row_format: RowFormat) -> DecodedRow:
    health_row = _as_health_row(row) if row_format.is_catalog else row
    report = _decode_report(health_row, zone, row_format)
    return DecodedRow(report, _decode_key(health_row, row_format.shard_by))


def _as_health_row(row: Any) -> dict[str, Any]:
    """A catalogue's flat row in the form of a health one, with no checks."""
    return {
        "Node": {"Node": row["Node"], "Address": row["Address"]},
        "Service": {
            "ID": row["ServiceID"], "Address": row["ServiceAddress"], "Port": row["ServicePort"],
            "Meta": row.get("ServiceMeta"), "Weights": row.get("ServiceWeights"),
        },
        "Checks": None,
    }  # fmt: skip


def _decode_key(row: Any, shard_by: str) -> str:
    service = row["Service"]
    if shard_by == "id":
        return str(service["ID"])
    if shard_by == "node":
        return str(row["Node"]["Node"])
    if shard_by == "address":
        return str(service["Address"])
    return str((service.get("Meta") or {}).get(shard_by.removeprefix(META_PREFIX), ""))


def _decode_report(row: Any, zone: str, row_format: RowFormat) -> ServerReport:
    service, node = row["Service"], row["Node"]
    host = service["Address"] or node["Address"]
    port = service["Port"]
    if not isinstance(host, str) or not host:
        raise ValueError("neither the service nor its node has an address")
    if isinstance(port, bool) or not isinstance(port, int) or not 0 < port <= MAX_PORT:
        raise ValueError(f"port {port!r}")
    health = max((_decode_health(c) for c in row["Checks"] or ()), default=Health.PASSING)
    weights = service.get("Weights") or {}
    weight = weights.get("Warning" if health == Health.WARNING else "Passing", 1)
    if isinstance(weight, bool) or not isinstance(weight, int) or not 0 <= weight <= MAX_WEIGHT:
        raise ValueError(f"weight {weight!r}")
    # An id is unique only at its agent: two nodes may use the same.
    uid = f"{node['Node']}/{service['ID']}"
    meta = service.get("Meta") or {}
    own_zone = str(meta.get(row_format.zone_meta) or zone)
    cell = _decode_cell(meta.get(row_format.cell_meta))
    return ServerReport(uid, host, port, own_zone, health, float(weight), cell=cell)


def _decode_cell(text: Any) -> int:
    """A server's cell; one whose meta doesn't name it is in an unknown one."""
    if text is None:
        return UNKNOWN
    if not str(text).isdecimal() or int(text) > MAX_CELL:
        raise ValueError(f"cell {text!r} is no number from 0 to {MAX_CELL}")
    return int(text)


def _decode_health(check: Any) -> Health:
    if str(check["CheckID"]).startswith(MAINTENANCE):
        return Health.MAINTENANCE
    return HEALTH[check["Status"]]
