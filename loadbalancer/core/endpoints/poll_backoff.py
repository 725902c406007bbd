"""Polls of the list service after failures: timeouts of calls, and pauses between them.

The retries of a fleet must not keep the service busy with calls that have been given up
already. Two cases are distinguished:

- Without a list a node can send nothing, and no limit of `poll_timing.py` applies: it waits for
  the service's own answer or refusal, and gives a call up only after FIRST_LIST_TIMEOUT_NS.
- With a list those limits apply. After OVERLOAD_FAILURES consecutive failures that a service with
  too many callers may give (a refusal after a wait, no answer in time) an overload is suspected:
  then the node waits for the service's own answer too. The suspicion ends with an answer within
  EXPECTED_ANSWER_NS. It never begins where the complete lists of all nodes together are no more
  lines than MIN_LINES_PER_S gives in EXPECTED_ANSWER_NS, as these could have been answered.

While a call waits longer than ANSWER_TIMEOUT_NS the host opens a connection now and then and
closes it again (`probe_interval`): this shows a service that is cut off, and not slow. Such a
probe requests nothing and is no work.

Pauses after failures are drawn evenly from 0 to a bound (full jitter). With N callers a bound of
2 * N / FLEET_CALLS_PER_S means FLEET_CALLS_PER_S of all of them, which is less than
MIN_LINES_PER_S: a call costs a line at least. A service that refused at once has done no work:
there the bound grows from MAX_PAUSE_NS on, twofold each time, and for a node with a list only as
far as a change is still in hand MAX_NOTIFICATION_NS after the service is back.

Source: full jitter and capped exponential backoff as in "Exponential Backoff And Jitter" (AWS
Architecture Blog, 2015); a retry storm that outlives its cause is a metastable failure (Bronson
et al., HotOS 2021).
"""

from __future__ import annotations

from enum import Enum, auto
from random import Random

from loadbalancer.core.balancing.model import MS, SECOND, Settings
from loadbalancer.core.endpoints.poll_timing import (
    EXPECTED_ANSWER_NS,
    MAX_NOTIFICATION_NS,
    MAX_PAUSE_NS,
    poll_timings,
)

OVERLOAD_FAILURES = 2  # consecutive failures from which on an overload is suspected
QUICK_FAILURES = 2  # consecutive failures after which a node with a list begins to back off
MIN_LINES_PER_S = 200  # of the slowest list service that is planned for
FLEET_CALLS_PER_S = 125  # of all callers together after failures
QUEUED_AFTER_NS = SECOND  # a refusal that took so long had waited in the service's queue
FIRST_LIST_TIMEOUT_NS = 30 * SECOND  # doubled with each consecutive call that was given up
MAX_TIMEOUT_DOUBLINGS = 4
MAX_PAUSE_DOUBLINGS = 16
FIRST_LIST_PAUSE_NS = 2 * SECOND  # bound of a pause of a node without a list, in a small fleet
PAUSE_MARGIN_NS = 500 * MS  # of a pause that has to fit into MAX_NOTIFICATION_NS
MIN_PROBE_INTERVAL_NS = SECOND
READERS = 2  # callers assumed where list readers poll for all nodes


class PollFailure(Enum):
    """How a call ended that gave no list."""

    UNREACHABLE = auto()  # refused at once, reset at once, or no connection
    REJECTED = auto()  # refused or reset after a wait
    TIMED_OUT = auto()  # accepted, and no answer within the call's limit
    UNUSABLE = auto()  # answered with a list that can't be used


def classify_failure(elapsed: int, limit: int, connected: bool, answered: bool) -> PollFailure:
    """What a failed call shows of the service; spans in ns."""
    if answered:
        return PollFailure.UNUSABLE
    if not connected:
        return PollFailure.UNREACHABLE
    if elapsed >= limit:
        return PollFailure.TIMED_OUT
    return PollFailure.REJECTED if elapsed >= QUEUED_AFTER_NS else PollFailure.UNREACHABLE


def fleet_pause_bound(callers: int) -> int:
    """The bound of a pause, ns, with which so many callers make FLEET_CALLS_PER_S calls."""
    return 2 * callers * SECOND // FLEET_CALLS_PER_S


