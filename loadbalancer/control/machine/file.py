"""deploy/scale.toml, the control machines' file, decoded in one place.

Large fleets name their nodes and services in files of JSON lines beside it (`nodes_file`,
`services_file`), one object a line with the same keys as a [[node]] or [[service]] table.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from difflib import get_close_matches
from ipaddress import ip_address
from pathlib import Path
from typing import Any, TypeVar

from loadbalancer.config import toml_section as section
from loadbalancer.config.address import Address
from loadbalancer.config.toml_file import Key
from loadbalancer.config.toml_section import Section
from loadbalancer.core.assignment.model import MachineSpec, NodeSpec, ServiceSpec
from loadbalancer.core.assignment.rules import AssignmentRules
from loadbalancer.core.errors import ConfigurationError
from loadbalancer.core.routes.faults import Fault

SECTIONS: Mapping[str, tuple[str, ...]] = {
    "": ("version", "seed", "plain_network", "nodes_file", "services_file", "backends_file",
         "regions", "limits", "assignment", "machine", "node", "service", "bound"),
    "limits": ("subscribers", "change_bytes", "backlog", "snapshot_rate"),
    "assignment": ("least_per_zone", "most_sharers", "node_rate"),
    "machine": ("name", "region", "zone", "subscribers", "peers", "admin"),
    "node": ("name", "region", "zone", "capacity", "rate"),
    "service": ("name", "region", "zones", "rate", "backends"),
    "bound": ("machine", "service", "listen"),
}  # fmt: skip
MOST_REGIONS, MOST_ZONES = 8, 16
MOST_MACHINES, MOST_NODES, MOST_SERVICES, MOST_BOUND = 32, 20_000, 20_000, 256
MOST_CAPACITY, MOST_BACKENDS, MOST_SEED = 20_000, 100_000, (1 << 63) - 1
MOST_RATE = 1e9  # requests a second
MOST_NAME = 128  # characters
MOST_LINES_FILE = 64 << 20  # bytes of a file of JSON lines
MOST_FAULTS = 20  # of one file of JSON lines that are told
LOOPBACK = "write 127.0.0.1, or plain_network = true where strangers can't reach it"

T = TypeVar("T")


class ScaleFileError(ConfigurationError):
    """A control file that can't be used; one fault a line."""


@dataclass(frozen=True, slots=True)
class Machine:
    """A control machine and its three addresses."""

    spec: MachineSpec
    subscribers: Address  # nodes ask here for their services
    peers: Address  # the other control machines speak here
    admin: Address  # operators ask here, and hand in changes


@dataclass(frozen=True, slots=True)
class Bound:
    """A listener of one machine that serves one service to a node that knows of no others."""

    machine: str
    service: str
    listen: Address


@dataclass(frozen=True, slots=True)
class Limits:
    """What peers may use at most."""

    subscribers: int = 8192  # connections at one machine
    change_bytes: int = 1 << 20  # of one change handed in
    backlog: int = 64 << 20  # bytes that wait for one other machine
    snapshot_rate: int = 2_000_000  # bytes a second of whole services at one machine


@dataclass(frozen=True, slots=True)
class ScaleFile:
    """The whole file."""

    regions: Mapping[str, tuple[str, ...]]  # zones by region
    machines: tuple[Machine, ...]
    nodes: tuple[NodeSpec, ...]
    services: tuple[ServiceSpec, ...]
    bound: tuple[Bound, ...] = ()
    limits: Limits = field(default_factory=Limits)
    seed: int = 0
    rules: AssignmentRules = field(default_factory=AssignmentRules)
    backends: Path | None = None  # where a region that has lost its log is loaded from

    def machine(self, name: str) -> Machine:
        """The machine of that name; ScaleFileError naming the nearest where there is none."""
        found = {machine.spec.name: machine for machine in self.machines}
        if name in found:
            return found[name]
        near = get_close_matches(name, found, 1) or sorted(found)[:1]
        raise ScaleFileError(f"--machine: [unknown-machine] no {name!r}; nearest is {near[0]!r}")


def read_scale(path: str) -> ScaleFile:
    """Read and decode it; ScaleFileError with every fault and its line."""
    return section.read_file(path, decode, ScaleFileError)


