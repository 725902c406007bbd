"""`python -m loadbalancer control FILE`: the control service, which serves other proxies over xDS.

FILE is in the form of deploy/control.toml. SIGHUP reads it again; SIGTERM ends the service.
"""

from __future__ import annotations

import argparse
from typing import TextIO


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the arguments."""
    parser.add_argument("file", metavar="FILE", help="the control service's file")


def run(arguments: argparse.Namespace, out: TextIO) -> int:
    """Run it; 0 after a stop, 2 where the file or an address can't be used."""
    del out  # the service prints nothing but its log
    from loadbalancer.control.xds.server import main as serve

    return serve(arguments.file)
