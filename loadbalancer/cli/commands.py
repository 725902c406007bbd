"""The table of sub-commands, and the entry point that runs one.

A sub-command is a module with `configure(parser)`, which adds its arguments, and
`run(arguments, out)`, which returns the exit status. A module is imported only when its
sub-command is called, since each has dependencies that the others don't need.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Sequence
from importlib import import_module
from typing import NamedTuple, Protocol, TextIO

PROGRAM = "python -m loadbalancer"


class Command(NamedTuple):
    """A sub-command: its name and module, a synopsis of its arguments, and a one-line summary."""

    name: str
    module: str
    usage: str
    summary: str


COMMANDS = (
    Command(
        "check",
        "loadbalancer.cli.check",
        "FILE...",
        "check configuration files like those in deploy/, except balancer.toml",
    ),
    Command("control", "loadbalancer.cli.control", "FILE", "serve other proxies over xDS"),
    Command(
        "members", "loadbalancer.cli.members", "FILE", "list Consul's servers and their states"
    ),
    Command("peers", "loadbalancer.cli.peers", "ADDRESS", "show what a node learned by gossip"),
    Command("scale", "loadbalancer.cli.scale", "FILE --machine NAME", "run one control machine"),
    Command("demo", "loadbalancer.cli.demo", "", "run a node in front of fake servers, under load"),
)


class CommandModule(Protocol):
    """The interface of a sub-command's module."""

    __doc__: str | None
    configure: Callable[[argparse.ArgumentParser], None]
    run: Callable[[argparse.Namespace, TextIO], int]


def main(argv: Sequence[str], out: TextIO | None = None) -> int:
    """Run a sub-command.

    Args:
        argv: the command line after the program name, starting with the sub-command's name.
        out: stream for the results, standard output by default; errors go to standard error.

    Returns:
        The sub-command's exit status, or 2 for an unknown sub-command or invalid arguments.
    """
    out = out or sys.stdout
    name, *arguments = argv
    if name in ("-h", "--help"):
        print(usage(), file=out)
        return 0
    command = next((known for known in COMMANDS if known.name == name), None)
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
    """Return the usage text, with one line per sub-command."""
    rows = [("", "the proxy, configured by PROXY_CONFIG")]
    rows += [(f"{command.name} {command.usage}".rstrip(), command.summary) for command in COMMANDS]
    width = max(len(call) for call, _ in rows)
    lines = [f"{PROGRAM} {call:<{width}}  {summary}" for call, summary in rows]
    return "usage: " + "\n       ".join(lines)
