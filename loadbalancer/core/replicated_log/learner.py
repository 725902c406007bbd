"""A learner, which receives a region's committed changes without a vote in its Raft group.

A learner fetches from one machine at a time, which answers when it has new changes, or without any
when the long poll expires. After an answer without new changes, and after a timeout, the learner
fetches from the next machine, so that a partitioned machine does not delay it for long. If the
changes after the learner's position were compacted, it fetches a snapshot in chunks, and installs
it when it has all of them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from itertools import pairwise
from typing import NamedTuple

from loadbalancer.core.assignment.model import START, Change, Position, Row
from loadbalancer.core.replicated_log.change_log import ChangeLog, LogSnapshot
from loadbalancer.core.replicated_log.messages import Fetch, FetchResponse, InstallSnapshot
from loadbalancer.core.replicated_log.model import componentwise_max

MAX_CHUNKS = 65_536  # of one snapshot; an answer that announces more is ignored


class OutgoingFetch(NamedTuple):
    """A fetch to send, and the machine to send it to."""

    source: str
    fetch: Fetch


class Learner:
    """Fetches one region's committed changes."""

    def __init__(self, log: ChangeLog, sources: Sequence[str], fetch_timeout_ns: int) -> None:
        """Create a learner of a region's log.

        Args:
            log: the region's log; the owner of the learner applies the fetched changes to it.
            sources: the machines to fetch from, in turn.
            fetch_timeout_ns: how long each of them has to answer.
        """
        self.counts: Counter[str] = Counter()  # by event; the names appear in GET /status
        self._log = log
        self._sources = tuple(sources)
        self._fetch_timeout_ns = fetch_timeout_ns
        self._highest_reported = START
        self._source = 0  # only incremented; modulo the number of sources an index of `_sources`
        self._request_id = 0
        self._pending: Fetch | None = None
        self._deadline = 0  # of the pending fetch
        self._chunks: list[InstallSnapshot] = []  # received so far of the snapshot being fetched

    def on_reported(self, position: Position) -> None:
        """Record a position that a subscriber has reported; the next fetch includes it."""
        self._highest_reported = componentwise_max(self._highest_reported, position)

    def poll(self, now: int) -> OutgoingFetch | None:
        """Return the next fetch to send, or None while one is pending."""
        if not self._sources:
            return None
        if self._pending is not None:
            if now < self._deadline:
                return None
            self.counts["unanswered"] += 1
            self._switch_source()
        self._request_id += 1
        self._deadline = now + self._fetch_timeout_ns
        fetch = Fetch(
            self._log.region, self._log.position, self._request_id, self._highest_reported
        )
        if self._chunks:
            first = self._chunks[0]
            fetch = replace(fetch, snapshot=first.position, chunk=len(self._chunks))
        self._pending = fetch
        return OutgoingFetch(self._sources[self._source % len(self._sources)], fetch)

    def stop(self) -> None:
        """Stop fetching until the next `poll`; the answer to a pending fetch will be dropped."""
        self._pending = None
        self._chunks = []

    def _switch_source(self) -> None:
        self._source += 1
        self._chunks = []

    def on_response(self, response: FetchResponse) -> tuple[Change, ...]:
        """Return the changes to apply; the first one directly follows the log's position."""
        if not self._complete_fetch(response.request_id):
            return ()
        self._chunks = []
        position = self._log.position
        newer = [
            change for change in response.changes if change.position.revision > position.revision
        ]
        if not newer or newer[0].position.revision != position.revision + 1:
            # The source has nothing newer, or there is a gap before its changes.
            self._switch_source()
            return ()
        for before, after in pairwise(newer):
            if (
                after.position.revision != before.position.revision + 1
                or after.position.epoch < before.position.epoch
            ):
                self.counts["out of order"] += 1
                return ()
        return tuple(newer) if newer[0].position.epoch >= position.epoch else ()

    def on_chunk(self, chunk: InstallSnapshot) -> LogSnapshot | None:
        """Return the snapshot once all its chunks have been received.

        A snapshot that is not newer than the log is ignored.
        """
        if not self._complete_fetch(chunk.request_id):
            return None
        if not 0 < chunk.chunks <= MAX_CHUNKS or chunk.position <= self._log.position:
            self.counts["useless images"] += 1
            self._switch_source()
            return None
        if chunk.chunk == 0 or (self._chunks and self._chunks[0].position != chunk.position):
            self._chunks = []
        if chunk.chunk != len(self._chunks):
            self._switch_source()
            return None
        self._chunks.append(chunk)
        if len(self._chunks) < chunk.chunks:
            return None
        chunks, self._chunks = self._chunks, []
        return _assemble_snapshot(chunks)

    def _complete_fetch(self, request_id: int) -> bool:
        """Return whether this answers the pending fetch, which is then no longer pending.

        Late and duplicate answers are dropped.
        """
        if self._pending is None or request_id != self._pending.request_id:
            self.counts["late answers"] += 1
            return False
        self._pending = None
        return True


def _assemble_snapshot(chunks: Sequence[InstallSnapshot]) -> LogSnapshot:
    rows: dict[str, dict[str, Row]] = {}
    last_changed: dict[str, int] = {}
    for chunk in chunks:
        for part in chunk.services:
            rows.setdefault(part.service, {}).update((row.uid, row) for row in part.rows)
            last_changed[part.service] = part.last_changed
    first = chunks[0]
    return LogSnapshot(
        first.position, rows, last_changed, first.last_deletion, first.epoch_starts, first.history
    )
