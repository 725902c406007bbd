"""A fleet of a stated size, drawn from a seed: nodes, services, backends, and their changes.

Services' rates follow Zipf's law with a flat exponent, so that the largest service is in
hundreds of nodes' reach and not in all; backends follow the rates. Changes and failures come at a
stated multiple of the target's daily rates.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from itertools import pairwise
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from loadbalancer.core.assignment.model import NodeSpec, ServiceSpec

REGIONS = {"east": ("east-1", "east-2"), "west": ("west-1", "west-2")}
ZIPF_EXPONENT = 0.6  # of the services' rates
NODE_CAPACITY = 64  # services that a node may have
NODE_RATE = 100.0  # requests a second of a node, on average
MACHINES_PER_REGION = 3
MACHINE_ADDRESSES = ("subscribers", "peers", "admin")  # keys, in the order of their ports
CHANGES_A_DAY = 22_000.0
FAILURES_A_DAY = 180.0
DAY_S = 86_400.0
MAX_MULTIPLE = 100_000.0  # of the daily rates
# Probability that a change ends a drain; and of the others, that it adds a backend, and that it
# begins a drain.
DRAIN_PART = 0.3
MAX_SEED = (1 << 63) - 1
BACKEND_PORT = 9000
MIN_ACTIVE = 2  # of a service's backends, for one of them to drain


class WorldError(ValueError):
    """A size, a seed or a rate out of range; the text names it and the rule."""


@dataclass(frozen=True, slots=True)
class Sizes:
    """How large the fleet is."""

    nodes: int = 7_800
    backends: int = 120_000
    services: int = 4_500
    routes: int = 140_000
    tenants: int = 490_000

    def __post_init__(self) -> None:
        bounds = {
            "nodes": (8, 20_000), "backends": (1, 1_000_000), "services": (1, 20_000),
            "routes": (0, 10_000_000), "tenants": (0, 10_000_000),
        }  # fmt: skip
        for name, (minimum, maximum) in bounds.items():
            value = getattr(self, name)
            if not minimum <= value <= maximum:
                raise WorldError(f"--{name}: [range] {value}; write {minimum} to {maximum}")
        if self.backends < self.services:
            raise WorldError(
                f"--backends: [range] {self.backends} for {self.services} services; "
                "write one for each at least"
            )


@dataclass(frozen=True, slots=True)
class DrawnChange:
    """One change of a service's backends, as it is submitted."""

    service: str
    rows: tuple[dict[str, Any], ...] = ()
    removed: tuple[str, ...] = ()

    def as_json(self) -> dict[str, Any]:
        """Return it as `POST /changes` takes it."""
        return {"service": self.service, "rows": list(self.rows), "removed": list(self.removed)}


class MachinePlace(NamedTuple):
    """One control machine: its name, and where it is."""

    name: str
    region: str
    zone: str


class BoundListener(NamedTuple):
    """A listener of one service's list at a control machine; fields as the file names them."""

    machine: str
    service: str
    listen: str  # host:port


