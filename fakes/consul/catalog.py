"""What is registered in one cluster, its indexes, and the queries over it."""

from __future__ import annotations

from typing import Any
from urllib.parse import unquote

from fakes.consul.rows import (
    LOCAL_DATACENTER,
    PASSING,
    Instance,
    catalog_row,
    check_rows,
    health_row,
    make_instance,
)

FIRST_INDEX = 10


class UnknownEndpointError(LookupError):
    """A path that is not one of the API's."""


class Catalog:
    """All instances of all datacentres."""

    def __init__(self) -> None:
        self._index = FIRST_INDEX
        self._service_indexes: dict[str, int] = {}
        self._instances: dict[tuple[str, str], Instance] = {}  # by datacentre and uid

    # ---- changes -------------------------------------------------------------------

    def put(self, raw: dict[str, Any]) -> Instance:
        """Register an instance, or replace it."""
        name = raw.get("Name") or raw["Service"]
        key = (raw.get("Datacenter", LOCAL_DATACENTER), raw.get("ID") or name)
        instance = make_instance(raw, self._next_index(name), self._instances.get(key))
        self._instances[key] = instance
        return instance

    def remove(self, datacenter: str, uid: str) -> None:
        """Deregister an instance, if it is registered."""
        instance = self._instances.pop((datacenter, uid), None)
        if instance is not None:
            self._next_index(instance.name)

    def replace_all(self, rows: list[dict[str, Any]]) -> None:
        """Register exactly these."""
        wanted = {(row.get("Datacenter", LOCAL_DATACENTER), row.get("ID")) for row in rows}
        for datacenter, uid in [key for key in self._instances if key not in wanted]:
            self.remove(datacenter, uid)
        for row in rows:
            self.put(row)

    def set_status(self, uid: str, status: str) -> bool:
        """Set the check of an instance, in each datacentre; False where there is none."""
        found = [instance for instance in self._instances.values() if instance.uid == uid]
        for instance in found:
            if instance.status != status:
                instance.status = status
                self._next_index(instance.name)
        return bool(found)

    def set_maintenance(self, instance: Instance, on: bool) -> None:
        """Begin or end an instance's maintenance."""
        instance.in_maintenance = on
        self._next_index(instance.name)

    def rewind(self) -> None:
        """Go back to lower indexes, as after a restore from an old backup."""
        self._index = max(self._index // 2, 1)
        self._service_indexes = dict.fromkeys(self._service_indexes, self._index)

    def _next_index(self, name: str) -> int:
        self._index += 1
        self._service_indexes[name] = self._index
        return self._index

    # ---- queries -------------------------------------------------------------------

    def local_instance(self, uid: str) -> Instance | None:
        """An instance of the agent's own datacentre."""
        return self._instances.get((LOCAL_DATACENTER, uid))

    def index_of(self, path: str) -> int:
        """A service's own index; the catalogue's for a service that was never registered."""
        name = unquote(path.rpartition("/")[2])
        if "/service/" in path and name in self._service_indexes:
            return self._service_indexes[name]
        return self._index

    def query(self, path: str, query: dict[str, str]) -> Any:
        """The answer's body, not yet filtered.

        Raises:
            UnknownEndpointError: there is no such path.
        """
        datacenter = query.get("dc", LOCAL_DATACENTER)
        instances = [i for (dc, _), i in sorted(self._instances.items()) if dc == datacenter]
        area, _, resource = path.removeprefix("/v1/").partition("/")
        endpoint, _, name = resource.partition("/")
        name = unquote(name)
        match area, endpoint:
            case "catalog", "services":
                return _tags_by_service(instances)
            case "catalog", "datacenters":
                return sorted({dc for dc, _ in self._instances} | {LOCAL_DATACENTER})
            case "health", "state":
                checks = [check for instance in instances for check in check_rows(instance)]
                return [check for check in checks if name in ("any", check["Status"])]
            case "catalog", "service":
                return [catalog_row(i) for i in _of_service(instances, name, query)]
            case "health", "service":
                rows = [health_row(i) for i in _of_service(instances, name, query)]
                return [row for row in rows if _is_passing(row)] if "passing" in query else rows
        raise UnknownEndpointError(path)


def _of_service(instances: list[Instance], name: str, query: dict[str, str]) -> list[Instance]:
    found = [instance for instance in instances if instance.name == name]
    if "tag" in query:
        found = [instance for instance in found if query["tag"] in instance.service["Tags"]]
    return found


def _is_passing(row: dict[str, Any]) -> bool:
    return all(check["Status"] == PASSING for check in row["Checks"])


def _tags_by_service(instances: list[Instance]) -> dict[str, list[str]]:
    tags_by_service: dict[str, list[str]] = {}
    for instance in instances:
        tags = tags_by_service.setdefault(instance.name, [])
        tags += [tag for tag in instance.service["Tags"] if tag not in tags]
    return tags_by_service
