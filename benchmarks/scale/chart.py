"""Charts of a run's results as SVG; the only module that needs the library."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pygal
from pygal.style import CleanStyle


def draw(result: dict[str, Any], folder: Path, name: str) -> list[Path]:
    """The times in force by phase, and the snapshots by second; the files written."""
    return [
        _in_force(result, folder / f"{name}-in-force.svg"),
        _storms(result, folder / f"{name}-storms.svg"),
    ]


def _in_force(result: dict[str, Any], path: Path) -> Path:
    chart = pygal.Bar(
        style=CleanStyle, title="Accepted to in force at every node that holds it, ms",
        height=360, width=760, js=[], disable_xml_declaration=True,
    )  # fmt: skip
    phases = {name: row for name, row in result["in_force"].items() if row["changes"]}
    chart.x_labels = list(phases)
    for figure in ("p50", "p99", "most"):
        chart.add(figure, [round(row[f"{figure}_ms"], 1) for row in phases.values()])
    chart.render_to_file(str(path))
    return path


def _storms(result: dict[str, Any], path: Path) -> Path:
    seconds = result["snapshots_by_second"]
    chart = pygal.Line(
        style=CleanStyle, title="Snapshots a second, all control machines", show_dots=False,
        fill=True, height=360, width=760, js=[], disable_xml_declaration=True,
        x_labels_major_every=30, show_minor_x_labels=False,
    )  # fmt: skip
    chart.x_labels = [str(row["second"]) for row in seconds]
    chart.add("snapshots", [row["snapshots"] for row in seconds])
    chart.render_to_file(str(path))
    return path
