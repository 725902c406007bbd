"""A learner: it follows a region's committed changes without a vote in its group.

A learner fetches from one machine at a time; a machine without new changes answers after a
while (a long poll). After each answer without new changes, and after each timeout, the learner
turns to the next machine, so that one that is cut off does not delay it for long. A learner whose
position the log no longer reaches fetches a snapshot in chunks, and installs it once it has them
all.
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
from loadbalancer.core.replicated_log.model import highest

MAX_CHUNKS = 65_536  # of one snapshot; an answer that names more is not plausible


class OutgoingFetch(NamedTuple):
    """A fetch to be sent, and the machine that it goes to."""

    source: str
    fetch: Fetch


class Learner:
    """Fetches one region's committed changes."""

    def __init__(self, log: ChangeLog, sources: Sequence[str], fetch_timeout_ns: int) -> None:
        """`sources` are polled in turn; each has `fetch_timeout_ns` to answer."""
        self.counts: Counter[str] = Counter()  # by names that are part of GET /status
        self._log = log
        self._sources = tuple(sources)
        self._fetch_timeout_ns = fetch_timeout_ns
        self._highest_reported = START
        self._source = 0  # only grows; its index in `_sources` is this modulo their number
        self._request_id = 0
        self._pending: Fetch | None = None
        self._deadline = 0  # of the pending fetch
        self._chunks: list[InstallSnapshot] = []  # of the snapshot being fetched, from the first

    def on_reported(self, position: Position) -> None:
        """Somebody has this position of the region's log; the next fetch passes it on."""
        self._highest_reported = highest(self._highest_reported, position)

    def poll(self, now: int) -> OutgoingFetch | None:
        """The next fetch; None while one is pending."""
        if not self._sources:
            return None
        if self._pending is not None:
            if now < self._deadline:
                return None
            self.counts["unanswered"] += 1
            self._next_source()
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
        """Fetch nothing for now; an answer on its way is dropped."""
        self._pending = None
        self._chunks = []

    def _next_source(self) -> None:
        self._source += 1
        self._chunks = []

    def on_response(self, response: FetchResponse) -> tuple[Change, ...]:
        """The changes to apply, in order, right after the log's position."""
        if not self._is_pending(response.request_id):
            return ()
        self._chunks = []
        position = self._log.position
        newer = [one for one in response.changes if one.position.revision > position.revision]
        if not newer or newer[0].position.revision != position.revision + 1:
            self._next_source()  # it has nothing newer, or its log begins beyond this one
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
        """The snapshot, once all its chunks are here, if it is later than the log."""
        if not self._is_pending(chunk.request_id):
            return None
        if not 0 < chunk.chunks <= MAX_CHUNKS or chunk.position <= self._log.position:
            self.counts["useless images"] += 1
            self._next_source()
            return None
        if chunk.chunk == 0 or (self._chunks and self._chunks[0].position != chunk.position):
            self._chunks = []
        if chunk.chunk != len(self._chunks):
            self._next_source()
            return None
        self._chunks.append(chunk)
        if len(self._chunks) < chunk.chunks:
            return None
        chunks, self._chunks = self._chunks, []
        return _joined(chunks)

    def _is_pending(self, request_id: int) -> bool:
        """Whether this answers the pending fetch; late and duplicate answers are dropped."""
        if self._pending is None or request_id != self._pending.request_id:
            self.counts["late answers"] += 1
            return False
        self._pending = None
        return True


def _joined(chunks: Sequence[InstallSnapshot]) -> LogSnapshot:
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
