"""Backoff of polls of the list service: timeouts of calls, and pauses after failures.

The retries of a fleet must not keep the service busy with calls that have already been given up.
There are two cases:

- A node without a list can't forward any request, so the limits of `poll_timing.py` don't apply.
  It waits for the service's own answer or rejection, and gives a call up only after
  FIRST_LIST_TIMEOUT_NS.
- For a node with a list those limits apply, until it suspects an overload. It does so after
  OVERLOAD_FAILURES consecutive failures of the kinds that too many callers cause (a rejection after
  a wait, or no answer in time). Then it also waits for the service's own answer, until an answer
  comes within EXPECTED_ANSWER_NS. It never suspects an overload if the complete lists of all nodes
  together have no more lines than MIN_LINES_PER_S allows in EXPECTED_ANSWER_NS, as the service
  could have answered all of them in time.

While a call waits longer than ANSWER_TIMEOUT_NS, the host opens a connection from time to time and
closes it again (`probe_interval`). This shows whether the service can't be reached or is only slow.
Such a probe requests nothing, so it costs the service no work.

Pauses after failures are drawn uniformly from 0 to a bound (full jitter). With N callers, a bound
of 2 * N / FLEET_CALLS_PER_S seconds gives FLEET_CALLS_PER_S calls per second of all callers, which
is less than MIN_LINES_PER_S (a call costs at least one line). A service that refused a call at once
has done no work, so in this case the bound starts at MAX_PAUSE_NS and is doubled each time; for a
node with a list it stays so short that the node has a change MAX_NOTIFICATION_NS after the service
is back.

Sources: full jitter and capped exponential backoff follow "Exponential Backoff And Jitter" (AWS
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

OVERLOAD_FAILURES = 2  # an overload is suspected from this number of consecutive failures
QUICK_FAILURES = 2  # a node with a list retries its first consecutive failures without backoff
MIN_LINES_PER_S = 200  # rate of the slowest list service that the bounds are designed for
FLEET_CALLS_PER_S = 125  # rate of the calls of all callers together after failures
QUEUED_AFTER_NS = SECOND  # a call rejected no sooner had waited in the service's queue
# The timeout of a call for the first list is doubled with each consecutive call that timed out.
FIRST_LIST_TIMEOUT_NS = 30 * SECOND
MAX_TIMEOUT_DOUBLINGS = 4
MAX_PAUSE_DOUBLINGS = 16
FIRST_LIST_PAUSE_NS = 2 * SECOND  # maximum pause of a node without a list in a small fleet
PAUSE_MARGIN_NS = 500 * MS  # safety margin of a pause that has to fit into MAX_NOTIFICATION_NS
MIN_PROBE_INTERVAL_NS = SECOND
ASSUMED_READERS = 2  # assumed number of callers if list readers poll for all nodes


class PollFailure(Enum):
    """How a call that gave no usable list has ended."""

    UNREACHABLE = auto()  # no connection, or refused or reset at once
    REJECTED = auto()  # refused or reset after a wait
    TIMED_OUT = auto()  # connected, but no answer within the call's timeout
    UNUSABLE = auto()  # answered with a list that can't be used


def classify_failure(elapsed: int, limit: int, connected: bool, answered: bool) -> PollFailure:
    """Classify a failed call; `elapsed` and its timeout `limit` are in ns.

    `connected` is whether its connection was accepted, `answered` whether an answer came.
    """
    if answered:
        return PollFailure.UNUSABLE
    if not connected:
        return PollFailure.UNREACHABLE
    if elapsed >= limit:
        return PollFailure.TIMED_OUT
    return PollFailure.REJECTED if elapsed >= QUEUED_AFTER_NS else PollFailure.UNREACHABLE


def fleet_pause_bound(callers: int) -> int:
    """The pause bound, ns, at which `callers` nodes together make FLEET_CALLS_PER_S calls."""
    return 2 * callers * SECOND // FLEET_CALLS_PER_S


class PollBackoff:
    """The timeouts and pauses of one node's polls, from its consecutive failures.

    No I/O and no clock; pauses are drawn from `random`.
    """

    __slots__ = (
        "_callers", "_consecutive_timeouts", "_has_list_readers", "_overload_failures", "_random",
        "_timings", "failures", "protects_service",
    )  # fmt: skip

    def __init__(self, settings: Settings, random: Random) -> None:
        self._random = random
        self._has_list_readers = False
        self.configure(settings)
        self.reset()

    def configure(self, settings: Settings) -> None:
        """Use other settings from now on."""
        self._timings = poll_timings(settings)
        self._callers = settings.nodes
        # An agent on the node's own machine needs no protection: it answers at no cost.
        self.protects_service = settings.poll

    def use_list_readers(self) -> None:
        """Make no pauses: list readers limit the calls of the fleet (`list_readers.py`)."""
        self._has_list_readers = True

    def reset(self) -> None:
        """Forget all failures, as another list service is polled from now on."""
        self.failures = 0
        self._overload_failures = 0  # consecutive failures of kinds that an overload may cause
        self._consecutive_timeouts = 0

    def suspects_overload(self, rows: int) -> bool:
        """Whether an overload may have caused the failures; `rows` is the length of the list."""
        lines_in_time = MIN_LINES_PER_S * EXPECTED_ANSWER_NS
        in_time = self._active_callers() * rows * SECOND <= lines_in_time
        return (
            self.protects_service and self._overload_failures >= OVERLOAD_FAILURES and not in_time
        )

    def answer_timeout(self, rows: int) -> int:
        """How long an answer may take, ns; `rows` is the length of the list, 0 without one."""
        if not self.protects_service or (rows and not self.suspects_overload(rows)):
            return self._timings.answer_timeout
        return FIRST_LIST_TIMEOUT_NS << min(self._consecutive_timeouts, MAX_TIMEOUT_DOUBLINGS)

    def probe_interval(self) -> int:
        """The time between two probes during a call that waits longer than usual, ns."""
        return max(MIN_PROBE_INTERVAL_NS, fleet_pause_bound(self._active_callers()) // 2)

    def on_answer(self, elapsed: int) -> None:
        """Process a usable answer after `elapsed` ns: a list, or that nothing has changed."""
        self.failures = self._consecutive_timeouts = 0
        if elapsed <= EXPECTED_ANSWER_NS:
            self._overload_failures = 0

    def on_failure(self, failure: PollFailure, elapsed: int, rows: int) -> int:
        """Count a call that failed after `elapsed` ns; returns the least pause until the next."""
        self.failures += 1
        if failure in (PollFailure.REJECTED, PollFailure.TIMED_OUT):
            self._overload_failures += 1
        if failure == PollFailure.TIMED_OUT and elapsed >= FIRST_LIST_TIMEOUT_NS:
            self._consecutive_timeouts += 1
        if not self.protects_service or self._has_list_readers:
            return 0
        if rows:
            bound = self._bound_with_list(failure, elapsed, rows)
        else:
            bound = self._bound_without_list(failure)
        return self._random.randrange(bound + 1)

    def _bound_with_list(self, failure: PollFailure, elapsed: int, rows: int) -> int:
        """The bound of a pause, ns, for a node with a list; 0 for the host's usual pause."""
        if failure == PollFailure.UNUSABLE or self.failures <= QUICK_FAILURES:
            return 0
        fleet_bound = max(MAX_PAUSE_NS, fleet_pause_bound(self._callers))
        if failure == PollFailure.UNREACHABLE:
            remaining = MAX_NOTIFICATION_NS - EXPECTED_ANSWER_NS - PAUSE_MARGIN_NS - elapsed
            doubled = _doubled(MAX_PAUSE_NS, self.failures - QUICK_FAILURES)
            return min(doubled, fleet_bound, max(MAX_PAUSE_NS, remaining))
        return fleet_bound if self.suspects_overload(rows) else 0

    def _bound_without_list(self, failure: PollFailure) -> int:
        """The bound of a pause, ns, for a node without a list."""
        fleet_bound = fleet_pause_bound(self._callers)
        was_queued = failure in (PollFailure.REJECTED, PollFailure.TIMED_OUT)
        first_bound = max(MAX_PAUSE_NS, fleet_bound) if was_queued else MAX_PAUSE_NS
        return min(_doubled(first_bound, self.failures - 1), max(FIRST_LIST_PAUSE_NS, fleet_bound))

    def _active_callers(self) -> int:
        """How many nodes call the service."""
        return ASSUMED_READERS if self._has_list_readers else self._callers


def _doubled(first_bound: int, times: int) -> int:
    return first_bound << min(times, MAX_PAUSE_DOUBLINGS)
