"""Invariants of the regions' logs: what machines accept, restore and have."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from loadbalancer.core.assignment.model import Change, Position
from loadbalancer.core.replicated_log.change_log import ChangeLog
from simulation.control_invariants.history import (
    AcceptedHistory,
    AcceptedLog,
    ProposedRows,
    RegionHistory,
    Rows,
)

if TYPE_CHECKING:
    from simulation.control_world.environment import Environment


class LogChecker:
    """Records what is accepted, and checks that all machines accept the same."""

    def __init__(self, environment: Environment, history: AcceptedHistory) -> None:
        self._environment = environment
        self._history = history

    def on_proposed(self, region: str, position: Position, service: str, rows: Rows | None) -> None:
        """A source proposed that a service's rows be these; None to delete the service."""
        self._history.regions[region].proposed[position] = ProposedRows(service, rows)

    def on_load(self, region: str, services: Mapping[str, Rows]) -> None:
        """A source gave all its services to a leader without a log."""
        loaded: dict[str, Rows] = {name: dict(rows) for name, rows in services.items()}
        self._history.regions[region].loaded.append(loaded)

    def is_accepted(self, region: str, position: Position) -> bool:
        """Whether a change at this position was accepted."""
        return self._history.regions[region].log_with(position) is not None

    def on_committed(self, machine: str, region: str, change: Change) -> None:
        """A machine counts a change as accepted: all must count the same one at its position."""
        history, position = self._history.regions[region], change.position
        log = history.log_with(position)
        if log is None:
            self._accept(machine, history, change)
        elif log.changes[position.revision] != change:
            self._breach(f"{machine}: {position} is not what was accepted there")

    def on_restored(self, machine: str, log: ChangeLog) -> None:
        """A machine took over a snapshot or a load: what it has must be what was accepted."""
        # The changes of a load that has just ended are committed next.
        if self.is_accepted(log.region, log.position):
            self.check_log(machine, log)

    def check_log(self, machine: str, log: ChangeLog) -> None:
        """What a machine has must be what was accepted up to its position."""
        history = self._history.regions[log.region]
        for service in self._environment.topology.services_of(log.region):
            if log.rows(service) != history.rows_at(service, log.position):
                self._breach(f"{machine}: {service} is not as it was accepted at {log.position}")

    def _accept(self, machine: str, history: RegionHistory, change: Change) -> None:
        """Append a change to the log that it follows; a complete one may begin a log."""
        position = change.position
        log = history.log_before(position)
        if log is None:
            if not change.complete:
                self._breach(f"{machine}: {position} follows nothing that was accepted")
            log = AcceptedLog()
            history.logs.append(log)
        elif log is not history.logs[-1]:
            self._breach(f"{machine}: {position} was accepted after a later load")
        log.append(change)
        if change.service:
            self._record(history, log, change)

    def _record(self, history: RegionHistory, log: AcceptedLog, change: Change) -> None:
        """Record the rows that the source proposed, which the change must lead to."""
        proposed = history.proposed.get(change.position)
        if proposed is None:
            rows = self._loaded_rows(history, change)
        else:
            rows = proposed.rows
            if proposed.service != change.service:
                self._breach(f"{change.position} was proposed for {proposed.service}")
        log.services[change.service].add(change.position.revision, rows)
        if rows is None:
            self._history.deleted_at[change.service] = self._environment.now

    def _loaded_rows(self, history: RegionHistory, change: Change) -> Rows | None:
        """The rows of a change that nobody proposed: loaded, or as they were before a load."""
        rows = None if change.deleted else {row.uid: row for row in change.rows}
        is_loaded = any(loaded.get(change.service) == rows for loaded in history.loaded)
        is_unchanged = len(history.logs) > 1 and rows == history.rows_before_load(change.service)
        if not (is_loaded or is_unchanged) or not change.complete:
            self._breach(f"{change.position} was neither proposed nor loaded")
        return rows

    def _breach(self, text: str) -> None:
        self._environment.breach(text)
