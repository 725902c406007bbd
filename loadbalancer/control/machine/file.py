"""deploy/scale.toml, the control machines' file, decoded in one place.

Large fleets name their nodes and services in files of JSON lines beside it (`nodes_file`,
`services_file`), one object a line with the same keys as a [[node]] or [[service]] table.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from difflib import get_close_matches
from ipaddress import ip_address
from pathlib import Path
from typing import Any

from loadbalancer.config import toml_section as section
from loadbalancer.config.address import Address
from loadbalancer.config.toml_file import Key
from loadbalancer.config.toml_section import Section
from loadbalancer.control.machine import file_tables as tables
from loadbalancer.core.assignment.model import MachineSpec, NodeSpec, ServiceSpec
from loadbalancer.core.assignment.rules import AssignmentRules
from loadbalancer.core.errors import ConfigurationError
from loadbalancer.core.routes.faults import Fault

KEYS: Mapping[str, tuple[str, ...]] = {  # by table; "" is the outermost one
    "": ("version", "seed", "plain_network", "nodes_file", "services_file", "backends_file",
         "regions", "limits", "assignment", "machine", "node", "service", "bound"),
    "limits": ("subscribers", "change_bytes", "backlog", "snapshot_rate"),
    "assignment": ("least_per_zone", "most_sharers", "node_rate"),
    "machine": ("name", "region", "zone", "subscribers", "peers", "admin"),
    "node": ("name", "region", "zone", "capacity", "rate"),
    "service": ("name", "region", "zones", "rate", "backends"),
    "bound": ("machine", "service", "listen"),
}  # fmt: skip
MAX_REGIONS, MAX_ZONES = 8, 16
MAX_MACHINES, MAX_NODES, MAX_SERVICES, MAX_BOUND = 32, 20_000, 20_000, 256
DEFAULT_CAPACITY, MAX_CAPACITY = 64, 20_000  # services of a node
MAX_BACKENDS, MAX_SEED = 100_000, (1 << 63) - 1  # backends of a service; a signed 64-bit integer
MAX_PER_ZONE, MAX_SHARERS = 64, 20_000  # nodes that hold one service
MAX_NAME_LENGTH = 128  # characters
LOOPBACK = "write 127.0.0.1, or plain_network = true where strangers can't reach it"


class ScaleFileError(ConfigurationError):
    """A control file that can't be used; one fault a line."""


@dataclass(frozen=True, slots=True)
class Machine:
    """A control machine and its three addresses."""

    spec: MachineSpec
    subscribers: Address  # where nodes poll for their services
    peers: Address  # where the other control machines connect
    admin: Address  # where operators read its state and submit changes


@dataclass(frozen=True, slots=True)
class BoundListener:
    """A listener of one machine that serves one service to a node that knows of no others."""

    machine: str
    service: str
    listen: Address


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of what a machine's peers may use."""

    subscribers: int = 8192  # connections at one machine
    change_bytes: int = 1 << 20  # of one call that submits changes
    backlog: int = 64 << 20  # bytes that wait for one other machine
    snapshot_rate: int = 2_000_000  # bytes a second of subscribers' snapshots at one machine


@dataclass(frozen=True, slots=True)
class ScaleFile:
    """The decoded file."""

    regions: Mapping[str, tuple[str, ...]]  # zones by region
    machines: tuple[Machine, ...]
    nodes: tuple[NodeSpec, ...]
    services: tuple[ServiceSpec, ...]
    bound_listeners: tuple[BoundListener, ...] = ()
    limits: Limits = field(default_factory=Limits)
    seed: int = 0
    rules: AssignmentRules = field(default_factory=AssignmentRules)
    backends: Path | None = None  # where a region that has lost its log is loaded from

    def machine(self, name: str) -> Machine:
        """The machine of that name.

        Raises:
            ScaleFileError: there is none; the text names the nearest.
        """
        by_name = {machine.spec.name: machine for machine in self.machines}
        if name in by_name:
            return by_name[name]
        near = get_close_matches(name, by_name, 1) or sorted(by_name)[:1]
        raise ScaleFileError(f"--machine: [unknown-machine] no {name!r}; nearest is {near[0]!r}")


def read_scale_file(path: str) -> ScaleFile:
    """Read and decode a control file.

    Raises:
        ScaleFileError: it can't be used; the text has every fault and its line.
    """
    return section.read_file(path, decode, ScaleFileError)


def decode(
    raw: dict[str, Any], lines: Mapping[Key, int], folder: Path = Path()
) -> tuple[ScaleFile | None, list[Fault]]:
    """The decoded file, or its faults in the file's order."""
    top = section.top_of(raw, lines, folder, KEYS[""])
    regions = _regions(top)
    seed = tables.integer(top, "seed", 0, 0, MAX_SEED)
    plain_network = top.raw.get("plain_network", False)
    if not isinstance(plain_network, bool):
        top.fault("plain_network", "bad-value", "plain_network is no boolean", "write true")
    limits = _limits(top)
    rules = _rules(top)
    reader = _EntryReader(regions, plain_network is True)
    machines = tables.read_array(top, "machine", KEYS["machine"], MAX_MACHINES, reader.machine)
    nodes = tables.read_array(top, "node", KEYS["node"], MAX_NODES, reader.node)
    nodes += tables.read_json_lines(top, "nodes_file", KEYS["node"], MAX_NODES, reader.node)
    services = tables.read_array(top, "service", KEYS["service"], MAX_SERVICES, reader.service)
    services += tables.read_json_lines(
        top, "services_file", KEYS["service"], MAX_SERVICES, reader.service
    )
    bound = tables.read_array(top, "bound", KEYS["bound"], MAX_BOUND, reader.bound)
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
    if not isinstance(raw, dict) or not 1 <= len(raw) <= MAX_REGIONS:
        right = 'write [regions] east = ["east-1"]'
        top.fault("regions", "missing-key", f"not 1 to {MAX_REGIONS} regions", right)
        return {}
    table = top.sub(raw, "regions")
    found: dict[str, tuple[str, ...]] = {}
    seen: set[str] = set()
    for name, zones in raw.items():
        if not tables.is_name_list(zones) or not 1 <= len(zones) <= MAX_ZONES:
            table.fault(name, "bad-value", f"{name} has no zones", f'write ["{name}-1"]')
            continue
        repeated = [zone for zone in zones if zone in seen or zones.count(zone) > 1]
        if repeated:
            table.fault(name, "twice", f"zone {repeated[0]!r} again", "write each zone once")
        seen.update(zones)
        found[name] = tuple(zones)
    return found


