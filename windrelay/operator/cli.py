"""Commands beside the node; each imports what it needs only when called."""

from __future__ import annotations

import sys
from collections.abc import Sequence

USAGE = """usage: python -m windrelay                the node, configured by PROXY_CONFIG
       python -m windrelay check FILE...  check files under deploy/ (--help for more)
       python -m windrelay control FILE   hand the decisions to other proxies over xDS
       python -m windrelay members FILE   the servers as Consul tells them, and why
       python -m windrelay peers ADDRESS  what a running node has from the others
       python -m windrelay scale FILE --machine NAME
                                          serve each node the services assigned to it
       python -m windrelay demo           a node, stand-ins and a short load, no set-up"""


def main(words: Sequence[str]) -> int:
    """Run a command; its exit status, 2 for an unknown one."""
    name, *rest = words
    if name == "check":
        from windrelay.operator.check import main as check

        return check(rest)
    if name == "demo":
        from windrelay.operator.demo import main as demo

        return demo(rest)
    if name == "members":
        from windrelay.operator.members import main as members

        return members(rest)
    if name == "peers":
        from windrelay.operator.peers import main as peers

        return peers(rest)
    if name == "scale":
        from windrelay.operator.scale import main as scale

        return scale(rest)
    if name == "control" and len(rest) == 1:
        from windrelay.xds.control import main as control

        return control(rest[0])
    print(USAGE, file=sys.stdout if name in ("-h", "--help") else sys.stderr)
    return 0 if name in ("-h", "--help") else 2
