"""Processor time, memory and bytes of the control machines in one phase."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any

from benchmarks.scale.measurements import Phase


@dataclass(frozen=True, slots=True)
class ControlFigures:
    """Figures of one phase; of the machines whose process lived through it, except `alive`."""

    alive: int  # machines that answered at the phase's end
    seconds: float
    cpu_most: float  # of a core, of the busiest machine
    cpu_mean: float
    memory_most_mb: float
    sent_most_bytes_s: int

    def as_json(self) -> dict[str, Any]:
        """Return it as it is written into the result."""
        return asdict(self)


def control_figures(phase: Phase) -> ControlFigures:
    """Compute a phase's figures from the machines' `/status` before and after it."""
    before, after = phase.before.controls, phase.after.controls
    pairs = [
        (before[name], after[name])
        for name in after
        # A process that was started meanwhile counts its processor time from 0 again.
        if name in before and after[name]["cpu_seconds"] >= before[name]["cpu_seconds"]
    ]
    cpu = [(last["cpu_seconds"] - first["cpu_seconds"]) / phase.seconds for first, last in pairs]
    sent = [(_sent_bytes(last) - _sent_bytes(first)) / phase.seconds for first, last in pairs]
    memory = max((last["memory_bytes"] for _, last in pairs), default=0)
    return ControlFigures(
        alive=len(after),
        seconds=round(phase.seconds, 1),
        cpu_most=round(max(cpu, default=0.0), 4),
        cpu_mean=round(sum(cpu) / max(1, len(cpu)), 4),
        memory_most_mb=round(memory / 1e6, 1),
        sent_most_bytes_s=round(max(sent, default=0.0)),
    )


def _sent_bytes(status: dict[str, Any]) -> int:
    """Bytes to subscribers and to the other machines."""
    counts = status["counts"]
    total: int = counts["questions"].get("bytes", 0) + counts["streams"].get("sent bytes", 0)
    return total
