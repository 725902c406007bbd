"""`python -m loadbalancer demo`: a node, stand-ins and a short mixed load, with no set-up.

Everything runs on ephemeral loopback ports and ends by itself. Halfway through,
one of the servers starts to fail.
"""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Sequence
from importlib import import_module
from typing import Any

SERVERS = 5
WORK_MS = 4.0
RATE = 150.0
FAULT = {"error": 0.3, "slow": 10.0, "refuse": 0.1}


def main(words: Sequence[str]) -> int:
    """Play the demo; 0 where every request was answered, 1 where one was not."""
    parser = argparse.ArgumentParser(prog="python -m loadbalancer demo", description=__doc__)
    parser.add_argument("--requests", type=int, default=600)
    args = parser.parse_args(words)
    # By name: the product does not depend on its stand-ins, only this command does.
    fleet, load = import_module("fakes.fleet"), import_module("fakes.load")
    routes = str(fleet.ROOT / "deploy" / "routes.toml")
    with fleet.backends(SERVERS, WORK_MS) as servers:
        targets = [w for i, s in enumerate(servers, 1) for w in ("--target", f"s-{i}={s.address}")]
        with (
            fleet.started(("-m", "fakes.discovery", *targets)) as discovery,
            fleet.node(servers, discovery.address, routes) as node,
        ):
            print(f"node {node.address}, discovery {discovery.address}, routes {routes}")
            for i, server in enumerate(servers, 1):
                print(f"server s-{i} {server.address}")
            half = args.requests // 2
            print(f"{args.requests} requests; from number {half} on s-{SERVERS} fails: {FAULT}")
            clients = load.Clients(node.address, seed=1)
            faults = {half: lambda: servers[-1].call("POST", "/standin/faults", FAULT)}
            asyncio.run(load.play(clients, RATE, args.requests, at=faults))
            states = [s.call("GET", "/standin/state") for s in servers]
    return summary(clients, states, node.log)


def summary(clients: Any, states: list[dict[str, int]], log: str) -> int:
    """Print what clients, servers and the node's own records say."""
    print(f"\n{'class':<10}{'asked':>7}{'served':>8}{'refused':>9}{'failed':>8}"
          f"{'p50 ms':>9}{'p99 ms':>9}")  # fmt: skip
    unanswered = 0
    for cls, seen in sorted(clients.seen.items()):
        asked = seen.statuses.total()
        served, refused = seen.statuses[200], seen.statuses[503]
        unanswered += seen.statuses[0]
        print(f"{cls:<10}{asked:>7}{served:>8}{refused:>9}{asked - served - refused:>8}"
              f"{seen.quantile(0.5):>9.1f}{seen.quantile(0.99):>9.1f}")  # fmt: skip
    print(f"\n{'server':<10}{'attempts':>9}{'ran':>7}{'errors':>8}{'refused':>9}{'doubled':>9}")
    for i, state in enumerate(states, 1):
        print(f"s-{i:<8}{state.get('received', 0):>9}{state.get('ran', 0):>7}"
              f"{state.get('errors', 0):>8}{state.get('refused', 0):>9}"
              f"{state['effects_doubled']:>9}")  # fmt: skip
    attempts = sum(s.get("received", 0) for s in states)
    for line in log.splitlines():
        if "policies: " in line:
            print(f"\nthe node's own records: {line.partition('policies: ')[2]}")
    print(f"{attempts} attempts for {clients.count} requests, retries and second copies "
          f"included; {unanswered} without an answer")  # fmt: skip
    return 1 if unanswered else 0
