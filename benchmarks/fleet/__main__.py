"""Gossip between nodes: how soon all nodes know a change, its costs, and its effect on service.

    python -m benchmarks.fleet [--quick]

Real nodes with links that lose datagrams: the time until a drain that one node is notified of, and
a kill, is known to all; until a restarted node has caught up; processor time and bytes beside nodes
without gossip. Under load, with gossip and without in turn: seven of ten nodes killed with three of
24 servers silent, and one node that gets eight times what others do. Simulated: the same times with
more nodes, and service with gossip against without, on the same seeds in turn. Prints one JSON
object.
"""

from __future__ import annotations

import argparse
import json
from dataclasses import dataclass

from benchmarks.fleet.dissemination import dissemination_figures
from benchmarks.fleet.real_nodes import LOSSES, real_node_figures
from benchmarks.fleet.service import service_figures
from benchmarks.fleet.under_load import load_figures


@dataclass(frozen=True, slots=True)
class Plan:
    """How much is run."""

    drains: int  # of real nodes, for each loss
    load_runs: int  # of each scenario under load, with gossip and without
    simulated_sizes: tuple[tuple[int, int], ...]  # nodes and servers
    simulated_drains: int
    seeds: int  # of the simulated service


FULL = Plan(
    drains=8,
    load_runs=3,
    simulated_sizes=((21, 30), (200, 270), (1000, 1000)),
    simulated_drains=5,
    seeds=5,
)
QUICK = Plan(
    drains=3, load_runs=1, simulated_sizes=((21, 30), (200, 270)), simulated_drains=3, seeds=2
)


def main() -> None:
    """Run all parts."""
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.fleet",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--quick", action="store_true", help="fewer drains and seeds, no 1,000")
    plan = QUICK if parser.parse_args().quick else FULL
    result = {
        "real": real_node_figures(plan.drains),
        "under_load": load_figures(plan.load_runs),
        "world": [
            dissemination_figures(nodes, servers, loss, plan.simulated_drains)
            for nodes, servers in plan.simulated_sizes
            for loss in LOSSES
        ],
        "service": service_figures(plan.seeds),
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
