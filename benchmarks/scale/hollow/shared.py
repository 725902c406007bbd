"""What the nodes of one process share: options, settings, counters and the file of steps."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from benchmarks.scale.hollow.plan import HostPlan
from benchmarks.scale.steps import StepWriter
from benchmarks.scale.world import REGIONS
from loadbalancer.core import Settings
from loadbalancer.core.balancing.model import MS, RequestClass

ZONES = tuple(zone for zones in REGIONS.values() for zone in zones)
CLASSES = (RequestClass("balance", 1_800 * MS, 2_000 * MS),)
NODES_PER_SERVICE = 8


@dataclass(slots=True)
class Shared:
    """The nodes' common part. Its counters are of all nodes together, since the start."""

    plan: HostPlan
    steps: StepWriter
    counts: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    _settings: dict[tuple[str, str], Settings] = field(default_factory=dict)

    def settings(self, service: str, zone: str) -> Settings:
        """Return the settings of a service's Balancers in a zone, made once."""
        key = (service, zone)
        if key not in self._settings:
            self._settings[key] = Settings(
                classes=CLASSES,
                tenants=self.plan.tenants.get(service, ()),
                nodes=NODES_PER_SERVICE,
                zones=len(ZONES),
                zone=ZONES.index(zone),
            )
        return self._settings[key]
