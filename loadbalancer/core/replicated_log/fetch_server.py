"""Answers learners' fetches of one region's log: changes, chunks of a snapshot, or a long poll."""

from __future__ import annotations

from dataclasses import dataclass, replace

from loadbalancer.core.assignment.model import Change, Row
from loadbalancer.core.replicated_log.change_log import ROW_OVERHEAD, ChangeLog
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
    deadline: int  # in nanoseconds; answered without changes then


class FetchServer:
    """Answers learners of one region's log."""

    def __init__(self, log: ChangeLog, hold_ns: int, max_bytes: int) -> None:
        """A fetch waits up to `hold_ns` for new changes; an answer has about `max_bytes`."""
        self._log = log
        self._hold_ns = hold_ns
        self._max_bytes = max_bytes
        self._pending: dict[str, _Pending] = {}  # by learner
        self._chunks: dict[str, list[InstallSnapshot]] = {}  # by learner, while it fetches them
        self._latest: list[InstallSnapshot] = []  # the last snapshot that was made

    def on_fetch(self, now: int, sender: str, fetch: Fetch) -> Response | None:
        """The answer; None where the fetch waits, in place of an earlier one of this learner."""
        answer = self._answer(sender, fetch)
        if answer is None:
            self._pending[sender] = _Pending(fetch, now + self._hold_ns)
        else:
            self._pending.pop(sender, None)
        return answer

    def on_log_advanced(self) -> list[Outgoing]:
        """The log has new changes: answers to the fetches that waited for them."""
        answers = []
        for sender, pending in list(self._pending.items()):
            if (answer := self._answer(sender, pending.fetch)) is not None:
                del self._pending[sender]
                answers.append(Outgoing(sender, answer))
        return answers

    def on_tick(self, now: int) -> list[Outgoing]:
        """Answers without changes to the fetches that have reached their deadline."""
        due = [(sender, one) for sender, one in self._pending.items() if one.deadline <= now]
        for sender, _ in due:
            del self._pending[sender]
        return [Outgoing(sender, self._changes(one.fetch, ())) for sender, one in due]

    def _changes(self, fetch: Fetch, changes: tuple[Change, ...]) -> FetchResponse:
        return FetchResponse(fetch.region, fetch.request_id, self._log.position, changes)

    def _answer(self, sender: str, fetch: Fetch) -> Response | None:
        if fetch.snapshot is not None and (chunk := self._next_chunk(sender, fetch)):
            return chunk
        self._chunks.pop(sender, None)
        if fetch.position >= self._log.position:
            return None
        changes = self._log.changes_after(fetch.position, self._max_bytes)
        if changes is not None:
            return self._changes(fetch, changes)
        chunks = self._chunks[sender] = self._snapshot()
        return replace(chunks[0], request_id=fetch.request_id)

    def _next_chunk(self, sender: str, fetch: Fetch) -> InstallSnapshot | None:
        chunks = self._chunks.get(sender, [])
        if not 0 <= fetch.chunk < len(chunks) or chunks[0].position != fetch.snapshot:
            return None
        chunk = chunks[fetch.chunk]
        if fetch.chunk == len(chunks) - 1:
            del self._chunks[sender]
        return replace(chunk, request_id=fetch.request_id)

    def _snapshot(self) -> list[InstallSnapshot]:
        """The log's snapshot in chunks; shared by all learners until the log changes."""
        if not self._latest or self._latest[0].position != self._log.position:
            self._latest = snapshot_chunks(self._log, self._max_bytes)
        return self._latest


def snapshot_chunks(log: ChangeLog, max_bytes: int) -> list[InstallSnapshot]:
    """A log's snapshot in chunks of about `max_bytes`, at least one."""
    snapshot = log.log_snapshot()
    groups: list[list[ServiceRows]] = [[]]
    free = max_bytes
    for service, rows in snapshot.rows.items():
        part: list[Row] = []
        last_changed = snapshot.last_changed[service]
        for row in rows.values():
            size = len(row.uid) + len(row.body) + ROW_OVERHEAD
            if size > free and (part or groups[-1]):
                if part:
                    groups[-1].append(ServiceRows(service, last_changed, tuple(part)))
                groups.append([])
                part, free = [], max_bytes
            part.append(row)
            free -= size
        groups[-1].append(ServiceRows(service, last_changed, tuple(part)))
        free -= len(service) + ROW_OVERHEAD
    return [
        InstallSnapshot(
            log.region, 0, snapshot.position, number, len(groups), tuple(group),
            snapshot.last_deletion, snapshot.epoch_starts, snapshot.history,
        )
        for number, group in enumerate(groups)
    ]  # fmt: skip
