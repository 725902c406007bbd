"""The sub-commands in one place, and the parser that they share.

A sub-command is a module with `configure(parser)`, which adds its arguments, and
`run(arguments, out)`, which returns the exit status. A module is imported only when its
sub-command is called: each has dependencies that the others do without.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Sequence
from importlib import import_module
from typing import NamedTuple, Protocol, TextIO

PROGRAM = "python -m loadbalancer"


class Command(NamedTuple):
    """A sub-command: its name, the module that runs it, its arguments in short, what it does."""

    name: str
    module: str
    usage: str
    summary: str


COMMANDS = (
    Command(
        "check",
        "loadbalancer.cli.check",
        "FILE...",
        "check the files of deploy/ but balancer.toml",
    ),
    Command("control", "loadbalancer.cli.control", "FILE", "serve other proxies over xDS"),
    Command("members", "loadbalancer.cli.members", "FILE", "list Consul's servers and their state"),
    Command("peers", "loadbalancer.cli.peers", "ADDRESS", "show what a node has from the others"),
    Command("scale", "loadbalancer.cli.scale", "FILE --machine NAME", "run one control machine"),
    Command("demo", "loadbalancer.cli.demo", "", "run a node before fake servers, under load"),
)


class CommandModule(Protocol):
    """What a sub-command's module offers."""

    __doc__: str | None
    configure: Callable[[argparse.ArgumentParser], None]
    run: Callable[[argparse.Namespace, TextIO], int]


def main(words: Sequence[str], out: TextIO | None = None) -> int:
    """Run a sub-command.

    Args:
        words: the command line behind the program, the sub-command's name first.
        out: where its results go, standard output by default; errors go to standard error.

    Returns:
        The exit status: the sub-command's own, 2 for an unknown one or unusable arguments.
    """
    out = out or sys.stdout
    name, *arguments = words
    if name in ("-h", "--help"):
        print(usage(), file=out)
        return 0
    command = next((one for one in COMMANDS if one.name == name), None)
    if command is None:
        print(usage(), file=sys.stderr)
        return 2
    module: CommandModule = import_module(command.module)
    parser = argparse.ArgumentParser(
        prog=f"{PROGRAM} {name}",
        description=module.__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    module.configure(parser)
    return module.run(parser.parse_args(arguments), out)


def usage() -> str:
    """All sub-commands, a line each."""
    rows = [("", "the proxy, configured by PROXY_CONFIG")]
    rows += [(f"{one.name} {one.usage}".rstrip(), one.summary) for one in COMMANDS]
    width = max(len(call) for call, _ in rows)
    lines = [f"{PROGRAM} {call:<{width}}  {summary}" for call, summary in rows]
    return "usage: " + "\n       ".join(lines)
