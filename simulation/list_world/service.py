"""The list service: answers calls in turn, so many lines a second, and rejects what waits too long.

It works on for callers that have given up, as it can't know of them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.endpoints.revisions import Revisions
from loadbalancer.core.endpoints.shared_list import ListUpdate
from simulation.list_world.rows import KnownList

if TYPE_CHECKING:
    from simulation.gossip_world import GossipWorld
    from simulation.list_world.client import ListClient

LINES_PER_S = 200  # for all callers together
MAX_QUEUE_TIME = 3 * SECOND  # a call that has waited so long is rejected, as on the platform
ROUND_TRIP = MS  # to the service and back
FIRST_REV = 41
NO_REV = -1  # a call from no version requests the complete list


class ServiceCount(StrEnum):
    """The keys of the service's counters."""

    CALLS = "calls"
    REJECTED = "turned away"
    LINES = "lines"
    COMPLETE_LISTS = "whole lists"


class ListCall(NamedTuple):
    """A client's call for what has changed since a version.

    Where nothing has, it waits up to `hold` nanoseconds for a change.
    """

    client: ListClient
    number: int  # of the client's calls
    since: int
    hold: int


class ListService:
    """One service for all nodes; its faults are set from outside.

    While `down` it rejects every call, and others with `rejection_probability`. With `stale_list`
    it answers with that version, as a replica does that lags. `max_queue_time` is in nanoseconds.
    """

    def __init__(self, world: GossipWorld, rows: Mapping[str, str]) -> None:
        self.revisions: Revisions[str] = Revisions(FIRST_REV)
        self.revisions.rows = dict(rows)
        self.stale_list: KnownList | None = None
        self.down = False
        self.rejection_probability = 0.0
        self.max_queue_time = MAX_QUEUE_TIME
        self.counts: Counter[str] = Counter()  # by `ServiceCount`
        self.lines_by_second: Counter[int] = Counter()
        self._world = world
        self._free_at = 0  # when it has answered all calls in its queue
        self._watches: list[ListCall] = []

    @property
    def rows(self) -> dict[str, str]:
        """The present rows by uid."""
        return self.revisions.rows

    def change(self, rows: Mapping[str, str | None], rev: int = 0) -> None:
        """Replace these rows, or remove them where None, and answer all watches.

        With `rev` the service has lost its versions, and counts from this one on.
        """
        if rev:
            retained, self.revisions = self.revisions.rows, Revisions(rev - 1)
            self.revisions.rows = retained
        self.revisions.advance(self.revisions.rev + 1, rows)
        watches, self._watches = self._watches, []
        for call in watches:
            self._serve(call)

    def on_call(self, call: ListCall) -> None:
        """Take a call: reject it, queue its answer, or let it wait for a change."""
        world = self._world
        self.counts[ServiceCount.CALLS] += 1
        if self.down or world.random.random() < self.rejection_probability:
            self.counts[ServiceCount.REJECTED] += 1
            self._answer_at(world.now + ROUND_TRIP, call, None)
        elif call.since == self._rev():
            self._watches.append(call)
            world.call_at(world.now + call.hold, self._end_watch, call)
        else:
            self._serve(call)

    def disconnect(self, client: ListClient) -> None:
        """A client's connection has closed: its watch ends without an answer."""
        self._watches = [call for call in self._watches if call.client is not client]

    def _rev(self) -> int:
        return self.stale_list.rev if self.stale_list else self.revisions.rev

    def _end_watch(self, call: ListCall) -> None:
        """Answer a watch during which nothing has changed."""
        if call in self._watches:
            self._watches.remove(call)
            unchanged = ListUpdate(self._rev(), {}, False)
            self._answer_at(self._world.now + ROUND_TRIP, call, unchanged)

    def _serve(self, call: ListCall) -> None:
        """Queue an answer, which has the rows of this moment; it costs one line at least."""
        now = self._world.now
        rows, is_complete = self._rows_since(call.since)
        begins_at = max(self._free_at, now)
        if begins_at - now > self.max_queue_time:
            self.counts[ServiceCount.REJECTED] += 1
            self._answer_at(now + self.max_queue_time, call, None)
            return
        self._write_lines(begins_at, max(len(rows), 1))
        self.counts[ServiceCount.COMPLETE_LISTS] += is_complete
        answer = ListUpdate(self._rev(), dict(rows), is_complete)
        self._answer_at(self._free_at + ROUND_TRIP, call, answer)

    def _rows_since(self, rev: int) -> tuple[Mapping[str, str | None], bool]:
        if self.stale_list:
            return self.stale_list.rows, True
        return self.revisions.since(rev)

    def _write_lines(self, begins_at: int, lines: int) -> None:
        """Be busy with so many lines from a moment on."""
        line_time = SECOND // LINES_PER_S
        self._free_at = begins_at + lines * line_time
        self.counts[ServiceCount.LINES] += lines
        for line in range(lines):
            self.lines_by_second[(begins_at + line * line_time) // SECOND] += 1

    def _answer_at(self, due: int, call: ListCall, answer: ListUpdate | None) -> None:
        self._world.call_at(due, call.client.on_answer, call.number, answer)
