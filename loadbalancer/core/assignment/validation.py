"""Validates the tables of a control file; error messages say what is wrong in one line."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from math import isfinite

from loadbalancer.core.assignment.model import InvalidInputError, NodeSpec, ServiceSpec

MAX_NODES = 20_000
MAX_SERVICES = 20_000
MAX_CAPACITY = 20_000  # services a node
MAX_BACKENDS = 200_000  # backends a service
MAX_RATE = 1e9  # requests a second
MAX_NAME = 256  # characters
SHOWN_CHARACTERS = 40  # of a name that is too long, in an error message
SHOWN_NAMES = 6  # of valid names, in an error message


def check_nodes(nodes: Sequence[NodeSpec]) -> None:
    """Validate the table of nodes.

    Raises:
        InvalidInputError: a name is not unique or has an invalid length, a zone is in two regions,
            or a number is out of range.
    """
    _check_count("nodes", len(nodes), MAX_NODES)
    _check_names("node", (node.name for node in nodes))
    _check_zones("node", nodes)
    for node in nodes:
        place = f"node {node.name!r}"
        _check_range(place, "capacity", node.capacity, 1, MAX_CAPACITY)
        _check_range(place, "rate", node.rate, 0, MAX_RATE)


def check_services(services: Sequence[ServiceSpec], nodes: Sequence[NodeSpec]) -> None:
    """Validate the table of services for assignment to `nodes`.

    Raises:
        InvalidInputError: a name is not unique or has an invalid length, a region or zone has no
            node, or a number is out of range.
    """
    _check_count("services", len(services), MAX_SERVICES)
    _check_names("service", (service.name for service in services))
    regions = {node.region for node in nodes}
    zones = {node.zone for node in nodes}
    for service in services:
        place = f"service {service.name!r}"
        _check_known(place, "region", service.region, regions)
        if not service.zones:
            raise InvalidInputError(f"{place}: zones is empty, must have at least one zone")
        if len(set(service.zones)) != len(service.zones):
            raise InvalidInputError(f"{place}: zones must not have duplicates")
        for zone in service.zones:
            _check_known(place, "zone", zone, zones)
        _check_range(place, "rate", service.rate, 0, MAX_RATE)
        _check_range(place, "backends", service.backends, 0, MAX_BACKENDS)


def _check_count(what: str, count: int, maximum: int) -> None:
    if not 1 <= count <= maximum:
        raise InvalidInputError(f"{what}: there are {count}, must be 1 to {maximum}")


def _check_names(kind: str, names: Iterable[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if not 0 < len(name) <= MAX_NAME:
            raise InvalidInputError(
                f"{kind} {name[:SHOWN_CHARACTERS]!r}: a name must have 1 to {MAX_NAME} characters"
            )
        if name in seen:
            raise InvalidInputError(f"{kind} {name!r}: duplicate name, must be unique")
        seen.add(name)


def _check_zones(kind: str, nodes: Iterable[NodeSpec]) -> None:
    region_of: dict[str, str] = {}
    for node in nodes:
        place = f"{kind} {node.name!r}"
        if not node.region or not node.zone:
            raise InvalidInputError(f"{place}: region and zone must not be empty")
        region = region_of.setdefault(node.zone, node.region)
        if region != node.region:
            raise InvalidInputError(
                f"{place}: zone {node.zone!r} is in region {region!r} for another {kind}, "
                f"can't be in {node.region!r} too"
            )


def _check_range(place: str, what: str, value: float, minimum: float, maximum: float) -> None:
    if not (isfinite(value) and minimum <= value <= maximum):
        raise InvalidInputError(f"{place}: {what} is {value}, must be {minimum} to {maximum:.0f}")


def _check_known(place: str, what: str, name: str, known: set[str] | Mapping[str, object]) -> None:
    if name not in known:
        examples = ", ".join(sorted(known)[:SHOWN_NAMES])
        raise InvalidInputError(f"{place}: unknown {what} {name!r}, must be one of {examples}")
