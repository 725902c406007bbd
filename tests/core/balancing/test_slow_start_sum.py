"""A cold server's budget holds for the sum of what all nodes send it, however uneven they are.

Many Balancers without a word between them send to servers of which some have just started.
Each window of the settings' length is counted against N + 2 x root of N + 2, where N is what
the settings allow the server in it: multiple x present capacity x window, in mean requests.
"""

from __future__ import annotations

import pytest

from loadbalancer.core.balancing.model import MS, SECOND
from tests.many_nodes import World


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("nodes", "servers"), [(2, 10), (20, 16), (30, 16), (200, 60)])
@pytest.mark.parametrize("load", [0.4, 0.9])
def test_the_sum_of_all_nodes_stays_within_a_cold_servers_budget(
    nodes: int, servers: int, load: float, seed: int
) -> None:
    world = World(nodes, servers, load, seed)
    world.run(3 * SECOND)
    for begin in range(0, servers // 2, max(servers // 6, 1)):  # half are replaced, in steps
        world.restart(list(range(begin, min(begin + servers // 6, servers // 2))), SECOND)
        world.run(1500 * MS)
    world.run(3 * SECOND)
    assert world.worst() <= 1.0
