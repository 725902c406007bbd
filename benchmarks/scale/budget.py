"""What the run's processes use together; the run ends by itself before it uses more."""

from __future__ import annotations

import os
from dataclasses import dataclass, field
from pathlib import Path

GB = 1 << 30


class Spent(Exception):
    """A budget is reached; the text names it and what was reached."""


@dataclass(slots=True)
class Budget:
    """Bytes of memory and processes that may be used."""

    memory: int
    processes: int
    pids: set[int] = field(default_factory=set)
    most_memory: int = 0
    most_processes: int = 0

    def check(self) -> None:
        """Look at all processes; Spent where a budget is reached."""
        alive = [pid for pid in self.pids if Path(f"/proc/{pid}").exists()]
        used = sum(proportional(pid) for pid in (*alive, os.getpid()))
        self.most_memory = max(self.most_memory, used)
        self.most_processes = max(self.most_processes, len(alive) + 1)
        if used > self.memory:
            raise Spent(f"memory: {used / GB:.2f} GB of {self.memory / GB:.2f} GB")
        if len(alive) + 1 > self.processes:
            raise Spent(f"processes: {len(alive) + 1} of {self.processes}")


def proportional(pid: int) -> int:
    """Bytes of a process, pages that it shares counted in part (PSS); 0 once it has gone."""
    try:
        with open(f"/proc/{pid}/smaps_rollup") as file:
            for line in file:
                if line.startswith("Pss:"):
                    return int(line.split()[1]) * 1024
    except OSError:
        return 0
    return 0
