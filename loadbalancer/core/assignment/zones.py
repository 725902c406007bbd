"""One zone's nodes: each service's order of them, and what they hold so far."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Iterator, Sequence
from hashlib import blake2b
from itertools import islice
from struct import Struct

from loadbalancer.core.assignment.model import NodeSpec

POINTS_PER_HASH = 8
RING_HASHES = 2  # of a node, POINTS_PER_HASH points each: evens out the arcs of the ring
PROBE_HASHES = 8  # of a service, POINTS_PER_HASH probes each, before all other nodes follow by rank
HASH_BYTES = 8
MASK64 = (1 << 64) - 1

_POINTS = Struct(f">{POINTS_PER_HASH}Q")


class Zone:
    """The registered nodes of one zone, and their points on its hash ring."""

    def __init__(self, nodes: Sequence[NodeSpec], node_rate: float) -> None:
        """`node_rate`, in requests a second, is for nodes that state none."""
        self.name = nodes[0].zone
        self.region = nodes[0].region
        self.nodes = nodes
        self.rates = {node.name: node.rate or node_rate for node in nodes}
        self.min_rate = min(self.rates.values())
        self.node_hashes = {node.name: hash64(f"node\0{node.name}") for node in nodes}
        points = sorted(
            (point, node.name)
            for node in nodes
            for number in range(RING_HASHES)
            for point in _points(f"point\0{number}\0{node.name}")
        )
        self._points = [point for point, _ in points]
        self._owners = [name for _, name in points]

    def order(self, service: str) -> Iterator[str]:
        """Each node of the zone once, in this service's own order."""
        seen: set[str] = set()
        for owner in self.probed(service):
            if owner not in seen:
                seen.add(owner)
                yield owner
        yield from self.ranked(service, self.node_hashes.keys() - seen)

    def probed(self, service: str) -> Iterator[str]:
        """The first nodes of the order: those whose points follow the service's probes.

        A node that several probes find comes as many times.
        """
        for number in range(PROBE_HASHES):
            for probe in _points(f"probe\0{number}\0{self.name}\0{service}"):
                place = bisect_left(self._points, probe)
                yield self._owners[place % len(self._owners)]

    def ranked(self, service: str, names: Iterable[str]) -> list[str]:
        """These nodes, which the probes don't reach, in their places of the order."""
        service_hash = hash64(f"rank\0{self.name}\0{service}")

        def rank(name: str) -> tuple[int, str]:
            return _mix64(service_hash ^ self.node_hashes[name]), name

        return sorted(names, key=rank)


class ZoneLoads:
    """What the nodes of one zone hold, and how much more they may.

    With a `base` it is a copy that stores only what differs: its cost does not follow the
    zone's size.
    """

    def __init__(self, zone: Zone, base: ZoneLoads | None = None) -> None:
        self._zone = zone
        self._base = base
        self._max_services: dict[str, int] = base._max_services if base else {}
        self._services: dict[str, int] = {}  # how many a node holds
        self._rates: dict[str, float] = {}  # requests a second that a node has reserved

    def limit_by_mean(self, holders: int, load_factor: float) -> None:
        """Limit each node to its part of all pairs of service and holder, times the factor.

        Parts follow the nodes' capacity and are rounded up or down by the node's own hash: as
        holders are added, the limits of a few nodes rise at a time. Were all rounded alike, one
        holder could raise all at once, and a good part of the zone would be assigned anew.
        """
        total = sum(node.capacity for node in self._zone.nodes)
        for node in self._zone.nodes:
            part = load_factor * holders * node.capacity / total
            rounded = int(part + self._zone.node_hashes[node.name] / (MASK64 + 1))
            self._max_services[node.name] = min(node.capacity, max(rounded, 1))

    def limit_by_capacity(self) -> None:
        """Limit each node by what it states itself: what substitutes may use."""
        self._max_services.update((node.name, node.capacity) for node in self._zone.nodes)

    def reserve(self, name: str, rate: float) -> bool:
        """Give the node one service with this share of its rate, unless that is over its limits.

        One of the two limits of services must have been set before.
        """
        services, reserved = self._load(name)
        if services >= self._max_services[name] or reserved + rate > self._zone.rates[name]:
            return False
        self._services[name] = services + 1
        self._rates[name] = reserved + rate
        return True

    def reserve_first(self, order: Iterable[str], count: int, rate: float) -> list[str]:
        """Give one service to the first `count` nodes that have capacity, and name them.

        The order is read no further than that.
        """
        return list(islice((name for name in order if self.reserve(name, rate)), count))

    def has_slot(self, name: str) -> bool:
        """Whether the node may hold one more service, by their number."""
        services, _ = self._load(name)
        return services < self._max_services[name]

    def free_rate(self, name: str) -> float:
        """How many requests a second the node may take beside what it has, but for rounding."""
        _, reserved = self._load(name)
        return self._zone.rates[name] - reserved

    def _load(self, name: str) -> tuple[int, float]:
        """How many services the node holds, and the rate that they reserve."""
        if name in self._services:
            return self._services[name], self._rates[name]
        return self._base._load(name) if self._base else (0, 0.0)


def hash64(text: str) -> int:
    """64 bits that are the same on every machine (`hash` is not)."""
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")


def zones_of(nodes: Iterable[NodeSpec], node_rate: float) -> dict[str, Zone]:
    """The zones by name, in the order of their names; `node_rate` is for nodes that state none."""
    by_zone: dict[str, list[NodeSpec]] = {}
    for node in nodes:
        by_zone.setdefault(node.zone, []).append(node)
    return {name: Zone(members, node_rate) for name, members in sorted(by_zone.items())}


def _points(text: str) -> tuple[int, ...]:
    return _POINTS.unpack(blake2b(text.encode(), digest_size=_POINTS.size).digest())


def _mix64(value: int) -> int:
    """The finalizer of SplitMix64 (Steele, Lea and Flood 2014): spreads 64 bits evenly."""
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK64
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK64
    return value ^ (value >> 31)
