"""The page's tables, as Markdown."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from benchmarks.scale.capacity import control, edges, node
from benchmarks.scale.capacity.edges import Sharing
from benchmarks.scale.capacity.row import Row, Slopes, Unit, by_ratio
from benchmarks.scale.capacity.target import ASSUMPTIONS, Assumption, Range, Target
from benchmarks.scale.fit import Slope
from benchmarks.scale.record import Run
from benchmarks.scale.sharing import MAX_NODES

BYTES = (("GB", 1e9), ("MB", 1e6), ("KB", 1e3), ("B", 1.0))
TIMES = (("days", 86_400.0), ("h", 3_600.0), ("min", 60.0), ("s", 1.0), ("ms", 1e-3), ("us", 1e-6))
MIN_GROUPED = 1_000  # from which a figure's digits are grouped
MIN_SHOWN = 0.001  # below which a figure is only called that
LIMIT_OF_MINUTES = 180.0  # seconds below which a time is told in seconds


def all_rows(target: Target, slopes: Slopes) -> list[Row]:
    """Every row of the page, the worst ratio first."""
    found = [
        *node.rows(target, slopes),
        *control.rows(target, slopes),
        *edges.rows(target, slopes),
    ]
    return by_ratio(found)


def figure(value: float) -> str:
    """Three significant figures, without an exponent."""
    if value == 0:
        return "0"
    if value >= MIN_GROUPED:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{value:.3g}" if value >= MIN_SHOWN else f"under {MIN_SHOWN}"


def human(value: float, unit: Unit) -> str:
    """A value with the unit that suits its size."""
    if unit in (Unit.BYTES, Unit.BYTES_A_SECOND):
        name, size = next((row for row in BYTES if value >= row[1]), BYTES[-1])
        return f"{figure(value / size)} {name}{'/s' if unit is Unit.BYTES_A_SECOND else ''}"
    if unit is Unit.SECONDS:
        fitting = (
            row for row in TIMES if value >= (LIMIT_OF_MINUTES if row[0] == "min" else row[1])
        )
        name, size = next(fitting, TIMES[-1])
        return f"{figure(value / size)} {name}"
    if unit in (Unit.CORE, Unit.PART):
        return f"{figure(100 * value)}%"
    return f"{figure(value)}{unit.value}"


def bound(value: float, unit: Unit) -> str:
    """What is allowed: counts in full."""
    return f"{value:,.0f}" if unit is Unit.COUNT else human(value, unit)


def span(value: Range, unit: Unit) -> str:
    """A range, or one figure where both ends read alike."""
    low, high = human(value.low, unit), human(value.high, unit)
    return low if low == high else f"{low} to {high}"


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """A Markdown table."""
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def rows_table(rows: Sequence[Row]) -> str:
    """One line a row."""
    head = ("ratio", "role", "situation", "what", "worked out as", "value", "allowed", "rests on",
            "mechanism", "where")  # fmt: skip
    return table(head, (row_cells(row) for row in rows))


def row_cells(row: Row) -> tuple[str, ...]:
    """A row's cells."""
    return (
        "-" if row.ratio is None else span(row.ratio, Unit.COUNT),
        row.role,
        row.situation,
        row.resource,
        row.working,
        span(row.value, row.unit),
        "-" if row.allowed is None else bound(row.allowed, row.unit),
        row.standing,
        row.mechanism.name,
        row.mechanism.where,
    )


def slopes_table(runs: Sequence[Run]) -> str:
    """Every slope with its fit and its spread."""
    head = ("slope", "each", "fixed", "unit", "sizes", "largest residual", "R2", "spread", "run")
    rows = [(slope, number) for number, run in enumerate(runs, 1) for slope in run.slopes]
    return table(head, (slope_cells(slope, number) for slope, number in rows))


def slope_cells(slope: Slope, run: int) -> tuple[str, ...]:
    """A slope's cells; the spread is the largest part by which a median lies over its value.

    It is "-" where all readings were alike, or there was one.
    """
    sizes = f"{slope.sizes[0]:,.0f} to {slope.sizes[-1]:,.0f} ({len(slope.sizes)})"
    spread = max(p.median / p.value - 1 if p.value else 0.0 for p in slope.points)
    return (
        f"`{slope.name}`",
        signed(slope.per_item),
        signed(slope.fixed),
        f"{slope.unit} a {slope.item}",
        sizes,
        f"{100 * slope.residual:.1f}%" + ("" if slope.straight else " (no line)"),
        f"{slope.r2:.4f}",
        f"{100 * spread:.0f}%" if spread else "-",
        str(run),
    )


def signed(value: float) -> str:
    """A figure that may be under 0."""
    return f"-{figure(-value)}" if value < 0 else figure(value)


def runs_table(runs: Sequence[Run]) -> str:
    """The commands."""
    head = ("run", "command", "Python", "cores", "fixed loop")
    return table(
        head,
        (
            (str(n), f"`{run.command}`", run.python, str(run.cores), f"{run.reference_us:.0f} us")
            for n, run in enumerate(runs, 1)
        ),
    )


def sharing_table(rows: Sequence[Sharing]) -> str:
    """The most nodes, at both ends."""
    head = ("what at most 1 in 100 requests may meet", "backends a node chooses among",
            "most nodes, easy end", "most nodes, hard end")  # fmt: skip
    return table(head, ((r.part, str(r.backends), nodes(r.easy), nodes(r.hard)) for r in rows))


def nodes(count: int) -> str:
    """A number of nodes that the search may have ended at."""
    return f"over {MAX_NODES:,}" if count >= MAX_NODES else str(count)


def assumptions_table(rows: Sequence[Assumption] = ASSUMPTIONS) -> str:
    """Each at both ends."""
    head = ("assumed", "low", "high", "unit")
    return table(head, ((a.what, figure(a.range.low), figure(a.range.high), a.unit) for a in rows))
