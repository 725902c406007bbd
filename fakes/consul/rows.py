"""A registered service instance, and the documented JSON forms of it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

LOCAL_DATACENTER = "dc1"
LOCAL_ADDRESS = "127.0.0.1"
PASSING, CRITICAL = "passing", "critical"

_DOCUMENTED_KEYS = {
    key.lower(): key
    for key in (
        *("Name", "ID", "Address", "Port", "Tags", "Meta", "Check", "Checks", "Weights"),
        *("TTL", "Status", "Node", "Service", "ServiceID", "Datacenter"),
    )
}


def with_documented_keys(raw: Any) -> Any:
    """The same data with keys as documented.

    Consul reads JSON whatever the case of its keys. Those within Meta are the user's.
    """
    if isinstance(raw, list):
        return [with_documented_keys(item) for item in raw]
    if not isinstance(raw, dict):
        return raw
    items = ((_DOCUMENTED_KEYS.get(key.lower(), key), value) for key, value in raw.items())
    return {k: v if k == "Meta" else with_documented_keys(v) for k, v in items}


@dataclass(slots=True)
class Instance:
    """One instance of a service."""

    uid: str
    node: str
    node_address: str
    datacenter: str
    service: dict[str, Any]  # in the form of the health endpoint's "Service"
    status: str  # of its own check
    in_maintenance: bool
    ttl_s: float = 0.0  # until its check becomes critical if not renewed; 0 for no limit

    @property
    def name(self) -> str:
        """The service's."""
        return str(self.service["Service"])


def make_instance(raw: dict[str, Any], index: int, replaced: Instance | None) -> Instance:
    """An instance from a registration; `index` is the ModifyIndex of this change."""
    name = raw.get("Name") or raw["Service"]
    uid = raw.get("ID") or name
    service = {
        "ID": uid,
        "Service": name,
        "Tags": raw.get("Tags") or [],
        "Address": raw.get("Address", ""),
        "Port": raw.get("Port", 0),
        "Meta": raw.get("Meta") or {},
        "Weights": raw.get("Weights") or {"Passing": 1, "Warning": 1},
        "CreateIndex": replaced.service["CreateIndex"] if replaced else index,
        "ModifyIndex": index,
    }
    return Instance(
        uid,
        raw.get("Node", f"node-{uid}"),
        raw.get("NodeAddress", LOCAL_ADDRESS),
        raw.get("Datacenter", LOCAL_DATACENTER),
        service,
        raw.get("Status", PASSING),
        raw.get("Maintenance", False),
    )


def check_rows(instance: Instance) -> list[dict[str, Any]]:
    """The checks of an instance and of its node."""
    service = instance.service
    common = {"Node": instance.node, "Notes": "", "Output": ""}
    of_node = {"ServiceID": "", "ServiceName": "", "ServiceTags": []}
    of_service = {
        "ServiceID": instance.uid,
        "ServiceName": instance.name,
        "ServiceTags": service["Tags"],
    }
    serf = {"CheckID": "serfHealth", "Name": "Serf Health Status", "Status": PASSING}
    own = {"CheckID": f"service:{instance.uid}", "Name": "check", "Status": instance.status}
    rows = [common | of_node | serf, common | of_service | own]
    if instance.in_maintenance:
        maintenance = {
            "CheckID": f"_service_maintenance:{instance.uid}",
            "Name": "Service Maintenance Mode",
            "Status": CRITICAL,
        }
        rows.append(common | of_service | maintenance)
    return rows


def health_row(instance: Instance) -> dict[str, Any]:
    """A row of /v1/health/service."""
    node = {
        "ID": "",
        "Node": instance.node,
        "Address": instance.node_address,
        "Datacenter": instance.datacenter,
        "Meta": {},
    }
    return {"Node": node, "Service": instance.service, "Checks": check_rows(instance)}


def catalog_row(instance: Instance) -> dict[str, Any]:
    """A row of /v1/catalog/service."""
    service = instance.service
    return {
        "ID": "",
        "Node": instance.node,
        "Address": instance.node_address,
        "Datacenter": instance.datacenter,
        "ServiceID": instance.uid,
        "ServiceName": instance.name,
        "ServiceTags": service["Tags"],
        "ServiceAddress": service["Address"],
        "ServicePort": service["Port"],
        "ServiceMeta": service["Meta"],
        "ServiceWeights": service["Weights"],
        "CreateIndex": service["CreateIndex"],
        "ModifyIndex": service["ModifyIndex"],
    }
