"""Decodes the control machines' file, such as deploy/scale.toml.

Large fleets list their nodes and services in separate JSON Lines files (`nodes_file`,
`services_file`), with one object per line and the same keys as a [[node]] or [[service]] table.
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

KEYS: Mapping[str, tuple[str, ...]] = {  # by table; "" is the top level
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
DEFAULT_CAPACITY, MAX_CAPACITY = 64, 20_000  # services that a node can hold
MAX_BACKENDS, MAX_SEED = 100_000, (1 << 63) - 1  # backends of a service; a signed 64-bit integer
MAX_PER_ZONE, MAX_SHARERS = 64, 20_000  # nodes that hold the same service
MAX_NAME_LENGTH = 128  # characters
LOOPBACK_REMEDY = "write 127.0.0.1, or plain_network = true if the network is trusted"


class ScaleFileError(ConfigurationError):
    """A control file that can't be used; the text has one line for each fault."""


@dataclass(frozen=True, slots=True)
class Machine:
    """A control machine and its three listening addresses."""

    spec: MachineSpec
    subscribers: Address  # for nodes that poll for their services
    peers: Address  # for the streams of the other control machines
    admin: Address  # for operators, who read its state and submit changes


@dataclass(frozen=True, slots=True)
class BoundListener:
    """A listener of one machine that serves one service as a plain endpoint list.

    It is for nodes that are not assigned services: they poll it as they would poll discovery.
    """

    machine: str
    service: str
    listen: Address


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the resources that nodes, operators and other machines may use at one machine."""

    subscribers: int = 8192  # connections of nodes
    change_bytes: int = 1 << 20  # size of one operator's call that submits changes
    backlog: int = 64 << 20  # unsent bytes buffered for one other machine
    snapshot_rate: int = 2_000_000  # bytes a second of snapshots sent to subscribers


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
    backends: Path | None = None  # file from which a region that has lost its log is reloaded

    def machine(self, name: str) -> Machine:
        """Return the machine of that name.

        Raises:
            ScaleFileError: there is none; the text suggests the most similar name.
        """
        by_name = {machine.spec.name: machine for machine in self.machines}
        if name in by_name:
            return by_name[name]
        similar = get_close_matches(name, by_name, 1) or sorted(by_name)[:1]
        raise ScaleFileError(
            f"--machine: [unknown-machine] no {name!r}; did you mean {similar[0]!r}?"
        )


def read_scale_file(path: str) -> ScaleFile:
    """Read and decode a control file.

    Raises:
        ScaleFileError: the file can't be used; the text lists every fault with its line.
    """
    return section.read_file(path, decode, ScaleFileError)


def decode(
    raw: dict[str, Any], lines: Mapping[Key, int], folder: Path = Path()
) -> tuple[ScaleFile | None, list[Fault]]:
    """Return the decoded file, or else all its faults ordered by line."""
    top = section.top_of(raw, lines, folder, KEYS[""])
    regions = _regions(top)
    seed = tables.integer(top, "seed", 0, 0, MAX_SEED)
    plain_network = top.raw.get("plain_network", False)
    if not isinstance(plain_network, bool):
        top.fault("plain_network", "bad-value", "plain_network is not a boolean", "write true")
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
        top.fault("machine", "missing-key", "no machine is defined", "add a [[machine]] table")
    if top.faults:
        return None, sorted(top.faults)
    scale_file = ScaleFile(
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
    return scale_file, []


def _regions(top: Section) -> Mapping[str, tuple[str, ...]]:
    """Read the zones of each region; a zone belongs to one region only."""
    raw = top.raw.get("regions")
    if not isinstance(raw, dict) or not 1 <= len(raw) <= MAX_REGIONS:
        remedy = 'write [regions] east = ["east-1"]'
        top.fault("regions", "missing-key", f"not 1 to {MAX_REGIONS} regions", remedy)
        return {}
    table = top.sub(raw, "regions")
    zones_by_region: dict[str, tuple[str, ...]] = {}
    seen: set[str] = set()
    for name, zones in raw.items():
        if not tables.is_name_list(zones) or not 1 <= len(zones) <= MAX_ZONES:
            table.fault(
                name,
                "bad-value",
                f"{name} lists no zones or too many",
                f'write ["{name}-1"]',
            )
            continue
        repeated = [zone for zone in zones if zone in seen or zones.count(zone) > 1]
        if repeated:
            table.fault(
                name,
                "twice",
                f"zone {repeated[0]!r} is listed more than once",
                "write each zone once",
            )
        seen.update(zones)
        zones_by_region[name] = tuple(zones)
    return zones_by_region


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
        table.fault("node_rate", "bad-value", "node_rate is 0", "write a rate above 0")
        node_rate = default.node_rate
    return AssignmentRules(
        tables.integer(table, "least_per_zone", default.min_per_zone, 1, MAX_PER_ZONE),
        tables.integer(table, "most_sharers", default.max_sharers, 1, MAX_SHARERS),
        node_rate,
    )


class _EntryReader:
    """Reads machines, nodes, services and bound listeners.

    Bound listeners must be read last, because they refer to machines and services by name.
    """

    def __init__(self, regions: Mapping[str, tuple[str, ...]], plain_network: bool) -> None:
        """`plain_network` allows addresses other than loopback ones."""
        self._regions = regions
        self._plain_network = plain_network
        self._names: dict[str, set[str]] = {"machine": set(), "node": set(), "service": set()}
        self._addresses: set[Address] = set()

    def machine(self, table: Section) -> Machine:
        """Read one [[machine]] table."""
        name = self._name(table, "machine")
        region, zone = self._place(table)
        addresses = [self._address(table, key) for key in ("subscribers", "peers", "admin")]
        return Machine(MachineSpec(name, region, zone), *addresses)

    def node(self, table: Section) -> NodeSpec:
        """Read one [[node]] table, or a line of `nodes_file`."""
        name = self._name(table, "node")
        region, zone = self._place(table)
        capacity = tables.integer(table, "capacity", DEFAULT_CAPACITY, 1, MAX_CAPACITY)
        return NodeSpec(name, region, zone, capacity, tables.rate(table, "rate"))

    def service(self, table: Section) -> ServiceSpec:
        """Read one [[service]] table, or a line of `services_file`."""
        name = self._name(table, "service")
        region = table.text("region")
        tables.check_known(table, "region", self._regions, region)
        all_zones = [zone for zones in self._regions.values() for zone in zones]
        zones = table.raw.get("zones", all_zones)
        if not tables.is_name_list(zones) or not zones:
            table.fault(
                "zones", "bad-value", "zones is not a list of names", "write a list of zone names"
            )
            zones = []
        for zone in zones:
            if zone not in all_zones:
                remedy = tables.suggestion(zone, all_zones)
                table.fault("zones", "unknown-zone", f"no zone {zone!r}", remedy)
        backends = tables.integer(table, "backends", 0, 0, MAX_BACKENDS)
        return ServiceSpec(name, region, tuple(zones), tables.rate(table, "rate"), backends)

    def bound(self, table: Section) -> BoundListener:
        """Read one [[bound]] table."""
        machine, service = table.text("machine"), table.text("service")
        tables.check_known(table, "machine", self._names["machine"], machine)
        tables.check_known(table, "service", self._names["service"], service)
        return BoundListener(machine, service, self._address(table, "listen"))

    def _name(self, table: Section, kind: str) -> str:
        """Read an entry's name: unique among its kind, printable and limited in length."""
        name = table.text("name")
        if len(name) > MAX_NAME_LENGTH or not name.isprintable():
            remedy = f"write at most {MAX_NAME_LENGTH} printable characters"
            table.fault("name", "bad-value", "the name is too long or not printable", remedy)
        elif name and name in self._names[kind]:
            table.fault(
                "name",
                "twice",
                f"there is already a {kind} {name!r}",
                "give each its own name",
            )
        self._names[kind].add(name)
        return name

    def _place(self, table: Section) -> tuple[str, str]:
        """Read region and zone, which must be one of the region's zones."""
        region, zone = table.text("region"), table.text("zone")
        tables.check_known(table, "region", self._regions, region)
        if region in self._regions:
            tables.check_known(table, "zone", self._regions[region], zone)
        return region, zone

    def _address(self, table: Section, key: str) -> Address:
        address = table.address(key)
        if address is None:
            return Address("", 0)
        if not self._plain_network and not ip_address(address.host).is_loopback:
            table.fault(
                key, "wide-listener", f"{address} is not a loopback address", LOOPBACK_REMEDY
            )
        if address.port and address in self._addresses:
            table.fault(
                key,
                "twice",
                f"{address} is used by another listener",
                "give each listener its own address",
            )
        self._addresses.add(address)
        return address
