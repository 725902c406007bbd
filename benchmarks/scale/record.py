"""The file of measured slopes: runs, each with its command and its machine."""

from __future__ import annotations

import json
import os
import sys
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from benchmarks.scale.fit import Slope, from_json

FILE = Path("docs/scale/slopes.json")


class RecordError(ValueError):
    """A file of slopes that can't be used; the text names it and what is wrong."""


@dataclass(frozen=True, slots=True)
class Run:
    """The slopes of one run of the command.

    `reference_us` is the time of a fixed loop then (`meter.reference`), in microseconds: where two
    runs differ in it, their processor times differ for that reason.
    """

    command: str
    python: str
    cores: int
    reference_us: float
    slopes: tuple[Slope, ...]

    def as_json(self) -> dict[str, Any]:
        """Plain data, as it is written to the file."""
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
    """Runs with a further one, whose slopes replace older ones of the same names."""
    replaced = {slope.name for slope in new.slopes}
    result = []
    for run in runs:
        remaining = tuple(slope for slope in run.slopes if slope.name not in replaced)
        if remaining:
            result.append(replace(run, slopes=remaining))
    return [*result, new]


def write(path: Path, runs: list[Run]) -> None:
    """Write these runs, in place of what the file holds."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps({"runs": [run.as_json() for run in runs]}, indent=1) + "\n")


def by_name(runs: list[Run]) -> dict[str, Slope]:
    """Every slope by its name."""
    return {slope.name: slope for run in runs for slope in run.slopes}
