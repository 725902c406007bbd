"""`python -m loadbalancer scale FILE --machine NAME`: one control machine of deploy/scale.toml.

It serves each node the services that are assigned to it, and is ended by SIGTERM.
"""

from __future__ import annotations

import argparse
from collections.abc import Sequence


def main(words: Sequence[str]) -> int:
    """Run it; 0 after a stop, 2 where the file, the name or an address can't be used."""
    parser = argparse.ArgumentParser(prog="python -m loadbalancer scale", description=__doc__)
    parser.add_argument("file", metavar="FILE", help="the control machines' file")
    parser.add_argument("--machine", metavar="NAME", required=True, help="which one this is")
    args = parser.parse_args(words)
    from loadbalancer.control.machine.machine import main as serve

    return serve(args.file, args.machine)
