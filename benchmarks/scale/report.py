"""Files that are kept of a scale run: its JSON, tables in Markdown, and charts."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any


def write_report(result: dict[str, Any], folder: Path, name: str) -> None:
    """Write `name`.json, `name`.md and the charts to a folder, made if needed."""
    # Only here: a run without `--out` needs no chart library.
    from benchmarks.scale.chart import draw

    folder.mkdir(parents=True, exist_ok=True)
    (folder / f"{name}.json").write_text(json.dumps(result, indent=1) + "\n")
    (folder / f"{name}.md").write_text(markdown(result))
    draw(result, folder, name)


def markdown(result: dict[str, Any]) -> str:
    """Return a result's tables."""
    sizes = ", ".join(f"{value:,} {name}" for name, value in result["sizes"].items())
    lines = [
        f"Sizes: {sizes}; seed {result['seed']}.",
        "",
        *_table(
            ("phase", "alive", "changes", "p50 ms", "p99 ms", "most ms", "never"),
            _propagation_rows(result),
        ),
        "",
        *_table(
            ("phase", "node bytes/s", "node CPU", "control CPU most", "control MB", "sent B/s"),
            _cost_rows(result),
        ),
        "",
        *_table(("check", "ok", "measured"), _check_rows(result)),
    ]
    return "\n".join(lines) + "\n"


def _table(columns: Iterable[str], rows: Iterable[Iterable[Any]]) -> Iterator[str]:
    columns = list(columns)
    yield _line(columns)
    yield _line("---" for _ in columns)
    for row in rows:
        yield _line(row)


def _line(cells: Iterable[Any]) -> str:
    return f"| {' | '.join(str(cell) for cell in cells)} |"


def _propagation_rows(result: dict[str, Any]) -> Iterator[list[Any]]:
    for name, row in result["in_force"].items():
        alive = result["control"].get(name, {}).get("alive", "")
        times = [row[key] for key in ("changes", "p50_ms", "p99_ms", "most_ms", "never")]
        yield [name, alive, *times]


def _cost_rows(result: dict[str, Any]) -> Iterator[list[Any]]:
    for name, control in result["control"].items():
        node = result["node"]["by_phase"].get(name, {"bytes_s": "", "cpu_control": ""})
        costs = [control[key] for key in ("cpu_most", "memory_most_mb", "sent_most_bytes_s")]
        yield [name, node["bytes_s"], node["cpu_control"], *costs]


def _check_rows(result: dict[str, Any]) -> Iterator[list[Any]]:
    for check in result["checks"]:
        yield [check["check"], "yes" if check["ok"] else "NO", check["detail"]]
