"""Which nodes may release which services: grants of the leader of each region.

Each control machine's `Handover` sees other nodes serve while links fail, so that two machines
could let the last two holders of a service release it. Only the leader of a service's home region
decides: once it has led for a while, it sends grants to all machines, and a grant lasts for a
short time. It is a lease (Gray and Cheriton, 1989) that permits a node to stop serving, timed by
the receiver's clock.

Pure: time is given in nanoseconds, no I/O.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from loadbalancer.core.assignment.model import InvalidInputError, MachineSpec
from loadbalancer.core.balancing.model import MS, SECOND


@dataclass(frozen=True, slots=True)
class ReleaseRules:
    """The times of grants, and the bound of one.

    Attributes:
        leadership_delay_ns: nanoseconds of leading after which a leader knows what its predecessors
            granted, and grants itself.
        lease_duration_ns: nanoseconds that a grant is valid, from its arrival.
        max_pause_ns: nanoseconds between two ticks; after a longer pause the machine was stopped.
        max_pairs: pairs of node and service in one grant.

    Raises:
        InvalidInputError: one of them is not positive.
    """

    leadership_delay_ns: int = 5 * SECOND
    lease_duration_ns: int = 1500 * MS
    max_pause_ns: int = 200 * MS
    max_pairs: int = 65_536

    def __post_init__(self) -> None:
        figures = (
            self.leadership_delay_ns,
            self.lease_duration_ns,
            self.max_pause_ns,
            self.max_pairs,
        )
        if min(figures) < 1:
            raise InvalidInputError(
                "release: leadership_delay_ns, lease_duration_ns, max_pause_ns and max_pairs"
                " must be over 0"
            )


@dataclass(frozen=True, slots=True)
class NodeRelease:
    """What one node may release."""

    node: str
    services: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReleaseGrant:
    """What the leader of a region in one epoch lets nodes release of its region's services."""

    region: str
    epoch: int
    releases: tuple[NodeRelease, ...]  # nodes without any are not named


@dataclass(frozen=True, slots=True)
class _AcceptedGrant:
    """The last grant that was accepted of one region."""

    arrived: int
    epoch: int
    services: Mapping[str, frozenset[str]]  # by node


class ReleaseAuthority:
    """Makes this machine's grants while it leads, and stores the last one of each region.

    State is bounded by one grant a region. `counts` has the grants that were ignored, by reason.
    """

    def __init__(
        self,
        now: int,
        machine: MachineSpec,
        machines: Sequence[MachineSpec],
        homes: Mapping[str, str],
        rules: ReleaseRules | None = None,
    ) -> None:
        """`homes` gives each service's home region."""
        self.counts: Counter[str] = Counter()
        self.rules = rules or ReleaseRules()
        self._machine = machine
        self._regions = {spec.name: spec.region for spec in machines}
        self._homes = homes
        self._last_tick = now
        self._epoch: int | None = None  # that this machine leads in
        self._led_since = now
        self._grants: dict[str, _AcceptedGrant] = {}  # by region

    def on_tick(self, now: int, epoch: int | None) -> None:
        """Time has passed; `epoch` is the one that this machine leads its region in, if it does."""
        paused = self._paused(now)
        if paused:
            self._void_grants()
        if paused or epoch != self._epoch:
            self._led_since = now
        self._epoch = epoch
        self._last_tick = now

    def grant(self, now: int, releasable: Mapping[str, Collection[str]]) -> ReleaseGrant | None:
        """The grant to send to all machines, accepted here too; None where it may not grant.

        `releasable` is this machine's own view, by node; of other regions' services nothing is
        granted. Beyond the bound, services wait for a later grant.
        """
        if self._epoch is None or self._paused(now):
            return None
        if now - self._led_since < self.rules.leadership_delay_ns:
            return None
        grant = ReleaseGrant(self._machine.region, self._epoch, self._releases(releasable))
        self._accept(now, grant)
        return grant

    def on_grant(self, now: int, sender: str, grant: ReleaseGrant) -> bool:
        """Another machine's grant; False where it is ignored and counted."""
        reason = self._objection(sender, grant)
        if reason:
            self.counts[reason] += 1
            return False
        self._accept(now, grant)
        return True

    def releasable(self, now: int, node: str) -> frozenset[str]:
        """What the node may release now."""
        grants = self._valid_grants(now)
        return frozenset[str]().union(*(grant.services.get(node, ()) for grant in grants))

    def all_releasable(self, now: int) -> dict[str, frozenset[str]]:
        """What each node may release now; nodes without any are not named."""
        nodes = {node for grant in self._valid_grants(now) for node in grant.services}
        return {node: self.releasable(now, node) for node in nodes}

    def _valid_grants(self, now: int) -> list[_AcceptedGrant]:
        if self._paused(now):
            return []
        lease = self.rules.lease_duration_ns
        return [grant for grant in self._grants.values() if now - grant.arrived < lease]

    def _paused(self, now: int) -> bool:
        """Whether this machine was stopped.

        Grants may lie in its socket since long before: their age can't be known then, and a lease
        that is timed from their arrival could outlast the leader's. So nothing counts until the
        next tick, and what was accepted before is void for good.
        """
        return now - self._last_tick > self.rules.max_pause_ns

    def _void_grants(self) -> None:
        """No grant counts any more; their epochs still do, against older grants."""
        for region, grant in self._grants.items():
            self._grants[region] = _AcceptedGrant(grant.arrived, grant.epoch, {})

    def _releases(self, releasable: Mapping[str, Collection[str]]) -> tuple[NodeRelease, ...]:
        remaining = self.rules.max_pairs
        releases: list[NodeRelease] = []
        for node in sorted(releasable):
            services = tuple(self._at_home(releasable[node])[:remaining])
            if services:
                releases.append(NodeRelease(node, services))
                remaining -= len(services)
        return tuple(releases)

    def _at_home(self, services: Iterable[str]) -> list[str]:
        """Those services whose home is this machine's region, sorted."""
        region = self._machine.region
        return sorted(service for service in services if self._homes.get(service) == region)

    def _objection(self, sender: str, grant: ReleaseGrant) -> str:
        """Why a grant can't be accepted, "" where it can."""
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
