"""What the system costs at its target size.

    python -m benchmarks.scale slopes [--quick] [--only NAME]
    python -m benchmarks.scale run [--quick] [--nodes N] ...
    python -m benchmarks.scale page [--write docs/CAPACITY.md]

Each sub-command is a module of this package with `configure(parser)` and `main(args)`. One that
measures prints one JSON line at its end.
"""

from __future__ import annotations

import argparse
from importlib import import_module
from typing import NamedTuple


class Command(NamedTuple):
    """A sub-command: the module's name in this package, and its line in the help."""

    name: str
    help: str


COMMANDS = (
    Command("slopes", "measure what each thing costs at three sizes or more"),
    Command("page", "the tables of docs/CAPACITY.md from measured slopes"),
    Command("run", "the whole fleet in one run, with failures and a referee"),
)


def main(arguments: list[str] | None = None) -> None:
    """Run the sub-command that the command line names."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale", description=__doc__)
    parser.formatter_class = argparse.RawDescriptionHelpFormatter
    chosen = parser.add_subparsers(dest="command", required=True)
    modules = {}
    for command in COMMANDS:
        module = import_module(f"benchmarks.scale.{command.name}")
        module.configure(chosen.add_parser(command.name, help=command.help))
        modules[command.name] = module
    args = parser.parse_args(arguments)
    modules[args.command].main(args)


if __name__ == "__main__":
    main()