class PollBackoff:
    """One node's consecutive failures, and its timeouts and pauses. No I/O; seeded random."""

    __slots__ = (
        "_callers", "_overload_failures", "_random", "_has_list_readers", "_timed_out", "_timings",
        "failures", "paced",
    )  # fmt: skip

    def __init__(self, settings: Settings, random: Random) -> None:
        self._random = random
        self._has_list_readers = False
        self.configure(settings)
        self.reset()

    def configure(self, settings: Settings) -> None:
        """Use other settings from here on."""
        self._timings = poll_timings(settings)
        self._callers = settings.nodes
        self.paced = settings.poll  # an agent on the node's own machine answers at no cost

    def use_list_readers(self) -> None:
        """The fleet has list readers, which pace their calls themselves (`list_readers.py`)."""
        self._has_list_readers = True

    def reset(self) -> None:
        """Forget all failures: another list service is polled from now on."""
        self.failures = 0
        self._overload_failures = 0  # consecutive failures that too many callers may cause
        self._timed_out = 0

    def suspects_overload(self, rows: int) -> bool:
        """Whether the failures may come from an overload, with so many rows in the list."""
        lines_in_time = MIN_LINES_PER_S * EXPECTED_ANSWER_NS
        in_time = self._active_callers() * rows * SECOND <= lines_in_time
        return self.paced and self._overload_failures >= OVERLOAD_FAILURES and not in_time

    def answer_timeout(self, rows: int) -> int:
        """How long an answer may take, ns; `rows` of this node's list, 0 for none."""
        if not self.paced or (rows and not self.suspects_overload(rows)):
            return self._timings.answer_timeout
        return FIRST_LIST_TIMEOUT_NS << min(self._timed_out, MAX_TIMEOUT_DOUBLINGS)

    def probe_interval(self) -> int:
        """Between two probes of a call that waits longer than usual, ns."""
        return max(MIN_PROBE_INTERVAL_NS, fleet_pause_bound(self._active_callers()) // 2)

    def on_answer(self, elapsed: int) -> None:
        """A list, or the answer that nothing has changed, came after so many ns."""
        self.failures = self._timed_out = 0
        if elapsed <= EXPECTED_ANSWER_NS:
            self._overload_failures = 0

    def on_failure(self, failure: PollFailure, elapsed: int, rows: int) -> int:
        """Count a failed call that took so many ns; the least pause until the next one, ns."""
        self.failures += 1
        if failure in (PollFailure.REJECTED, PollFailure.TIMED_OUT):
            self._overload_failures += 1
        if failure == PollFailure.TIMED_OUT and elapsed >= FIRST_LIST_TIMEOUT_NS:
            self._timed_out += 1
        if not self.paced or self._has_list_readers:
            return 0
        if rows:
            bound = self._bound_with_list(failure, elapsed, rows)
        else:
            bound = self._bound_without_list(failure)
        return self._random.randrange(bound + 1)

    def _bound_with_list(self, failure: PollFailure, elapsed: int, rows: int) -> int:
        """The bound of a pause, ns, of a node with a list; 0 for the host's usual pause."""
        if failure == PollFailure.UNUSABLE or self.failures <= QUICK_FAILURES:
            return 0
        fleet = max(MAX_PAUSE_NS, fleet_pause_bound(self._callers))
        if failure == PollFailure.UNREACHABLE:
            remaining = MAX_NOTIFICATION_NS - EXPECTED_ANSWER_NS - PAUSE_MARGIN_NS - elapsed
            doubled = _doubled(MAX_PAUSE_NS, self.failures - QUICK_FAILURES)
            return min(doubled, fleet, max(MAX_PAUSE_NS, remaining))
        return fleet if self.suspects_overload(rows) else 0

    def _bound_without_list(self, failure: PollFailure) -> int:
        """The bound of a pause, ns, of a node without a list."""
        fleet = fleet_pause_bound(self._callers)
        waited = failure in (PollFailure.REJECTED, PollFailure.TIMED_OUT)
        first = max(MAX_PAUSE_NS, fleet) if waited else MAX_PAUSE_NS
        return min(_doubled(first, self.failures - 1), max(FIRST_LIST_PAUSE_NS, fleet))

    def _active_callers(self) -> int:
        """How many nodes call the service."""
        return READERS if self._has_list_readers else self._callers


def _doubled(first: int, times: int) -> int:
    return first << min(times, MAX_PAUSE_DOUBLINGS)