class World:
    """The fleet, and its backends as they change; one seed gives one sequence."""

    def __init__(self, sizes: Sizes, seed: int, everywhere: bool = False) -> None:
        """`everywhere`: each node may have every service. WorldError on a seed out of range."""
        if not 0 <= seed <= MAX_SEED:
            raise WorldError(f"--seed: [range] {seed}; write 0 to {MAX_SEED}")
        self.sizes = sizes
        self.seed = seed
        self._random = Random(seed)
        self.zones = [zone for zones in REGIONS.values() for zone in zones]
        self.nodes = self._make_nodes(sizes.services if everywhere else NODE_CAPACITY)
        self.services = self._make_services()
        self.backends: dict[str, dict[str, dict[str, Any]]] = {}  # rows by service and uid
        self._drains: list[tuple[str, str]] = []  # services and uids of draining backends
        self._created = 0  # backends so far
        for service in self.services:
            rows = [self._make_row(service) for _ in range(service.backends)]
            self.backends[service.name] = {row["uid"]: row for row in rows}

    def _make_nodes(self, capacity: int) -> list[NodeSpec]:
        places = [(region, zone) for region, zones in REGIONS.items() for zone in zones]
        return [
            NodeSpec(f"n{i:05d}", *places[i % len(places)], capacity=capacity)
            for i in range(self.sizes.nodes)
        ]

    def _make_services(self) -> list[ServiceSpec]:
        count = self.sizes.services
        weights = [(rank + 1) ** -ZIPF_EXPONENT for rank in range(count)]
        total = sum(weights)
        rate = NODE_RATE * self.sizes.nodes
        counts = self._backend_counts(weights)
        regions = list(REGIONS)
        return [
            ServiceSpec(
                f"s{i:04d}",
                regions[i % len(regions)],
                tuple(self.zones),
                rate * weights[i] / total,
                counts[i],
            )
            for i in range(count)
        ]

    def _backend_counts(self, weights: list[float]) -> list[int]:
        """How many backends each service has: one, and a part of the others by its weight."""
        total = sum(weights)
        others = self.sizes.backends - len(weights)
        # Cumulative parts are rounded, not each part: so the counts add up to the total exactly.
        cumulative_counts = [0]
        cumulative_weight = 0.0
        for weight in weights:
            cumulative_weight += weight
            cumulative_counts.append(round(others * cumulative_weight / total))
        return [1 + after - before for before, after in pairwise(cumulative_counts)]

    def _make_row(self, service: ServiceSpec) -> dict[str, Any]:
        number = self._created
        self._created += 1
        host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
        return {
            "uid": f"{service.name}-{number:06x}",
            "endpoint": f"{host}:{BACKEND_PORT}",
            "az": self.zones[number % len(self.zones)],
            "model": "m2",
            "pod_group": 0,
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    # ---- changes --------------------------------------------------------

    def change(self) -> DrawnChange:
        """Draw the next change: a new backend, another weight, a drain or the end of one."""
        if self._drains and self._random.random() < DRAIN_PART:
            service, uid = self._drains.pop(0)
            if self.backends[service].pop(uid, None) is not None:
                return DrawnChange(service, removed=(uid,))
        spec = self._random.choice(self.services)
        row = self._changed_row(spec)
        self.backends[spec.name][row["uid"]] = row
        return DrawnChange(spec.name, (row,))

    def _changed_row(self, spec: ServiceSpec) -> dict[str, Any]:
        """A new backend, or an active one that drains or has another weight."""
        rows = self.backends[spec.name]
        active = [uid for uid, row in rows.items() if row["state"] == "active"]
        drawn = self._random.random()
        if len(active) < MIN_ACTIVE or drawn < DRAIN_PART:
            return self._make_row(spec)
        row = dict(rows[self._random.choice(active)])
        if drawn < 2 * DRAIN_PART:
            row["state"] = "leaving"
            self._drains.append((spec.name, row["uid"]))
        else:
            row["capacity_hint"] = self._random.randrange(1, 17) / 4
        return row

    # ---- files -----------------------------------------------------------------

    def write(
        self, folder: Path, port: int, bound: list[BoundListener], rules: dict[str, float]
    ) -> Path:
        """Write the control machines' file and those it names.

        Args:
            folder: of all files.
            port: the machines' first one; the others follow it.
            bound: listeners of single services.
            rules: of the assignment, by their keys in the file.
        """
        _write_lines(folder / "nodes.jsonl", (asdict(node) for node in self.nodes))
        _write_lines(folder / "services.jsonl", (asdict(one) for one in self.services))
        rows = (
            {"service": service, "targets": list(rows.values())}
            for service, rows in self.backends.items()
        )
        _write_lines(folder / "backends.jsonl", rows)
        lines = ["version = 1", f"seed = {self.seed}", 'nodes_file = "nodes.jsonl"']
        lines += ['services_file = "services.jsonl"', 'backends_file = "backends.jsonl"']
        lines += ["[regions]", *(_toml_line(name, list(zones)) for name, zones in REGIONS.items())]
        lines += ["[assignment]", *(_toml_line(name, value) for name, value in rules.items())]
        for machine in machines():
            addresses = {key: f"127.0.0.1:{port + i}" for i, key in enumerate(MACHINE_ADDRESSES)}
            lines += _toml_table("machine", machine._asdict() | addresses)
            port += len(MACHINE_ADDRESSES)
        for listener in bound:
            lines += _toml_table("bound", listener._asdict())
        path = folder / "scale.toml"
        path.write_text("\n".join(lines) + "\n")
        return path


def machines() -> Iterator[MachinePlace]:
    """Yield the six control machines."""
    for region, zones in REGIONS.items():
        for i in range(MACHINES_PER_REGION):
            yield MachinePlace(f"{region}-{'abc'[i]}", region, zones[i % len(zones)])


def _toml_table(name: str, values: dict[str, str]) -> list[str]:
    """The lines of one table of an array."""
    return [f"[[{name}]]", *(_toml_line(key, value) for key, value in values.items())]


def _toml_line(key: str, value: object) -> str:
    return f"{key} = {json.dumps(value)}"


def _write_lines(path: Path, rows: Iterator[dict[str, Any]]) -> None:
    with open(path, "w") as file:
        for row in rows:
            file.write(json.dumps(row) + "\n")
