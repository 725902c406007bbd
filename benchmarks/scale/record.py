"""The file that keeps measured slopes: runs, each with its command and its machine."""

from __future__ import annotations

import json
import os
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.scale.fit import Slope, from_json

FILE = Path("docs/scale/slopes.json")


class RecordError(ValueError):
    """A file of slopes that can't be used; the text names it and what is wrong."""


@dataclass(frozen=True, slots=True)
class Run:
    """Slopes of one call.

    `reference_us` is what a fixed loop took then (`meter.reference`): where two runs differ in
    it, their processor times differ for that reason.
    """

    command: str
    python: str
    cores: int
    reference_us: float
    slopes: tuple[Slope, ...]

    def as_json(self) -> dict[str, Any]:
        """Plain data."""
        return {
            "command": self.command,
            "python": self.python,
            "cores": self.cores,
            "reference_us": self.reference_us,
            "slopes": [slope.as_json() for slope in self.slopes],
        }


def run_of(command: str, reference_us: float, slopes: list[Slope]) -> Run:
    """A run on this machine."""
    version = sys.version.split()[0]
    return Run(command, version, os.cpu_count() or 0, reference_us, tuple(slopes))


def read(path: Path = FILE) -> list[Run]:
    """All runs of a file; RecordError where it can't be used."""
    try:
        return [_run(raw) for raw in json.loads(path.read_text())["runs"]]
    except (OSError, ValueError, KeyError, TypeError) as err:
        raise RecordError(f"{path}: {err}") from None


def _run(raw: dict[str, Any]) -> Run:
    slopes = tuple(from_json(slope) for slope in raw.pop("slopes"))
    return Run(**raw, slopes=slopes)


def merged(runs: list[Run], new: Run) -> list[Run]:
    """Runs with a further one, whose slopes take the place of older ones of their names."""
    names = {slope.name for slope in new.slopes}
    kept = []
    for run in runs:
        rest = tuple(slope for slope in run.slopes if slope.name not in names)
        if rest:
            kept.append(Run(run.command, run.python, run.cores, run.reference_us, rest))
    return [*kept, new]


def write(path: Path, runs: list[Run]) -> None:
    """Keep these runs."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps({"runs": [run.as_json() for run in runs]}, indent=1) + "\n")


def by_name(runs: list[Run]) -> dict[str, Slope]:
    """Every slope by its name."""
    return {slope.name: slope for run in runs for slope in run.slopes}
