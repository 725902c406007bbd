"""Answers learners' fetches of one region's log with changes or with chunks of a snapshot.

A fetch for which there is nothing new waits for the next change (a long poll).
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from loadbalancer.core.assignment.model import Change, Row
from loadbalancer.core.replicated_log.change_log import ROW_OVERHEAD_BYTES, ChangeLog
from loadbalancer.core.replicated_log.messages import (
    Fetch,
    FetchResponse,
    InstallSnapshot,
    Outgoing,
    ServiceRows,
)

Response = FetchResponse | InstallSnapshot


@dataclass(frozen=True, slots=True)
class _Pending:
    """A fetch that waits for new changes."""

    fetch: Fetch
    deadline: int  # time in nanoseconds at which the fetch is answered without changes


class FetchServer:
    """Answers the fetches of all learners of one region's log."""

    def __init__(self, log: ChangeLog, hold_ns: int, max_bytes: int) -> None:
        """Create a server for `log`.

        Args:
            log: the log that is served.
            hold_ns: how long a fetch waits for new changes.
            max_bytes: the approximate maximum size of an answer.
        """
        self._log = log
        self._hold_ns = hold_ns
        self._max_bytes = max_bytes
        self._pending: dict[str, _Pending] = {}  # by learner
        # The chunks of the snapshot that a learner is fetching, by learner.
        self._chunks: dict[str, list[InstallSnapshot]] = {}
        self._latest_snapshot: list[InstallSnapshot] = []

    def on_fetch(self, now: int, sender: str, fetch: Fetch) -> Response | None:
        """Return the answer, or None if the fetch waits for new changes.

        A waiting fetch replaces an earlier one of the same learner.
        """
        answer = self._answer(sender, fetch)
        if answer is None:
            self._pending[sender] = _Pending(fetch, now + self._hold_ns)
        else:
            self._pending.pop(sender, None)
        return answer

    def on_log_advanced(self) -> list[Outgoing]:
        """Return the answers to the waiting fetches, after changes were appended to the log."""
        answers = []
        for sender, pending in list(self._pending.items()):
            if (answer := self._answer(sender, pending.fetch)) is not None:
                del self._pending[sender]
                answers.append(Outgoing(sender, answer))
        return answers

    def on_tick(self, now: int) -> list[Outgoing]:
        """Return answers without changes to the fetches that have reached their deadline."""
        due = [
            (sender, pending)
            for sender, pending in self._pending.items()
            if pending.deadline <= now
        ]
        for sender, _ in due:
            del self._pending[sender]
        return [Outgoing(sender, self._response(pending.fetch, ())) for sender, pending in due]

    def _response(self, fetch: Fetch, changes: tuple[Change, ...]) -> FetchResponse:
        return FetchResponse(fetch.region, fetch.request_id, self._log.position, changes)

    def _answer(self, sender: str, fetch: Fetch) -> Response | None:
        if fetch.snapshot is not None and (chunk := self._next_chunk(sender, fetch)):
            return chunk
        self._chunks.pop(sender, None)
        if fetch.position >= self._log.position:
            return None
        changes = self._log.changes_after(fetch.position, self._max_bytes)
        if changes is not None:
            return self._response(fetch, changes)
        chunks = self._chunks[sender] = self._snapshot_chunks()
        return replace(chunks[0], request_id=fetch.request_id)

    def _next_chunk(self, sender: str, fetch: Fetch) -> InstallSnapshot | None:
        chunks = self._chunks.get(sender, [])
        if not 0 <= fetch.chunk < len(chunks) or chunks[0].position != fetch.snapshot:
            return None
        chunk = chunks[fetch.chunk]
        if fetch.chunk == len(chunks) - 1:
            del self._chunks[sender]
        return replace(chunk, request_id=fetch.request_id)

    def _snapshot_chunks(self) -> list[InstallSnapshot]:
        """Return the log's snapshot in chunks, which all learners share until the log changes."""
        if not self._latest_snapshot or self._latest_snapshot[0].position != self._log.position:
            self._latest_snapshot = snapshot_chunks(self._log, self._max_bytes)
        return self._latest_snapshot


def snapshot_chunks(log: ChangeLog, max_bytes: int) -> list[InstallSnapshot]:
    """Split a snapshot of the log into one or more chunks of about `max_bytes`.

    The rows of a large service may be divided among several chunks.
    """
    snapshot = log.log_snapshot()
    groups: list[list[ServiceRows]] = [[]]
    free_bytes = max_bytes
    for service, rows in snapshot.rows.items():
        part: list[Row] = []
        last_changed = snapshot.last_changed[service]
        for row in rows.values():
            size = len(row.uid) + len(row.body) + ROW_OVERHEAD_BYTES
            if size > free_bytes and (part or groups[-1]):
                if part:
                    groups[-1].append(ServiceRows(service, last_changed, tuple(part)))
                groups.append([])
                part, free_bytes = [], max_bytes
            part.append(row)
            free_bytes -= size
        groups[-1].append(ServiceRows(service, last_changed, tuple(part)))
        free_bytes -= len(service) + ROW_OVERHEAD_BYTES
    return [
        InstallSnapshot(
            log.region, 0, snapshot.position, number, len(groups), tuple(group),
            snapshot.last_deletion, snapshot.epoch_starts, snapshot.history,
        )
        for number, group in enumerate(groups)
    ]  # fmt: skip
