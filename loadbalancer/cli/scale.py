"""`python -m loadbalancer scale FILE --machine NAME`: one control machine of deploy/scale.toml.

It serves each node the services that are assigned to it, and is ended by SIGTERM.
"""

from __future__ import annotations

import argparse
from typing import TextIO


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the arguments."""
    parser.add_argument("file", metavar="FILE", help="the control machines' file")
    parser.add_argument("--machine", metavar="NAME", required=True, help="which one this is")


def run(arguments: argparse.Namespace, out: TextIO) -> int:
    """Run it; 0 after a stop, 2 where the file, the name or an address can't be used."""
    del out  # the machine prints nothing but its log
    from loadbalancer.control.machine.process import main as serve

    return serve(arguments.file, arguments.machine)
