"""The nodes of one zone: each service's preference order of them, and their current load."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Iterator, Sequence
from hashlib import blake2b
from itertools import islice
from struct import Struct

from loadbalancer.core.assignment.model import NodeSpec

POINTS_PER_HASH = 8
# Hashes of a node, with POINTS_PER_HASH points on the ring each. Several points for each node make
# the arcs between the nodes more even.
RING_HASHES = 2
# Hashes of a service, with POINTS_PER_HASH probes each. The nodes that no probe finds follow in the
# order of rendezvous hashing.
PROBE_HASHES = 8
HASH_BYTES = 8
MASK64 = (1 << 64) - 1

_POINTS = Struct(f">{POINTS_PER_HASH}Q")


class Zone:
    """The registered nodes of one zone, and their points on its hash ring."""

    def __init__(self, nodes: Sequence[NodeSpec], node_rate: float) -> None:
        """Place the nodes on the ring; `node_rate` is the rate of nodes that do not state one."""
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
        """Iterate over all nodes of the zone in this service's preference order."""
        seen: set[str] = set()
        for owner in self.probed(service):
            if owner not in seen:
                seen.add(owner)
                yield owner
        yield from self.ranked(service, self.node_hashes.keys() - seen)

    def probed(self, service: str) -> Iterator[str]:
        """Iterate over the first nodes of the order, whose points follow the service's probes.

        A node that several probes find is repeated.
        """
        for number in range(PROBE_HASHES):
            for probe in _points(f"probe\0{number}\0{self.name}\0{service}"):
                index = bisect_left(self._points, probe)
                yield self._owners[index % len(self._owners)]

    def ranked(self, service: str, names: Iterable[str]) -> list[str]:
        """Sort nodes that the service's probes do not find in the service's order."""
        service_hash = hash64(f"rank\0{self.name}\0{service}")

        def rank(name: str) -> tuple[int, str]:
            return _mix64(service_hash ^ self.node_hashes[name]), name

        return sorted(names, key=rank)


class ZoneLoads:
    """The load of the nodes of one zone, and their limits.

    With `base`, it is a copy of `base` that stores only the differences, so that the cost of
    copying does not depend on the size of the zone.
    """

    def __init__(self, zone: Zone, base: ZoneLoads | None = None) -> None:
        self._zone = zone
        self._base = base
        self._max_services: dict[str, int] = base._max_services if base else {}
        self._services: dict[str, int] = {}  # number of services held, by node
        self._rates: dict[str, float] = {}  # reserved requests a second, by node

    def limit_by_mean(self, holders: int, load_factor: float) -> None:
        """Limit the number of services of each node to its share of all, times `load_factor`.

        `holders` is the sum of the numbers of holders of all services. The shares are proportional
        to the nodes' capacity, and are rounded up or down depending on a hash of the node's name.
        So the limits of only a few nodes change when a holder is added. If all were rounded in the
        same way, one more holder could raise all limits at once, and many services of the zone
        would move.
        """
        total = sum(node.capacity for node in self._zone.nodes)
        for node in self._zone.nodes:
            share = load_factor * holders * node.capacity / total
            rounded = int(share + self._zone.node_hashes[node.name] / (MASK64 + 1))
            self._max_services[node.name] = min(node.capacity, max(rounded, 1))

    def limit_by_capacity(self) -> None:
        """Limit the number of services of each node to its capacity, as applies to substitutes."""
        self._max_services.update((node.name, node.capacity) for node in self._zone.nodes)

    def reserve(self, name: str, rate: float) -> bool:
        """Reserve capacity of the node for one service; return False if it would exceed a limit.

        `limit_by_mean` or `limit_by_capacity` must have been called before.
        """
        services, reserved = self._load(name)
        if services >= self._max_services[name] or reserved + rate > self._zone.rates[name]:
            return False
        self._services[name] = services + 1
        self._rates[name] = reserved + rate
        return True

    def reserve_first(self, order: Iterable[str], count: int, rate: float) -> list[str]:
        """Reserve the first `count` nodes of the order that have capacity, and return them.

        The order is not read any further.
        """
        return list(islice((name for name in order if self.reserve(name, rate)), count))

    def has_slot(self, name: str) -> bool:
        """Return whether the node is below its limit on the number of services."""
        services, _ = self._load(name)
        return services < self._max_services[name]

    def free_rate(self, name: str) -> float:
        """Return how many more requests a second the node can take, subject to rounding."""
        _, reserved = self._load(name)
        return self._zone.rates[name] - reserved

    def _load(self, name: str) -> tuple[int, float]:
        """Return the number of services that the node holds, and the rate that they reserve."""
        if name in self._services:
            return self._services[name], self._rates[name]
        return self._base._load(name) if self._base else (0, 0.0)


def hash64(text: str) -> int:
    """Hash to 64 bits; unlike that of `hash`, the result is the same in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")


def zones_of(nodes: Iterable[NodeSpec], node_rate: float) -> dict[str, Zone]:
    """Group the nodes into zones, sorted by name; see `Zone` for `node_rate`."""
    by_zone: dict[str, list[NodeSpec]] = {}
    for node in nodes:
        by_zone.setdefault(node.zone, []).append(node)
    return {name: Zone(members, node_rate) for name, members in sorted(by_zone.items())}


def _points(text: str) -> tuple[int, ...]:
    return _POINTS.unpack(blake2b(text.encode(), digest_size=_POINTS.size).digest())


def _mix64(value: int) -> int:
    """Mix the bits of a 64-bit number: the finalizer of SplitMix64 (Steele, Lea, Flood 2014)."""
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK64
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK64
    return value ^ (value >> 31)
