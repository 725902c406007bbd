"""Faults put into the product's own code, each of which the seeds of `control_faults` must find."""

from __future__ import annotations

from typing import Any

from loadbalancer.core.assignment.handover import Handover
from loadbalancer.core.assignment.model import Change
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.core.subscription.holder import Holder
from loadbalancer.core.subscription.updates import UpdateResult, UpdateStatus
from simulation.mutants import Mutant


def _apply_any_snapshot(self: Any, _region: Any, snapshot: Any) -> UpdateResult:
    """Apply a snapshot whatever its position."""
    rows = {
        name: snapshot.services.get(name)
        for name in sorted(self._services.in_region(snapshot.region))
    }
    changes = [
        Change(snapshot.position, name, tuple(backends.values()), complete=True)
        for name, backends in rows.items()
        if backends is not None
    ]
    result: UpdateResult = self._apply_all(changes, True)
    return result


def _apply_delta_after_gap(self: Any, region: Any, delta: Any, _request: Any) -> UpdateResult:
    """Apply a delta whatever its base."""
    if delta.position < region.position:
        return UpdateResult(UpdateStatus.OLDER)
    changes = [
        change
        for change in delta.changes
        if change.service in self._services.in_region(delta.region)
    ]
    result: UpdateResult = self._apply_all(changes, True)
    return result


def _never_compact(self: Any) -> None:
    """Raise the log's bounds where it should be compacted."""
    self._max_changes += 1
    self._max_bytes += 1 << 20


def _release_at_once(self: Any, service: str) -> None:
    """Let former holders release a service as soon as others are assigned."""
    for node in sorted(self._retained.get(service, ())):
        self._release(node, service)


MUTANTS: dict[str, Mutant] = {
    "older-epoch-taken": Mutant(Holder, "_on_snapshot", _apply_any_snapshot),
    "gap-ignored": Mutant(Holder, "_on_delta", _apply_delta_after_gap),
    "unbounded-log": Mutant(ChangeLog, "_compact", _never_compact),
    "release-before-hand-over": Mutant(Handover, "_settle", _release_at_once),
}
