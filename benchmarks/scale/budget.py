"""Limits of the memory and the number of a run's processes; a run that exceeds one is ended."""

from __future__ import annotations

import os
from dataclasses import dataclass, field
from pathlib import Path

GB = 1 << 30


class BudgetError(Exception):
    """A budget is exceeded; the text names it and what was used."""


@dataclass(slots=True)
class Budget:
    """Limits of the memory and the number of processes together, and the peaks of both."""

    memory: int  # bytes
    processes: int
    pids: set[int] = field(default_factory=set)  # beside this process; may have ended
    peak_memory: int = 0  # bytes
    peak_processes: int = 0

    def check(self) -> None:
        """Measure all processes that run; BudgetError if a budget is exceeded."""
        alive = [pid for pid in self.pids if Path(f"/proc/{pid}").exists()]
        used = sum(proportional_bytes(pid) for pid in (*alive, os.getpid()))
        self.peak_memory = max(self.peak_memory, used)
        self.peak_processes = max(self.peak_processes, len(alive) + 1)
        if used > self.memory:
            raise BudgetError(f"memory: {used / GB:.2f} GB of {self.memory / GB:.2f} GB")
        if len(alive) + 1 > self.processes:
            raise BudgetError(f"processes: {len(alive) + 1} of {self.processes}")


def proportional_bytes(pid: int) -> int:
    """Return a process's proportional set size (shared pages counted in part); 0 once it ended."""
    try:
        with open(f"/proc/{pid}/smaps_rollup") as file:
            for line in file:
                if line.startswith("Pss:"):
                    return int(line.split()[1]) * 1024
    except OSError:
        return 0
    return 0