def decode(
    raw: dict[str, Any], lines: Mapping[Key, int], folder: Path = Path()
) -> tuple[ScaleFile | None, list[Fault]]:
    """The decoded file, or its faults in the file's order."""
    top = section.top_of(raw, lines, folder, SECTIONS[""])
    regions = _regions(top)
    seed = _whole(top, "seed", 0, 0, MOST_SEED)
    plain = top.raw.get("plain_network", False)
    if not isinstance(plain, bool):
        top.fault("plain_network", "bad-value", "plain_network is no boolean", "write true")
    limits = _limits(top)
    rules = _rules(top)
    reader = _Reader(regions, plain is True)
    machines = reader.tables(top, "machine", MOST_MACHINES, reader.machine)
    nodes = reader.tables(top, "node", MOST_NODES, reader.node)
    nodes += reader.json_lines(top, "nodes_file", "node", MOST_NODES, reader.node)
    services = reader.tables(top, "service", MOST_SERVICES, reader.service)
    services += reader.json_lines(top, "services_file", "service", MOST_SERVICES, reader.service)
    bound = reader.tables(top, "bound", MOST_BOUND, reader.bound)
    if not machines:
        top.fault("machine", "missing-key", "no machine", "write [[machine]]")
    if top.faults:
        return None, sorted(top.faults)
    found = ScaleFile(
        regions,
        tuple(machines),
        tuple(nodes),
        tuple(services),
        tuple(bound),
        limits,
        seed,
        rules,
        top.path("backends_file") if "backends_file" in raw else None,
    )
    return found, []


def _regions(top: Section) -> Mapping[str, tuple[str, ...]]:
    """Zones by region; each zone is in one region."""
    raw = top.raw.get("regions")
    if not isinstance(raw, dict) or not 1 <= len(raw) <= MOST_REGIONS:
        right = 'write [regions] east = ["east-1"]'
        top.fault("regions", "missing-key", f"not 1 to {MOST_REGIONS} regions", right)
        return {}
    table = top.sub(raw, "regions")
    found: dict[str, tuple[str, ...]] = {}
    seen: set[str] = set()
    for name, zones in raw.items():
        if not _names(zones) or not 1 <= len(zones) <= MOST_ZONES:
            table.fault(name, "bad-value", f"{name} has no zones", f'write ["{name}-1"]')
            continue
        twice = [zone for zone in zones if zone in seen or zones.count(zone) > 1]
        if twice:
            table.fault(name, "twice", f"zone {twice[0]!r} again", "write each zone once")
        seen.update(zones)
        found[name] = tuple(zones)
    return found


def _table(top: Section, name: str) -> Section:
    """A table of the file, with its keys checked; empty where there is none."""
    raw = top.raw.get(name, {})
    if not isinstance(raw, dict):
        top.fault(name, "bad-value", f"{name} is no table", f"write [{name}]")
        raw = {}
    table = top.sub(raw, name)
    table.known(SECTIONS[name])
    return table


def _limits(top: Section) -> Limits:
    table = _table(top, "limits")
    usual = Limits()
    return Limits(
        _whole(table, "subscribers", usual.subscribers, 1, 100_000),
        _whole(table, "change_bytes", usual.change_bytes, 1024, 16 << 20),
        _whole(table, "backlog", usual.backlog, 1 << 20, 1 << 30),
        _whole(table, "snapshot_rate", usual.snapshot_rate, 1024, 1 << 30),
    )


def _rules(top: Section) -> AssignmentRules:
    table = _table(top, "assignment")
    usual = AssignmentRules()
    node_rate = _rate(table, "node_rate") if "node_rate" in table.raw else usual.node_rate
    if node_rate <= 0:
        table.fault("node_rate", "bad-value", "node_rate is 0", "write over 0 a second")
        node_rate = usual.node_rate
    return AssignmentRules(
        _whole(table, "least_per_zone", usual.min_per_zone, 1, 64),
        _whole(table, "most_sharers", usual.max_sharers, 1, 20_000),
        node_rate,
    )


def _names(value: Any) -> bool:
    return isinstance(value, list) and all(isinstance(name, str) and name for name in value)


def _whole(table: Section, key: str, usual: int, least: int, most: int) -> int:
    value = table.raw.get(key, usual)
    if type(value) is int and least <= value <= most:
        return value
    wrong = f"{key} is {value!r}"
    table.fault(key, "bad-value", wrong, f"write a whole number from {least} to {most}")
    return usual


def _rate(table: Section, key: str) -> float:
    value = table.raw.get(key, 0.0)
    if type(value) in (int, float) and math.isfinite(value) and 0 <= value <= MOST_RATE:
        return float(value)
    table.fault(key, "bad-value", f"{key} is {value!r}", f"write 0 to {MOST_RATE:g} a second")
    return 0.0


def _near(value: str, words: list[str]) -> str:
    near = get_close_matches(value, words, 1)
    return f"did you mean {near[0]!r}?" if near else f"write one of {', '.join(words[:8])}"


def _known(table: Section, key: str, words: Iterable[str], value: str) -> None:
    """A fault naming the nearest where the value is none of these names."""
    words = list(words)
    if value and value not in words:
        table.fault(key, f"unknown-{key}", f"no {key} {value!r}", _near(value, words))


