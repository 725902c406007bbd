"""One hollow node: its subscriber and the services that it holds."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping
from random import Random

from benchmarks.scale.hollow.held_service import HeldService
from benchmarks.scale.hollow.plan import NodePlace
from benchmarks.scale.hollow.shared import Shared
from benchmarks.scale.steps import DELETED, RELEASE, RELEASED, ServiceDigest, row_checksum
from benchmarks.scale.world import REGIONS
from loadbalancer.control.machine.subscriber import PollTiming, Subscriber, ordered_machines
from loadbalancer.core.assignment.model import Change, Row, Snapshot, Update
from loadbalancer.core.subscription.holder import Holder
from loadbalancer.core.subscription.limits import HolderLimits
from loadbalancer.core.subscription.updates import UpdateResult

PROBE_INTERVAL_S = 5.0  # on average, between two probes of one node
LIMITS_EVERYWHERE = HolderLimits(max_services=20_000, max_bytes=1 << 33)


class HollowNode:
    """A node without request traffic: it subscribes, holds lists and runs their Balancers."""

    def __init__(self, shared: Shared, name: str, place: NodePlace) -> None:
        plan = shared.plan
        self.number = place.number
        self.services: dict[str, HeldService] = {}
        self._shared = shared
        self._name = name
        self._zone = place.zone
        self._seed = plan.seed + place.number
        self._random = Random(self._seed)
        self._probe_timer: asyncio.TimerHandle | None = None
        self._probes = 0
        limits = LIMITS_EVERYWHERE if plan.every else HolderLimits()
        self.holder = Holder(name, REGIONS, limits)
        self.subscriber = Subscriber(
            self.holder,
            tuple(REGIONS),
            ordered_machines(plan.machines, place.region, self._seed),
            self._on_update,
            self._seed,
            PollTiming(hold_s=plan.hold, margin_s=plan.late),
            self._on_released,
        )

    @property
    def control_bytes(self) -> int:
        """Bytes that the node has sent to control machines and received from them."""
        return self.subscriber.counts.sent_bytes + self.subscriber.counts.received_bytes

    def start(self) -> None:
        """Begin to poll and to probe."""
        self.subscriber.start()
        self._schedule_probe()

    def close(self) -> None:
        """End everything without notice to the control machines."""
        self.subscriber.close()
        if self._probe_timer is not None:
            self._probe_timer.cancel()
        for service in self.services.values():
            service.close()
        self.services.clear()

    # ---- updates -----------------------------------------------------------------

    def _on_update(self, update: Update, result: UpdateResult) -> None:
        """Apply what has changed to the lists, and write the step."""
        changed = []
        for service in result.changed:
            rows = self.holder.rows(service)
            self._apply(service, update, rows)
            digest = digest_of(rows) if rows is not None else DELETED
            changed.append(ServiceDigest(service, digest))
        position = self.holder.position(update.region)
        kind = result.status.name
        self._shared.steps.write(self.number, kind, update.region, position, changed)

    def _on_released(self, services: tuple[str, ...]) -> None:
        for service in services:
            self._drop(service)
        changed = [ServiceDigest(service, RELEASED) for service in services]
        self._shared.steps.write(self.number, RELEASE, changed=changed)

    def _drop(self, service: str) -> None:
        held = self.services.pop(service, None)
        if held is not None:
            held.close()

    def _apply(self, service: str, update: Update, rows: Mapping[str, Row] | None) -> None:
        """Apply an update to one service's list; `rows` are the holder's, None once deleted."""
        if rows is None:
            self._drop(service)
            return
        held = self.services.get(service)
        if held is None:
            held = HeldService(self._shared, service, self._name, self._zone, self._seed)
            self.services[service] = held
        changes: list[Change] = []
        if not isinstance(update, Snapshot):
            changes = [change for change in update.changes if change.service == service]
        if not changes or any(change.complete or change.deleted for change in changes):
            held.apply(True, [json.loads(row.body) for row in rows.values()])
            return
        for change in changes:
            targets = [json.loads(row.body) for row in change.rows]
            targets += [{"uid": uid, "state": "left"} for uid in change.removed]
            held.apply(False, targets)

    # ---- probes --------------------------------------------------------------------

    def _schedule_probe(self) -> None:
        wait_s = PROBE_INTERVAL_S * self._random.uniform(0.5, 1.5)
        self._probe_timer = asyncio.get_running_loop().call_later(wait_s, self._send_probe)

    def _send_probe(self) -> None:
        if self.services:
            service = self.services[self._random.choice(sorted(self.services))]
            self._probes += 1
            service.send_probe(self._probes)
        self._schedule_probe()


def digest_of(rows: Mapping[str, Row]) -> int:
    """Return the digest of a service's rows, whatever their order."""
    return sum(row_checksum(row.uid, row.body) for row in rows.values())
