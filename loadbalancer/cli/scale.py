"""`python -m loadbalancer scale FILE --machine NAME`: run one control machine.

FILE has the format of deploy/scale.toml. The machine serves each node the endpoint lists of the
services assigned to that node. SIGTERM stops it.
"""

from __future__ import annotations

import argparse
from typing import TextIO


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the sub-command's arguments to the parser."""
    parser.add_argument("file", metavar="FILE", help="the control machines' configuration file")
    parser.add_argument(
        "--machine",
        metavar="NAME",
        required=True,
        help="name of the machine to run, as in the file",
    )


def run(arguments: argparse.Namespace, out: TextIO) -> int:
    """Run the machine; returns 0 after a stop, 2 if the file, name or an address can't be used."""
    del out  # the machine writes only to its log
    from loadbalancer.control.machine.process import main as serve

    return serve(arguments.file, arguments.machine)
