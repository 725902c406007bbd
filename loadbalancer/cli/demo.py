"""`python -m loadbalancer demo`: run a node and fake servers under a short mixed load.

It needs no set-up: all processes use ephemeral loopback ports and stop by themselves. Halfway
through, one of the servers starts to fail. Exits with status 0 if every request was answered, and
1 otherwise.
"""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Sequence
from importlib import import_module
from typing import Any, TextIO

SERVERS = 5
WORK_MS = 4.0  # a server's processing time per request
REQUESTS_PER_S = 150.0
FAULT = {"error": 0.3, "slow": 10.0, "refuse": 0.1}
OK, UNAVAILABLE, NO_ANSWER = 200, 503, 0
POLICY_COUNTS = "route policies: "  # prefix of the node's log line with these counts


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the sub-command's arguments to the parser."""
    parser.add_argument("--requests", type=int, default=600)


def run(arguments: argparse.Namespace, out: TextIO) -> int:
    """Run the demo; returns 0 if every request was answered, and 1 otherwise."""
    # Imported by name: only this sub-command depends on the fakes, not the proxy itself.
    processes, nodes = import_module("fakes.processes"), import_module("fakes.node")
    load = import_module("fakes.load")
    routes = str(processes.ROOT / "deploy" / "routes.toml")
    with processes.running_backends(SERVERS, WORK_MS) as servers:
        targets = [
            argument
            for number, server in enumerate(servers, 1)
            for argument in ("--target", f"s-{number}={server.address}")
        ]
        with (
            processes.running_process(("-m", "fakes.discovery", *targets)) as discovery,
            nodes.running_node(servers, discovery.address, routes) as node,
        ):
            print(f"node {node.address}, discovery {discovery.address}, routes {routes}", file=out)
            for number, server in enumerate(servers, 1):
                print(f"server s-{number} {server.address}", file=out)
            half = arguments.requests // 2
            print(
                f"{arguments.requests} requests; s-{SERVERS} fails from request {half} on: {FAULT}",
                file=out,
            )
            clients = load.Clients(node.address, seed=1)
            faults = {half: lambda: servers[-1].call("POST", "/standin/faults", FAULT)}
            asyncio.run(load.send_at_rate(clients, REQUESTS_PER_S, arguments.requests, at=faults))
            states = [server.call("GET", "/standin/state") for server in servers]
    _print_clients(clients, out)
    _print_servers(states, out)
    for line in node.log_text.splitlines():
        if POLICY_COUNTS in line:
            print(f"\nthe node's own counts: {line.partition(POLICY_COUNTS)[2]}", file=out)
    attempts = sum(state.get("received", 0) for state in states)
    unanswered = sum(results.statuses[NO_ANSWER] for results in clients.results.values())
    print(
        f"{attempts} attempts for {clients.count} requests, retries and hedged requests "
        f"included; {unanswered} without an answer",
        file=out,
    )
    return 1 if unanswered else 0


def _print_clients(clients: Any, out: TextIO) -> None:
    """Print each class's results and the latency of its served requests."""
    columns = f"{'class':<10}{'sent':>7}{'served':>8}{'refused':>9}{'failed':>8}"
    print(f"\n{columns}{'p50 ms':>9}{'p99 ms':>9}", file=out)
    for cls, results in sorted(clients.results.items()):
        sent = results.statuses.total()
        served, refused = results.statuses[OK], results.statuses[UNAVAILABLE]
        counts = f"{cls:<10}{sent:>7}{served:>8}{refused:>9}{sent - served - refused:>8}"
        median, p99 = results.quantile_ms(0.5), results.quantile_ms(0.99)
        print(f"{counts}{median:>9.1f}{p99:>9.1f}", file=out)


def _print_servers(states: Sequence[dict[str, int]], out: TextIO) -> None:
    """Print what each server received and ran, and how many effects it applied twice."""
    columns = f"{'server':<10}{'attempts':>9}{'ran':>7}{'errors':>8}{'refused':>9}{'doubled':>9}"
    print(f"\n{columns}", file=out)
    for number, state in enumerate(states, 1):
        counts = f"s-{number:<8}{state.get('received', 0):>9}{state.get('ran', 0):>7}"
        errors = f"{state.get('errors', 0):>8}{state.get('refused', 0):>9}"
        print(f"{counts}{errors}{state['effects_doubled']:>9}", file=out)
