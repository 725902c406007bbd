"""What a scale run records while it goes on: phases, samples, checks and notes."""

from __future__ import annotations

import logging
from dataclasses import asdict, dataclass, field
from typing import Any

from benchmarks.scale.host_status import HostStatus

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Usage:
    """Reports of all processes at one moment, by their names."""

    hosts: dict[str, HostStatus]
    controls: dict[str, dict[str, Any]]  # `/status` of the control machines that answered


@dataclass(slots=True)
class Phase:
    """One part of the run, and the processes' reports at its beginning and end."""

    name: str
    began: int  # monotonic nanoseconds
    before: Usage
    ended: int = 0  # 0: it has not ended
    after: Usage = field(default_factory=lambda: Usage({}, {}))

    @property
    def seconds(self) -> float:
        """How long it lasted."""
        return (self.ended - self.began) / 1e9


@dataclass(frozen=True, slots=True)
class SnapshotSample:
    """Snapshots that all control machines have sent since the sample before."""

    second: int  # since sampling began
    snapshots: int
    phase: str


@dataclass(frozen=True, slots=True)
class Check:
    """One assertion of the run, with what was measured."""

    name: str
    passed: bool
    detail: str = ""

    def as_json(self) -> dict[str, Any]:
        """Return it as it is written into the result."""
        return {"check": self.name, "ok": self.passed, "detail": self.detail}


@dataclass(slots=True)
class Measurements:
    """All that one run has recorded."""

    phases: list[Phase] = field(default_factory=list)
    samples: list[SnapshotSample] = field(default_factory=list)
    checks: list[Check] = field(default_factory=list)
    notes: dict[str, Any] = field(default_factory=dict)  # single figures, by their name

    @property
    def ended_phases(self) -> list[Phase]:
        """The phases that were not cut off."""
        return [phase for phase in self.phases if phase.ended]

    def check(self, name: str, passed: bool, detail: str = "") -> None:
        """Record an assertion, and log one that does not hold."""
        self.checks.append(Check(name, passed, detail))
        if not passed:
            logger.error("FAILED: %s: %s", name, detail)

    def samples_as_json(self) -> list[dict[str, Any]]:
        """Return the samples as they are written into the result."""
        return [asdict(sample) for sample in self.samples]