class _Reader:
    """Reads the tables that name one another, in the order in which they do."""

    def __init__(self, regions: Mapping[str, tuple[str, ...]], plain: bool) -> None:
        self.regions = regions
        self.plain = plain
        self.names: dict[str, set[str]] = {"machine": set(), "node": set(), "service": set()}
        self.addresses: set[Address] = set()

    def tables(self, top: Section, kind: str, most: int, read: Callable[[Section], T]) -> list[T]:
        """The file's own tables of one kind."""
        rows = top.raw.get(kind, [])
        if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
            top.fault(kind, "bad-value", f"{kind} is no array of tables", f"write [[{kind}]]")
            return []
        if len(rows) > most:
            top.fault(kind, "too-many", f"over {most} of {kind}", "divide the fleet")
            return []
        found = []
        for i, row in enumerate(rows):
            table = top.sub(row, kind, i)
            table.known(SECTIONS[kind])
            found.append(read(table))
        return found

    def json_lines(
        self, top: Section, key: str, kind: str, most: int, read: Callable[[Section], T]
    ) -> list[T]:
        """The objects of the file that `key` names, one a line."""
        if key not in top.raw:
            return []
        path = top.path(key)
        try:
            with open(path, "rb") as file:
                data = file.read(MOST_LINES_FILE + 1)
        except OSError as err:
            top.fault(key, "unreadable", f"{path.name} can't be read: {err.strerror}", "see it")
            return []
        rows = data.splitlines()
        if len(data) > MOST_LINES_FILE or len(rows) > most:
            wrong = f"{path.name} has over {MOST_LINES_FILE} bytes or {most} lines"
            top.fault(key, "too-large", wrong, "divide the fleet")
            return []
        found: list[T] = []
        faults: list[Fault] = []
        for number, row in enumerate(rows, 1):
            table = Section({}, (), {(): number}, top.folder, faults)
            try:
                table.raw = json.loads(row)
            except (ValueError, RecursionError):
                table.raw = {}
            if not isinstance(table.raw, dict) or not table.raw:
                table.fault("", "syntax", "is no JSON object", "write one a line")
            else:
                table.known(SECTIONS[kind])
                found.append(read(table))
            if len(faults) >= MOST_FAULTS:
                break
        for fault in faults:
            top.fault(key, fault.rule, f"{path.name}:{fault.line}: {fault.wrong}", fault.right)
        return found

    def machine(self, table: Section) -> Machine:
        name = self.name(table, "machine")
        region, zone = self.place(table)
        addresses = [self.address(table, key) for key in ("subscribers", "peers", "admin")]
        return Machine(MachineSpec(name, region, zone), *addresses)

    def node(self, table: Section) -> NodeSpec:
        name = self.name(table, "node")
        region, zone = self.place(table)
        capacity = _whole(table, "capacity", 64, 1, MOST_CAPACITY)
        return NodeSpec(name, region, zone, capacity, _rate(table, "rate"))

    def service(self, table: Section) -> ServiceSpec:
        name = self.name(table, "service")
        region = table.text("region")
        _known(table, "region", self.regions, region)
        every = [zone for zones in self.regions.values() for zone in zones]
        zones = table.raw.get("zones", every)
        if not _names(zones) or not zones:
            table.fault("zones", "bad-value", "zones is no list of names", "write them")
            zones = []
        for zone in zones:
            if zone not in every:
                table.fault("zones", "unknown-zone", f"no zone {zone!r}", _near(zone, every))
        backends = _whole(table, "backends", 0, 0, MOST_BACKENDS)
        return ServiceSpec(name, region, tuple(zones), _rate(table, "rate"), backends)

    def bound(self, table: Section) -> Bound:
        machine, service = table.text("machine"), table.text("service")
        _known(table, "machine", self.names["machine"], machine)
        _known(table, "service", self.names["service"], service)
        return Bound(machine, service, self.address(table, "listen"))

    def name(self, table: Section, kind: str) -> str:
        """Its name, once among its kind, printable and bounded."""
        name = table.text("name")
        if len(name) > MOST_NAME or not name.isprintable():
            right = f"write at most {MOST_NAME} printable characters"
            table.fault("name", "bad-value", "a name that is too long or not printable", right)
        elif name and name in self.names[kind]:
            table.fault("name", "twice", f"a second {kind} {name!r}", "give each its own name")
        self.names[kind].add(name)
        return name

    def place(self, table: Section) -> tuple[str, str]:
        """Region and zone, the zone being the region's."""
        region, zone = table.text("region"), table.text("zone")
        _known(table, "region", self.regions, region)
        if region in self.regions:
            _known(table, "zone", self.regions[region], zone)
        return region, zone

    def address(self, table: Section, key: str) -> Address:
        found = table.address(key)
        if found is None:
            return Address("", 0)
        if not self.plain and not ip_address(found.host).is_loopback:
            table.fault(key, "wide-listener", f"{found} is no loopback", LOOPBACK)
        if found.port and found in self.addresses:
            table.fault(key, "twice", f"{found} again", "give each listener its own address")
        self.addresses.add(found)
        return found
