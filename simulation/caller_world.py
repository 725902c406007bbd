"""Callers of one list service and nothing else: the sum of a fleet's calls.

Each caller goes by the product's own `PollBackoff`, and by the pauses of a Balancer beside it. The
service works through calls in turn, so many lines a second, rejects what has waited too long, and
works on for callers that have given up. Thousands of callers take seconds of real time, for which
`simulation.list_world` with its complete nodes is too slow.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import NamedTuple

from loadbalancer.core import RequestClass, Settings
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.endpoints.poll_backoff import PollBackoff, classify_failure
from loadbalancer.core.endpoints.poll_timing import CONNECT_TIMEOUT_NS, MAX_PAUSE_NS, MIN_PAUSE_NS
from simulation.digest import Digest
from simulation.event_queue import EventQueue

REQUEST_CLASS = RequestClass("balance", 800 * MS, 2 * SECOND)
ROUND_TRIP = MS  # to the service and back
FIRST_CALLS_WITHIN = 2500 * MS  # as in the settings' default
BACKOFF_SEED_FACTOR = 1_000_003  # keeps the callers' seeds of two worlds apart


class CallCount(StrEnum):
    """The keys of the world's counters."""

    CALLS = "calls"
    REJECTED = "turned away"
    LINES = "lines"
    WASTED_LINES = "lines for nobody"  # of answers to calls that had been given up


@dataclass(frozen=True, slots=True)
class ListServicePlan:
    """How the service behaves; times in nanoseconds from the start on."""

    lines_per_s: float = 200.0
    max_queue_time: int = 5 * SECOND
    rejects_until: int = 0  # it is down, and each call is rejected at once
    unreachable_until: int = 0  # no connection to it is established


@dataclass(frozen=True, slots=True)
class CallersPlan:
    """The callers: how many rows each has at its start, and how many lines each needs."""

    nodes: int
    lines: int
    known_rows: int = 0


class Call(NamedTuple):
    """A caller's call; a caller's numbers increase with each call, answer and failure."""

    node: int
    number: int
    began_at: int
    timeout: int


class CallerWorld(EventQueue):
    """All begin within FIRST_CALLS_WITHIN, and call until each has its list."""

    def __init__(
        self,
        callers: CallersPlan,
        service: ListServicePlan,
        seed: int = 1,
        digest: Digest | None = None,
    ) -> None:
        """All that is called, answered and decided goes into `digest`."""
        super().__init__()
        self.done_at: dict[int, int] = {}  # by node, when it had its list
        self.calls_by_second: Counter[int] = Counter()
        self.counts: Counter[str] = Counter()  # by `CallCount`
        self._digest = digest
        self._plan = callers
        self._service = service
        self._random = Random(seed)
        settings = Settings((REQUEST_CLASS,), nodes=callers.nodes, poll=True)
        self._backoffs = [
            PollBackoff(settings, Random(seed * BACKOFF_SEED_FACTOR + node))
            for node in range(callers.nodes)
        ]
        self._numbers = [0] * callers.nodes
        self._free_at = 0  # when the service has answered all calls in its queue
        for node in range(callers.nodes):
            self.call_at(self._random.randrange(FIRST_CALLS_WITHIN + 1), self._call, node)

    def run(self, until: int) -> bool:
        """Run until every caller has its list, or to the time `until`; returns whether all have."""
        while not self._all_done() and self.run_next(until):
            pass
        return self._all_done()

    def _all_done(self) -> bool:
        return len(self.done_at) == self._plan.nodes

    def _call(self, node: int) -> None:
        self._numbers[node] += 1
        self.calls_by_second[self.now // SECOND] += 1
        self.counts[CallCount.CALLS] += 1
        timeout = self._backoffs[node].answer_timeout(self._plan.known_rows)
        call = Call(node, self._numbers[node], self.now, timeout)
        self._record(node, call.number, timeout)
        if self.now < self._service.unreachable_until:
            self.call_at(self.now + CONNECT_TIMEOUT_NS, self._on_failure, call, False)
        elif self.now < self._service.rejects_until:
            self.call_at(self.now + ROUND_TRIP, self._on_failure, call, True)
        else:
            self.call_at(self.now + timeout, self._on_failure, call, True)
            self._serve(call)

    def _serve(self, call: Call) -> None:
        """Queue a call's answer, or reject it after the longest time that a call may wait."""
        service = self._service
        begins_at = max(self._free_at, self.now)
        if begins_at - self.now > service.max_queue_time:
            self.counts[CallCount.REJECTED] += 1
            self.call_at(self.now + service.max_queue_time, self._on_failure, call, True)
            return
        self._free_at = begins_at + int(self._plan.lines * SECOND / service.lines_per_s)
        self.counts[CallCount.LINES] += self._plan.lines
        self.call_at(self._free_at + ROUND_TRIP, self._on_answer, call)

    def _on_answer(self, call: Call) -> None:
        if call.number != self._numbers[call.node]:
            self.counts[CallCount.WASTED_LINES] += self._plan.lines
            return
        self._numbers[call.node] += 1
        self._backoffs[call.node].on_answer(self.now - call.began_at)
        self.done_at[call.node] = self.now
        self._record(call.node, call.number)

    def _on_failure(self, call: Call, is_connected: bool) -> None:
        """Call again after the longer of the backoff's and the Balancer's pause."""
        node = call.node
        if call.number != self._numbers[node]:
            return
        self._numbers[node] += 1  # an answer that still arrives is late
        elapsed = self.now - call.began_at
        failure = classify_failure(elapsed, call.timeout, is_connected, False)
        pause = self._backoffs[node].on_failure(failure, elapsed, self._plan.known_rows)
        balancer_pause = self._random.randint(MIN_PAUSE_NS, MAX_PAUSE_NS)
        self._record(node, call.number, elapsed, is_connected, pause, balancer_pause)
        self.call_at(self.now + max(pause, balancer_pause), self._call, node)

    def _record(self, *values: object) -> None:
        if self._digest is not None:
            self._digest.add(self.now, *values)
