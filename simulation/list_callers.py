"""Callers of one list service and nothing else: what a whole fleet's calls come to.

Each caller goes by the product's own `PollBackoff` and asks the pauses of a Balancer beside it; the
service works through calls in turn, so many lines a second, turns away who has waited too long,
and works on for callers that have given up. Thousands of callers in seconds of real time, which
`simulation/list_world` with its complete nodes is too slow for.

    python -m simulation.list_callers --seeds 100  # all cores; each seed that fails as a command
    python -m simulation.list_callers --seed 17            # one again
    python -m simulation.list_callers --digest --seeds 20  # a digest of each seed's run

Drawn from each seed: how many callers, their lines, and what is wrong with the service.
"""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random

from loadbalancer.core import RequestClass, Settings
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.endpoints.poll_backoff import QUICK_FAILURES, PollBackoff, classify_failure
from loadbalancer.core.endpoints.poll_timing import CONNECT_TIMEOUT_NS, MAX_PAUSE_NS, MIN_PAUSE_NS
from simulation.digest import Digest
from simulation.seeds import run

CLASS = RequestClass("balance", 800 * MS, 2 * SECOND)
TRIP = MS
SPREAD = 2500 * MS  # of first calls, as the settings' usual time for asking has it


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """How the service behaves; times in ns from the start on."""

    lines: float = 200.0  # a second
    patience: int = 5 * SECOND
    refuses_until: int = 0  # down: each call is refused at once
    silent_until: int = 0  # cut off: no connection comes up


class CallWorld:
    """Nodes that all begin with `rows` in hand and need `lines` lines each."""

    def __init__(
        self, nodes: int, rows: int, lines: int, plan: ServicePlan, spread: int, seed: int = 1,
        digest: Digest | None = None,
    ) -> None:  # fmt: skip
        self.now = 0
        self.digest = digest  # takes all that is called, answered and decided
        self.plan, self.rows, self.lines = plan, rows, lines
        self.random = Random(seed)
        settings = Settings((CLASS,), nodes=nodes, poll=True)
        self.callers = [PollBackoff(settings, Random(seed * 1_000_003 + n)) for n in range(nodes)]
        self.done_at: dict[int, int] = {}
        self.calls: Counter[int] = Counter()  # by second
        self.counts: Counter[str] = Counter()
        self._number = [0] * nodes
        self._free = 0
        self._order = 0
        self._events: list[tuple[int, int, Callable[..., None], tuple[int, ...]]] = []
        for node in range(nodes):
            self._later(self.random.randrange(spread + 1), self._ask, node)

    def run(self, until: int) -> bool:
        """Go on until all have their list (True) or until then."""
        while self._events and len(self.done_at) < len(self.callers):
            due, _, action, arguments = heappop(self._events)
            if due > until:
                return False
            self.now = due
            action(*arguments)
        return len(self.done_at) == len(self.callers)

    def last(self) -> float:
        """Seconds until the last that has its list had it."""
        return max(self.done_at.values()) / SECOND

    def _later(self, due: int, action: Callable[..., None], *arguments: int) -> None:
        self._order += 1
        heappush(self._events, (due, self._order, action, arguments))

    def _ask(self, node: int) -> None:
        self._number[node] += 1
        number, began = self._number[node], self.now
        self.calls[began // SECOND] += 1
        self.counts["calls"] += 1
        limit = self.callers[node].answer_timeout(self.rows)
        if self.digest is not None:
            self.digest.add(began, node, number, limit)
        plan = self.plan
        if began < plan.silent_until:
            self._later(began + CONNECT_TIMEOUT_NS, self._failed, node, number, began, limit, False)
            return
        if began < plan.refuses_until:
            self._later(began + TRIP, self._failed, node, number, began, limit, True)
            return
        self._later(began + limit, self._failed, node, number, began, limit, True)
        begin = max(self._free, began)
        if begin - began > plan.patience:
            self.counts["turned away"] += 1
            due = began + plan.patience
            self._later(due, self._failed, node, number, began, limit, True)
            return
        self._free = begin + int(self.lines * SECOND / plan.lines)
        self.counts["lines"] += self.lines
        self._later(self._free + TRIP, self._answered, node, number, began)

    def _answered(self, node: int, number: int, began: int) -> None:
        if number != self._number[node]:
            self.counts["lines for nobody"] += self.lines
            return
        self._number[node] += 1
        self.callers[node].on_answer(self.now - began)
        self.done_at[node] = self.now
        if self.digest is not None:
            self.digest.add(self.now, node, number)

    def _failed(self, node: int, number: int, began: int, limit: int, connected: bool) -> None:
        if number != self._number[node]:
            return
        self._number[node] += 1  # whatever still comes is for nobody
        took = self.now - began
        failure = classify_failure(took, limit, connected, False)
        pause = self.callers[node].on_failure(failure, took, self.rows)
        host = self.random.randint(MIN_PAUSE_NS, MAX_PAUSE_NS)
        if self.digest is not None:
            self.digest.add(self.now, node, number, took, connected, pause, host)
        self._later(self.now + max(pause, host), self._ask, node)


def play(seed: int, digest: Digest | None = None) -> list[str]:
    """One seed's breaches; what is called, answered and decided goes into `digest`."""
    draw = Random(seed)
    nodes, lines = draw.randint(40, 200), draw.randint(100, 270)
    trouble = draw.randrange(5 * SECOND, 20 * SECOND)
    plan = draw.choice(
        [
            ServicePlan(),
            ServicePlan(patience=3 * SECOND),
            ServicePlan(refuses_until=trouble),
            ServicePlan(silent_until=trouble),
            ServicePlan(lines=20),
        ]
    )
    rows = draw.choice([0, lines])
    world = CallWorld(nodes, rows, lines, plan, SPREAD, seed, digest)
    needed = nodes * lines / plan.lines
    # With an old list the quick first rounds are given up: what the queue took in comes on top.
    wasted = QUICK_FAILURES * (plan.patience / SECOND + 2) if rows else 0.0
    back = max(plan.refuses_until, plan.silent_until) / SECOND
    within = back + 1.1 * needed + wasted
    if not world.run(int(within * SECOND)):
        missing = nodes - len(world.done_at)
        return [f"{missing} of {nodes} callers have no list after {within:.0f} s"]
    return []


def digest_of(seed: int) -> str:
    """The digest of one seed's run."""
    digest = Digest()
    play(seed, digest)
    return digest.value()


def main() -> int:
    """0 where no seed breaks a rule, 1 where one does."""
    return run(__doc__, "simulation.list_callers", play, 100, None, digest_of)


if __name__ == "__main__":
    sys.exit(main())
