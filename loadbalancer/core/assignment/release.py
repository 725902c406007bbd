"""Which nodes may release which services: the word of one machine a region.

Each control machine's `Handover` sees other nodes serve while links fail, so that two machines
could let the last two holders of a service go. Only the leader of a service's home region
decides: once it has led for a while, it grants releases to all machines, and a grant lasts for a
short time. It is a lease (Gray and Cheriton, 1989) on not serving, timed by the receiver's clock.

Pure: told the time in nanoseconds, no I/O.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from loadbalancer.core.assignment.model import InvalidInputError, MachineSpec
from loadbalancer.core.balancing.model import MS, SECOND


@dataclass(frozen=True, slots=True)
class ReleaseRules:
    """Nanoseconds, and the bound of one grant."""

    leadership_delay: int = (
        5 * SECOND
    )  # a leader has heard by then of all that its predecessors granted
    lease_duration: int = 1500 * MS  # from its arrival, a grant counts so long
    max_pause: int = 200 * MS  # between two turns; after a longer one the machine was stopped
    max_pairs: int = 65_536  # of node and service in one grant

    def __post_init__(self) -> None:
        """Raises InvalidInputError unless all are positive."""
        if min(self.leadership_delay, self.lease_duration, self.max_pause, self.max_pairs) < 1:
            raise InvalidInputError(
                "release: leadership_delay, lease_duration, max_pause and max_pairs must be over 0"
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
class _Held:
    """A grant that was taken."""

    arrived: int
    epoch: int
    services: Mapping[str, frozenset[str]]  # by node


class ReleaseAuthority:
    """Makes this machine's grants while it leads, and holds the last one of each region.

    State is bounded by one grant a region. `counts` tells the grants that were ignored, by reason.
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
        self._regions = {one.name: one.region for one in machines}
        self._homes = homes
        self._turned = now
        self._epoch: int | None = None  # that it leads in
        self._led_since = now
        self._held: dict[str, _Held] = {}  # by region

    def on_tick(self, now: int, epoch: int | None) -> None:
        """Time has passed; `epoch` is the one that this machine leads its region in, if it does."""
        paused = self._paused(now)
        if paused:
            self._void()
        if paused or epoch != self._epoch:
            self._led_since = now
        self._epoch = epoch
        self._turned = now

    def grant(self, now: int, releasable: Mapping[str, Collection[str]]) -> ReleaseGrant | None:
        """The grant to send to all machines, held here too; None where it may not grant.

        `releasable` is this machine's own view, by node; of other regions' services nothing is
        granted. Beyond the bound, services wait for a later grant.
        """
        if self._epoch is None or self._paused(now):
            return None
        if now - self._led_since < self.rules.leadership_delay:
            return None
        grant = ReleaseGrant(self._machine.region, self._epoch, self._releases(releasable))
        self._take(now, grant)
        return grant

    def on_grant(self, now: int, sender: str, grant: ReleaseGrant) -> bool:
        """Another machine's grant; False where it is ignored and counted."""
        reason = self._objection(sender, grant)
        if reason:
            self.counts[reason] += 1
            return False
        self._take(now, grant)
        return True

    def releasable(self, now: int, node: str) -> frozenset[str]:
        """What the node may release now."""
        return frozenset[str]().union(*(one.services.get(node, ()) for one in self._valid(now)))

    def all_releasable(self, now: int) -> dict[str, frozenset[str]]:
        """What each node may release now; nodes without any are not named."""
        nodes = {node for held in self._valid(now) for node in held.services}
        return {node: self.releasable(now, node) for node in nodes}

    def _valid(self, now: int) -> list[_Held]:
        """The grants that count now."""
        if self._paused(now):
            return []
        return [
            held for held in self._held.values() if now - held.arrived < self.rules.lease_duration
        ]

    def _paused(self, now: int) -> bool:
        return now - self._turned > self.rules.max_pause

    def _void(self) -> None:
        """What is held counts no more; the epochs still do."""
        for region, held in self._held.items():
            self._held[region] = _Held(held.arrived, held.epoch, {})

    def _releases(self, releasable: Mapping[str, Collection[str]]) -> tuple[NodeRelease, ...]:
        room = self.rules.max_pairs
        releases: list[NodeRelease] = []
        for node in sorted(releasable):
            services = tuple(self._at_home(releasable[node])[:room])
            if services:
                releases.append(NodeRelease(node, services))
                room -= len(services)
        return tuple(releases)

    def _at_home(self, services: Iterable[str]) -> list[str]:
        return sorted(one for one in services if self._homes.get(one) == self._machine.region)

    def _objection(self, sender: str, grant: ReleaseGrant) -> str:
        """Why a grant can't be taken, "" where it can."""
        if sender not in self._regions:
            return "unknown machine"
        if self._regions[sender] != grant.region:
            return "other region"
        if len(grant.releases) > self.rules.max_pairs:
            return "too many"
        services = [service for release in grant.releases for service in release.services]
        if len(services) > self.rules.max_pairs:
            return "too many"
        if any(self._homes.get(service) != grant.region for service in services):
            return "other region"
        held = self._held.get(grant.region)
        if held is not None and grant.epoch < held.epoch:
            return "older epoch"
        return ""

    def _take(self, now: int, grant: ReleaseGrant) -> None:
        services = {release.node: frozenset(release.services) for release in grant.releases}
        self._held[grant.region] = _Held(now, grant.epoch, services)
