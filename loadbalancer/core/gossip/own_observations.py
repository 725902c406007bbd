"""Publishes observations: the results of this node's own attempts at servers."""

from __future__ import annotations

from typing import NamedTuple

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.gossip.local_list import LocalList
from loadbalancer.core.gossip.membership import Membership
from loadbalancer.core.gossip.messages import RATIO_UNIT, Observation
from loadbalancer.core.gossip.records import OBSERVATION_TTL_NS, RecordStore
from loadbalancer.core.gossip.update_sender import UpdateSender

# Interval at which unchanged results are repeated. It is well below OBSERVATION_TTL_NS.
REPEAT_INTERVAL_NS = 5 * SECOND
MAX_PUBLISHED_COUNT = 3  # higher counts of failures or rejections make no difference to a verdict
FIRST_RATIO_STEP_16THS = 24.0  # the lowest published latency ratio
MAX_RATIO_STEP_16THS = 110  # the first step above this value is the last one


class AttemptResults(NamedTuple):
    """Results of the attempts at one server; the fields are those of an `Observation`."""

    failures: int
    cold: int
    rejections: int
    ratio_16ths: int


class Published(NamedTuple):
    """The latest published results for a server, and when they were published (ns).

    `attempted_at` is the time of the last attempt that they include.
    """

    results: AttemptResults
    published_at: int
    attempted_at: int


class OwnObservations:
    """Publishes an observation when results change, and repeats it after further attempts."""

    def __init__(
        self,
        members: Membership,
        records: RecordStore,
        updates: UpdateSender,
        local_list: LocalList,
    ) -> None:
        self._members = members
        self._records = records
        self._updates = updates
        self._local_list = local_list
        self._published: dict[int, Published] = {}  # by server
        self._sequence_number = 0

    def __contains__(self, server: int) -> bool:
        return server in self._published

    def clear(self) -> None:
        """Forget all published results, because they are out of date after a pause."""
        self._published.clear()

    def observe(self, now: int, server: int, results: AttemptResults, attempted_at: int) -> None:
        """Publish the results of this node's attempts at a server, if they are to be published.

        `attempted_at` is the time of the last attempt. Unchanged results are repeated only after
        further attempts; without any, the observation expires.
        """
        last = self._published.get(server)
        if last is None:
            if not any(results):
                return
        elif last.results == results and not self._is_due(now, last, attempted_at):
            if now - attempted_at >= OBSERVATION_TTL_NS:
                del self._published[server]
            return
        age = max(now - attempted_at, 0)
        if any(results):
            accepted = self._records.accepts_observer(server, self._members.me)
            if age >= OBSERVATION_TTL_NS or not accepted:
                return
            self._published[server] = Published(results, now, attempted_at)
        else:
            del self._published[server]
            age = 0
        self._publish(now, server, results, age)

    @staticmethod
    def _is_due(now: int, last: Published, attempted_at: int) -> bool:
        """Whether to publish unchanged results again."""
        repeat = now - last.published_at >= REPEAT_INTERVAL_NS
        return repeat and attempted_at != last.attempted_at

    def _publish(self, now: int, server: int, results: AttemptResults, age: int) -> None:
        self._sequence_number += 1
        members = self._members
        boot = self._local_list.boot_times.get(server, 0)
        record = Observation(
            server, boot, members.me, members.incarnation, self._sequence_number, *results, age=age
        )
        self._updates.publish(now, record)


def publishable_results(
    failures: int, cold: bool, rejections: int, latency_ratio: float
) -> AttemptResults:
    """Results in coarse steps, so that small changes cause no updates."""
    return AttemptResults(
        min(failures, MAX_PUBLISHED_COUNT),
        int(cold and failures > 0),
        min(rejections, MAX_PUBLISHED_COUNT),
        _coarse_ratio_16ths(latency_ratio),
    )


def _coarse_ratio_16ths(latency_ratio: float) -> int:
    """A latency ratio in sixteenths, rounded down to a power of 1.5; 0 below the first."""
    sixteenths = latency_ratio * RATIO_UNIT
    step = FIRST_RATIO_STEP_16THS
    if sixteenths < step:
        return 0
    while step * 1.5 <= sixteenths and step < MAX_RATIO_STEP_16THS:
        step *= 1.5
    return int(step)
