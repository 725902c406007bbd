"""`python -m loadbalancer control FILE`: run the xDS control service for other proxies.

FILE has the format of deploy/control.toml. SIGHUP reloads it; SIGTERM stops the service.
"""

from __future__ import annotations

import argparse
from typing import TextIO


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the sub-command's arguments to the parser."""
    parser.add_argument("file", metavar="FILE", help="the control service's configuration file")


def run(arguments: argparse.Namespace, out: TextIO) -> int:
    """Run the service; returns 0 after a stop, 2 if the file or an address can't be used."""
    del out  # the service writes only to its log
    from loadbalancer.control.xds.server import main as serve

    return serve(arguments.file)
