"""Runs of a complete fleet's calls to one list service, drawn from a seed.

    python -m simulation.list_callers --seeds 100  # all cores; each seed that fails as a command
    python -m simulation.list_callers --seed 17            # one again
    python -m simulation.list_callers --digest --seeds 20  # a digest of each seed's run

Drawn from each seed: how many callers, their lines, and what is wrong with the service. Every
caller must have its list in little more time than the service needs for all lines.
"""

from __future__ import annotations

import sys
from random import Random

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.endpoints.poll_backoff import QUICK_FAILURES
from simulation.caller_world import CallersPlan, CallerWorld, ListServicePlan
from simulation.digest import Digest
from simulation.seeds import SeededWorld

SEEDS = 100
TOLERATED_TIME = 1.1  # times what the service needs for all lines
# A call that is given up may have waited for so much longer than its place in the queue.
GIVEN_UP_MARGIN_S = 2


def run_seed(seed: int, digest: Digest | None = None) -> list[str]:
    """Run one seed; returns the breaches. All that is called and decided goes into `digest`."""
    draw = Random(seed)
    nodes, lines = draw.randint(40, 200), draw.randint(100, 270)
    service = _draw_service(draw)
    callers = CallersPlan(nodes, lines, known_rows=draw.choice([0, lines]))
    world = CallerWorld(callers, service, seed, digest)
    within_s = _expected_seconds(callers, service)
    if world.run(int(within_s * SECOND)):
        return []
    missing = nodes - len(world.done_at)
    return [f"{missing} of {nodes} callers have no list after {within_s:.0f} s"]


def _draw_service(draw: Random) -> ListServicePlan:
    outage_end = draw.randrange(5 * SECOND, 20 * SECOND)
    return draw.choice(
        [
            ListServicePlan(),
            ListServicePlan(max_queue_time=3 * SECOND),
            ListServicePlan(rejects_until=outage_end),
            ListServicePlan(unreachable_until=outage_end),
            ListServicePlan(lines_per_s=20),
        ]
    )


def _expected_seconds(callers: CallersPlan, service: ListServicePlan) -> float:
    """Within how many seconds every caller must have its list."""
    needed = callers.nodes * callers.lines / service.lines_per_s
    # With an old list the quick first rounds are given up: their lines are written all the same.
    queue_time = service.max_queue_time / SECOND + GIVEN_UP_MARGIN_S
    wasted = QUICK_FAILURES * queue_time if callers.known_rows else 0.0
    available_at = max(service.rejects_until, service.unreachable_until) / SECOND
    return available_at + TOLERATED_TIME * needed + wasted


def digest_of(seed: int) -> str:
    """The digest of one seed's run."""
    digest = Digest()
    run_seed(seed, digest)
    return digest.value()


WORLD = SeededWorld("simulation.list_callers", __doc__, SEEDS, run_seed, digest_of)


if __name__ == "__main__":
    sys.exit(WORLD.main())
