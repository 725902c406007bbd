"""The capacity page's tables, from the slopes that were measured.

    python -m benchmarks.scale page [--slopes FILE] [--write PAGE]

Prints the tables; with `--write` it puts them between the page's markers, so that the page
and the slopes can't disagree. The text around them is written by hand.
"""

from __future__ import annotations

import argparse
import re
from collections.abc import Mapping
from pathlib import Path

from benchmarks.scale import record
from benchmarks.scale.capacity import edges, tables
from benchmarks.scale.capacity.row import Slopes
from benchmarks.scale.capacity.target import Target

PAGE = Path("docs/CAPACITY.md")
MARKED = r"(<!-- {0}: begin -->\n).*?(<!-- {0}: end -->)"


class PageError(ValueError):
    """A page without a table's markers; the text names the table."""


def configure(parser: argparse.ArgumentParser) -> None:
    """Options of the sub-command."""
    parser.add_argument("--slopes", type=Path, default=record.FILE, help="the measured slopes")
    parser.add_argument("--write", type=Path, help="put the tables into this page")


def main(args: argparse.Namespace) -> None:
    """Print the tables, or write them into the page."""
    made = blocks(args.slopes)
    if args.write is not None:
        args.write.write_text(filled(args.write.read_text(), made))
        return
    for name, text in made.items():
        print(f"## {name}\n\n{text}\n")


def blocks(slopes_file: Path, target: Target | None = None) -> dict[str, str]:
    """Every table by the name of its markers."""
    target = target or Target()
    runs = record.read(slopes_file)
    rows = tables.all_rows(target, Slopes(record.by_name(runs)))
    return {
        "rows": tables.rows_table(rows),
        "sharing": tables.sharing_table(edges.sharing(target)),
        "slopes": tables.slopes_table(runs),
        "runs": tables.runs_table(runs),
        "assumptions": tables.assumptions_table(),
    }


def filled(page: str, made: Mapping[str, str]) -> str:
    """The page with these tables between their markers; PageError where one has none."""
    for name, text in made.items():
        pattern = re.compile(MARKED.format(name), re.DOTALL)
        page, count = pattern.subn(lambda m, text=text: f"{m[1]}{text}\n{m[2]}", page)  # type: ignore[misc]
        if count != 1:
            raise PageError(f"the page has {count} places for the table {name!r}, not one")
    return page
