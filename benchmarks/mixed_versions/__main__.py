"""Whether two versions of the program run side by side: nodes over gossip, and one control group.

    python -m benchmarks.mixed_versions OLD_CHECKOUT NEW_CHECKOUT

Each checkout is built, and its processes are started as its own `deploy/balancer.toml` says (a
control machine by the same program's `scale` sub-command). Everything is on loopback and ends by
itself. Prints one JSON line; exit status 1 if one of these does not hold:

- gossip: six nodes, every other one of each version, take one another for alive; after one of
  each version is killed the other four agree on that; every node answers requests with 200;
- control group: of three machines, two of one version, one leads and all follow its log; a change
  is accepted before and after the leader is killed, and is in the log of each that is left. Once
  with two machines of the old version, once with two of the new one.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from benchmarks.mixed_versions.checkout import Checkout, read_checkout
from benchmarks.mixed_versions.control_group import check_control_group
from benchmarks.mixed_versions.gossip import check_gossip


class Scenario(NamedTuple):
    """One check, with the versions of its processes in turn."""

    name: str
    check: Callable[[Sequence[Checkout], Path], dict[str, Any]]
    versions: Sequence[Checkout]


def main() -> int:
    """Run all scenarios; return 0 if everything holds, otherwise 1."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("old", type=read_checkout, help="folder of the older version, built")
    parser.add_argument("new", type=read_checkout, help="folder of the newer version, built")
    arguments = parser.parse_args()
    old, new = arguments.old, arguments.new
    results: dict[str, dict[str, Any]] = {}
    with tempfile.TemporaryDirectory() as folder:
        for scenario in (
            Scenario("gossip", check_gossip, (old, new)),
            Scenario("control group, two old", check_control_group, (old, new, old)),
            Scenario("control group, two new", check_control_group, (new, old, new)),
        ):
            scenario_folder = Path(folder) / scenario.name.replace(" ", "-").replace(",", "")
            scenario_folder.mkdir()
            results[scenario.name] = scenario.check(scenario.versions, scenario_folder)
    print(json.dumps(results))
    return 0 if all(result["ok"] for result in results.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
