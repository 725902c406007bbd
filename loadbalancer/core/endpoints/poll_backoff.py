"""A caller of the list service: how long its call may wait, and when the next one may begin.

Retries of a whole fleet must not keep the service busy with calls that nobody waits for any
more. Two cases are told apart:

- Without a list a node can send nothing, and no term binds it: it waits for the service's own
  word, an answer or a refusal, and gives a call up only after PATIENT.
- With a list the terms of `asking.py` hold. After SUSPECT failures in a row that a service with
  too many callers may give (a refusal after a wait, no answer in time) its load is suspected:
  then the node waits for the service's own word too. The suspicion ends with an answer within
  ANSWER_AIM. It never begins where all nodes' whole lists together are LEAST_LINES * ANSWER_AIM
  lines or fewer, as these could have been answered in time.

While a call waits longer than ANSWER the host opens a connection now and then and closes it
again (`probe_every`): a service that is cut off, and not slow, shows by that. Such a probe asks
for nothing and is no work.

Pauses after failures are drawn evenly from 0 to a bound (full jitter). With N callers a bound of
2 * N / FLEET_CALLS means FLEET_CALLS a second of all of them, which is less than LEAST_LINES:
a call costs a line at least. A service that refused at once has done no work: there the bound
grows from PAUSE_MOST on, twofold each time, and for a node with a list only as far as a change
is still in hand TOLD after the service is back.

Source: full jitter and capped exponential back-off as in "Exponential Backoff And Jitter" (AWS
Architecture Blog, 2015); a retry storm that outlives its cause is a metastable failure (Bronson
et al., HotOS 2021).
"""

from __future__ import annotations

from enum import Enum, auto
from random import Random

from loadbalancer.core.balancing.model import MS, SECOND, Settings
from loadbalancer.core.endpoints.poll_timing import ANSWER_AIM, PAUSE_MOST, TOLD, terms

SUSPECT = 2  # failures in a row, from which on the service's load is suspected
QUICK = 2  # failures in a row that a node with a list answers with the shortest pauses
LEAST_LINES = 200  # a second: what the slowest list service that is planned for gives
FLEET_CALLS = 125  # a second: what all callers may ask after failures
BUSY_AFTER = SECOND  # a refusal that took so long had waited in the service's queue
PATIENT = 30 * SECOND  # for the service's own word; doubled with each call given up in a row
PATIENT_DOUBLINGS = 4
WITHOUT_LIST = 2 * SECOND  # bound of a pause of a node without a list, in a small fleet
SLACK = 500 * MS  # of a pause that has to fit into TOLD
PROBE_LEAST = SECOND
READERS = 2  # callers, where a few nodes read the list for all


class Failure(Enum):
    """How a call ended that gave no list."""

    UNREACHED = auto()  # refused at once, reset at once, or no connection came up
    TURNED_AWAY = auto()  # refused or reset after a wait
    GIVEN_UP = auto()  # taken up, and no word within the call's limit
    UNUSABLE = auto()  # answered with what can't be gone by


def failure_of(took: int, limit: int, connected: bool, answered: bool) -> Failure:
    """What a failed call says of the service; spans in ns."""
    if answered:
        return Failure.UNUSABLE
    if not connected:
        return Failure.UNREACHED
    if took >= limit:
        return Failure.GIVEN_UP
    return Failure.TURNED_AWAY if took >= BUSY_AFTER else Failure.UNREACHED


def fleet_bound(callers: int) -> int:
    """The bound of a pause in ns with which so many callers ask FLEET_CALLS times a second."""
    return 2 * callers * SECOND // FLEET_CALLS


class Caller:
    """One node's calls: failures in a row, and what follows from them. Pure; seeded."""

    __slots__ = ("_callers", "_given_up", "_loaded", "_random", "_shared", "_terms", "failures",
                 "paced")  # fmt: skip

    def __init__(self, settings: Settings, random: Random) -> None:
        self._random = random
        self._shared = False
        self.go_by(settings)
        self.reset()

    def go_by(self, settings: Settings) -> None:
        """Other settings from here on."""
        self._terms = terms(settings)
        self._callers = settings.nodes
        self.paced = settings.poll  # an agent on the node's own machine answers at no cost

    def share(self) -> None:
        """A few nodes read for all: the fleet paces its calls itself (`fleet/readers.py`)."""
        self._shared = True

    def reset(self) -> None:
        """Forget all failures, as they were another service's."""
        self.failures = 0
        self._loaded = 0  # failures in a row that too many callers may cause
        self._given_up = 0

    def suspects_load(self, rows: int) -> bool:
        """Whether failures so far may come from the service's load, with so many rows in hand."""
        in_time = self._asking() * rows * SECOND <= LEAST_LINES * ANSWER_AIM
        return self.paced and self._loaded >= SUSPECT and not in_time

    def limit(self, rows: int) -> int:
        """How long the answer to a question may take, in ns; `rows` in hand, 0 for no list."""
        if not self.paced or (rows and not self.suspects_load(rows)):
            return self._terms.answer
        return PATIENT << min(self._given_up, PATIENT_DOUBLINGS)

    def probe_every(self) -> int:
        """Between two probes of a call that waits longer than usual, in ns."""
        return max(PROBE_LEAST, fleet_bound(self._asking()) // 2)

    def answered(self, took: int) -> None:
        """A list, or word that nothing has changed, was in hand after so many ns."""
        self.failures = self._given_up = 0
        if took <= ANSWER_AIM:
            self._loaded = 0

    def failed(self, failure: Failure, took: int, rows: int) -> int:
        """Count a failed call that took so many ns; the least pause until the next one, in ns."""
        self.failures += 1
        if failure in (Failure.TURNED_AWAY, Failure.GIVEN_UP):
            self._loaded += 1
        if failure == Failure.GIVEN_UP and took >= PATIENT:
            self._given_up += 1
        if not self.paced or self._shared:
            return 0
        bound = self._bound_with(failure, took, rows) if rows else self._bound_without(failure)
        return self._random.randrange(bound + 1)

    def _bound_with(self, failure: Failure, took: int, rows: int) -> int:
        """0 stands for the host's usual pause."""
        if failure == Failure.UNUSABLE or self.failures <= QUICK:
            return 0
        fleet = max(PAUSE_MOST, fleet_bound(self._callers))
        if failure == Failure.UNREACHED:
            in_term = max(PAUSE_MOST, TOLD - ANSWER_AIM - SLACK - took)
            return min(self._doubled(PAUSE_MOST, self.failures - QUICK), fleet, in_term)
        return fleet if self.suspects_load(rows) else 0

    def _bound_without(self, failure: Failure) -> int:
        fleet = fleet_bound(self._callers)
        waited = failure in (Failure.TURNED_AWAY, Failure.GIVEN_UP)
        first = max(PAUSE_MOST, fleet) if waited else PAUSE_MOST
        return min(self._doubled(first, self.failures - 1), max(WITHOUT_LIST, fleet))

    def _asking(self) -> int:
        """How many nodes call the service."""
        return READERS if self._shared else self._callers

    @staticmethod
    def _doubled(first: int, times: int) -> int:
        return first << min(times, 16)
