"""Which nodes may release which services: grants by the leader of each region.

While links fail, the `Handover` of two control machines may see different nodes serve, so that each
could let one of the last two holders of a service release it. For this reason only the leader of a
service's home region decides. After it has led for a while, it sends grants to all control
machines. A grant is a lease (Gray and Cheriton 1989) that permits a node to stop serving. It is
valid for a short time, measured by the receiver's clock.

Sans-I/O: the caller passes in the time in nanoseconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from loadbalancer.core.assignment.model import InvalidInputError, MachineSpec
from loadbalancer.core.balancing.model import MS, SECOND


@dataclass(frozen=True, slots=True)
class ReleaseRules:
    """Timing and maximum size of grants; times in nanoseconds.

    Attributes:
        leadership_delay_ns: time from the start of leadership until a leader grants releases; it
            knows what its predecessors granted by then.
        lease_duration_ns: time for which a grant is valid after it has been received.
        max_pause_ns: maximum time between two ticks; after a longer one the machine is considered
            to have been paused.
        max_pairs: maximum number of pairs of node and service in one grant.

    Raises:
        InvalidInputError: an attribute is not positive.
    """

    leadership_delay_ns: int = 5 * SECOND
    lease_duration_ns: int = 1500 * MS
    max_pause_ns: int = 200 * MS
    max_pairs: int = 65_536

    def __post_init__(self) -> None:
        values = (
            self.leadership_delay_ns,
            self.lease_duration_ns,
            self.max_pause_ns,
            self.max_pairs,
        )
        if min(values) < 1:
            raise InvalidInputError(
                "release: leadership_delay_ns, lease_duration_ns, max_pause_ns and max_pairs"
                " must be greater than 0"
            )


@dataclass(frozen=True, slots=True)
class NodeRelease:
    """The services that one node may release."""

    node: str
    services: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReleaseGrant:
    """The services of a region that nodes may release, as decided by the region's leader."""

    region: str
    epoch: int  # of the leader
    releases: tuple[NodeRelease, ...]  # only of nodes that may release a service


@dataclass(frozen=True, slots=True)
class _AcceptedGrant:
    """The last accepted grant of one region."""

    received_at: int
    epoch: int
    services: Mapping[str, frozenset[str]]  # by node


class ReleaseAuthority:
    """Creates this machine's grants while it leads, and stores the last grant of each region.

    The state is bounded by one grant for each region. `counts` has the number of ignored grants by
    reason.
    """

    def __init__(
        self,
        now: int,
        machine: MachineSpec,
        machines: Sequence[MachineSpec],
        homes: Mapping[str, str],
        rules: ReleaseRules | None = None,
    ) -> None:
        """Create the state without grants; `homes` has each service's home region."""
        self.counts: Counter[str] = Counter()
        self.rules = rules or ReleaseRules()
        self._machine = machine
        self._regions = {spec.name: spec.region for spec in machines}
        self._homes = homes
        self._last_tick = now
        self._epoch: int | None = None  # the epoch in which this machine leads its region, if any
        self._leading_since = now
        self._grants: dict[str, _AcceptedGrant] = {}  # by region

    def on_tick(self, now: int, epoch: int | None) -> None:
        """Advance the time; `epoch` is that in which this machine leads, None if it does not."""
        paused = self._paused(now)
        if paused:
            self._void_grants()
        if paused or epoch != self._epoch:
            self._leading_since = now
        self._epoch = epoch
        self._last_tick = now

    def grant(self, now: int, releasable: Mapping[str, Collection[str]]) -> ReleaseGrant | None:
        """Return the grant to send to all machines, or None if this machine may not grant.

        The grant is accepted here as well.

        Args:
            now: the time in nanoseconds.
            releasable: the services that each node may release in this machine's view. Services of
                other regions are ignored. Those that exceed `max_pairs` wait for a later grant.
        """
        if self._epoch is None or self._paused(now):
            return None
        if now - self._leading_since < self.rules.leadership_delay_ns:
            return None
        grant = ReleaseGrant(self._machine.region, self._epoch, self._releases(releasable))
        self._accept(now, grant)
        return grant

    def on_grant(self, now: int, sender: str, grant: ReleaseGrant) -> bool:
        """Handle another machine's grant; an invalid grant is counted, and False is returned."""
        reason = self._rejection_reason(sender, grant)
        if reason:
            self.counts[reason] += 1
            return False
        self._accept(now, grant)
        return True

    def releasable(self, now: int, node: str) -> frozenset[str]:
        """Return the services that the node may release now."""
        grants = self._valid_grants(now)
        return frozenset[str]().union(*(grant.services.get(node, ()) for grant in grants))

    def all_releasable(self, now: int) -> dict[str, frozenset[str]]:
        """Return the services that each node may release now; nodes without any are omitted."""
        nodes = {node for grant in self._valid_grants(now) for node in grant.services}
        return {node: self.releasable(now, node) for node in nodes}

    def _valid_grants(self, now: int) -> list[_AcceptedGrant]:
        if self._paused(now):
            return []
        lease = self.rules.lease_duration_ns
        return [grant for grant in self._grants.values() if now - grant.received_at < lease]

    def _paused(self, now: int) -> bool:
        """Return whether this machine's process was paused.

        Grants may then have waited in its socket for an unknown time, and a lease that is measured
        from their receipt could end later than the leader assumes. So no grant is valid until the
        next tick, and grants accepted before it become invalid permanently.
        """
        return now - self._last_tick > self.rules.max_pause_ns

    def _void_grants(self) -> None:
        """Make all accepted grants invalid; their epochs are kept to detect older grants."""
        for region, grant in self._grants.items():
            self._grants[region] = _AcceptedGrant(grant.received_at, grant.epoch, {})

    def _releases(self, releasable: Mapping[str, Collection[str]]) -> tuple[NodeRelease, ...]:
        remaining = self.rules.max_pairs
        releases: list[NodeRelease] = []
        for node in sorted(releasable):
            services = tuple(self._of_own_region(releasable[node])[:remaining])
            if services:
                releases.append(NodeRelease(node, services))
                remaining -= len(services)
        return tuple(releases)

    def _of_own_region(self, services: Iterable[str]) -> list[str]:
        """Return those services whose home is this machine's region, sorted."""
        region = self._machine.region
        return sorted(service for service in services if self._homes.get(service) == region)

    def _rejection_reason(self, sender: str, grant: ReleaseGrant) -> str:
        """Return why a grant is invalid, or "" if it is valid."""
        if sender not in self._regions:
            return "unknown machine"
        if self._regions[sender] != grant.region:
            return "other region"
        services = [service for release in grant.releases for service in release.services]
        if max(len(grant.releases), len(services)) > self.rules.max_pairs:
            return "too many"
        if any(self._homes.get(service) != grant.region for service in services):
            return "other region"
        last = self._grants.get(grant.region)
        if last is not None and grant.epoch < last.epoch:
            return "older epoch"
        return ""

    def _accept(self, now: int, grant: ReleaseGrant) -> None:
        services = {release.node: frozenset(release.services) for release in grant.releases}
        self._grants[grant.region] = _AcceptedGrant(now, grant.epoch, services)
