"""Commands beside the node; each imports what it needs only when called."""

from __future__ import annotations

import sys
from collections.abc import Sequence

USAGE = """usage: python -m loadbalancer                the node, configured by PROXY_CONFIG
       python -m loadbalancer check FILE...  check files under deploy/ (--help for more)
       python -m loadbalancer control FILE   hand the decisions to other proxies over xDS
       python -m loadbalancer members FILE   the servers as Consul tells them, and why
       python -m loadbalancer peers ADDRESS  what a running node has from the others
       python -m loadbalancer scale FILE --machine NAME
                                          serve each node the services assigned to it
       python -m loadbalancer demo           a node, stand-ins and a short load, no set-up"""


def main(words: Sequence[str]) -> int:
    """Run a command; its exit status, 2 for an unknown one."""
    name, *rest = words
    if name == "check":
        from loadbalancer.cli.check import main as check

        return check(rest)
    if name == "demo":
        from loadbalancer.cli.demo import main as demo

        return demo(rest)
    if name == "members":
        from loadbalancer.cli.members import main as members

        return members(rest)
    if name == "peers":
        from loadbalancer.cli.peers import main as peers

        return peers(rest)
    if name == "scale":
        from loadbalancer.cli.scale import main as scale

        return scale(rest)
    if name == "control" and len(rest) == 1:
        from loadbalancer.control.xds.service import main as control

        return control(rest[0])
    print(USAGE, file=sys.stdout if name in ("-h", "--help") else sys.stderr)
    return 0 if name in ("-h", "--help") else 2