def _limits(top: Section) -> Limits:
    table = tables.sub_table(top, "limits", KEYS["limits"])
    default = Limits()
    return Limits(
        tables.integer(table, "subscribers", default.subscribers, 1, 100_000),
        tables.integer(table, "change_bytes", default.change_bytes, 1024, 16 << 20),
        tables.integer(table, "backlog", default.backlog, 1 << 20, 1 << 30),
        tables.integer(table, "snapshot_rate", default.snapshot_rate, 1024, 1 << 30),
    )


def _rules(top: Section) -> AssignmentRules:
    table = tables.sub_table(top, "assignment", KEYS["assignment"])
    default = AssignmentRules()
    node_rate = default.node_rate
    if "node_rate" in table.raw:
        node_rate = tables.rate(table, "node_rate")
    if node_rate <= 0:
        table.fault("node_rate", "bad-value", "node_rate is 0", "write over 0 a second")
        node_rate = default.node_rate
    return AssignmentRules(
        tables.integer(table, "least_per_zone", default.min_per_zone, 1, MAX_PER_ZONE),
        tables.integer(table, "most_sharers", default.max_sharers, 1, MAX_SHARERS),
        node_rate,
    )


class _EntryReader:
    """Reads machines, nodes, services and bound listeners, in the order in which they refer."""

    def __init__(self, regions: Mapping[str, tuple[str, ...]], plain_network: bool) -> None:
        """`plain_network` allows addresses other than the loopback's."""
        self._regions = regions
        self._plain_network = plain_network
        self._names: dict[str, set[str]] = {"machine": set(), "node": set(), "service": set()}
        self._addresses: set[Address] = set()

    def machine(self, table: Section) -> Machine:
        """One [[machine]]."""
        name = self._name(table, "machine")
        region, zone = self._place(table)
        addresses = [self._address(table, key) for key in ("subscribers", "peers", "admin")]
        return Machine(MachineSpec(name, region, zone), *addresses)

    def node(self, table: Section) -> NodeSpec:
        """One [[node]], or a line of `nodes_file`."""
        name = self._name(table, "node")
        region, zone = self._place(table)
        capacity = tables.integer(table, "capacity", DEFAULT_CAPACITY, 1, MAX_CAPACITY)
        return NodeSpec(name, region, zone, capacity, tables.rate(table, "rate"))

    def service(self, table: Section) -> ServiceSpec:
        """One [[service]], or a line of `services_file`."""
        name = self._name(table, "service")
        region = table.text("region")
        tables.check_known(table, "region", self._regions, region)
        all_zones = [zone for zones in self._regions.values() for zone in zones]
        zones = table.raw.get("zones", all_zones)
        if not tables.is_name_list(zones) or not zones:
            table.fault("zones", "bad-value", "zones is no list of names", "write them")
            zones = []
        for zone in zones:
            if zone not in all_zones:
                right = tables.nearest(zone, all_zones)
                table.fault("zones", "unknown-zone", f"no zone {zone!r}", right)
        backends = tables.integer(table, "backends", 0, 0, MAX_BACKENDS)
        return ServiceSpec(name, region, tuple(zones), tables.rate(table, "rate"), backends)

    def bound(self, table: Section) -> BoundListener:
        """One [[bound]]."""
        machine, service = table.text("machine"), table.text("service")
        tables.check_known(table, "machine", self._names["machine"], machine)
        tables.check_known(table, "service", self._names["service"], service)
        return BoundListener(machine, service, self._address(table, "listen"))

    def _name(self, table: Section, kind: str) -> str:
        """Its name, unique among its kind, printable and bounded."""
        name = table.text("name")
        if len(name) > MAX_NAME_LENGTH or not name.isprintable():
            right = f"write at most {MAX_NAME_LENGTH} printable characters"
            table.fault("name", "bad-value", "a name that is too long or not printable", right)
        elif name and name in self._names[kind]:
            table.fault("name", "twice", f"a second {kind} {name!r}", "give each its own name")
        self._names[kind].add(name)
        return name

    def _place(self, table: Section) -> tuple[str, str]:
        """Region and zone; the zone is one of the region's."""
        region, zone = table.text("region"), table.text("zone")
        tables.check_known(table, "region", self._regions, region)
        if region in self._regions:
            tables.check_known(table, "zone", self._regions[region], zone)
        return region, zone

    def _address(self, table: Section, key: str) -> Address:
        found = table.address(key)
        if found is None:
            return Address("", 0)
        if not self._plain_network and not ip_address(found.host).is_loopback:
            table.fault(key, "wide-listener", f"{found} is no loopback", LOOPBACK)
        if found.port and found in self._addresses:
            table.fault(key, "twice", f"{found} again", "give each listener its own address")
        self._addresses.add(found)
        return found
