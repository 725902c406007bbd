"""The leader: it replicates its log, commits what a majority has, and checks its quorum.

Paper, section 5.3 (log replication) and 5.4.2 (committing entries of earlier terms); thesis,
section 6.2 (a leader without a quorum steps down).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from loadbalancer.core.assignment.model import START, Change, Position, Row
from loadbalancer.core.replicated_log.messages import AppendEntries, AppendEntriesResponse
from loadbalancer.core.replicated_log.model import MAX_TERM, Role
from loadbalancer.core.replicated_log.raft_log import no_op
from loadbalancer.core.replicated_log.state import RaftState

PROBES_PER_HEARTBEAT = 4  # at most, to a follower whose last matching index is not known yet
MAX_UNANSWERED = 1024  # entries in flight to one follower: sent, and not yet answered
# A follower counts as unreachable after the longest election timeout that a member can draw.
QUORUM_TIMEOUT_FACTOR = 2  # times `Timing.election_timeout_ns`


@dataclass(slots=True)
class _Progress:
    """What the leader knows of one follower's log (paper, figure 2: nextIndex, matchIndex)."""

    next_index: int
    answered_index: int  # up to which the follower has answered
    contact_at: int  # when it last answered as a voting member
    match_index: int = 0
    probing: bool = False  # one message at a time, until its last matching index is known
    probed_at: int = 0  # when the last of these was sent
    needs_snapshot: bool = False  # the leader's log does not reach back to it


class Leader:
    """The leader's part of one member; idle while the member has another role."""

    def __init__(self, state: RaftState, now: int) -> None:
        self._state = state
        self._heartbeat_at = now
        self._new_history_at = now - state.timing.new_history_interval_ns
        self._progress: dict[str, _Progress] = {}

    # ---- the term's start and the passing of time ------------------------

    def start(self, now: int, new_history: bool) -> None:
        """Lead in the current term; in a new history, all entries are still to be loaded."""
        state = self._state
        state.role, state.leader = Role.LEADER, state.name
        if new_history:
            state.log.begin_history(state.new_history())
        last = state.log.last.revision
        self._progress = {other: _Progress(last + 1, last, now) for other in state.others}
        if state.log.is_loaded():
            state.append(no_op(START))
        self._send_heartbeats(now)
        self._replicate()

    def on_tick(self, now: int) -> None:
        """Step down without a quorum; otherwise send heartbeats when they are due."""
        state = self._state
        timeout = QUORUM_TIMEOUT_FACTOR * state.timing.election_timeout_ns
        reachable = sum(now - one.contact_at < timeout for one in self._progress.values())
        if reachable + 1 < state.majority:  # one more: this member itself
            state.counts["quorum lost"] += 1
            state.become_follower(now, state.current_term, "")
        elif now >= self._heartbeat_at:
            self._send_heartbeats(now)

    # ---- new entries -----------------------------------------------------

    def propose(self, change: Change) -> Position:
        """Append a change at the next index and replicate it; returns its position."""
        position = self._state.append(change)
        self._advance_commit_index()
        self._replicate()
        return position

    def needs_load(self) -> bool:
        """Whether this member leads and its log is to be loaded from its source."""
        state = self._state
        return state.role is Role.LEADER and not state.log.is_loaded()

    def load(self, services: Mapping[str, Iterable[Row]]) -> None:
        """Append all services from their source, and the end of the load; see `needs_load`."""
        if not self.needs_load():
            return
        state = self._state
        # An earlier leader's unfinished load may have appended services that the source lacks now.
        appended = {entry.service for entry in state.log.uncommitted}
        for service in sorted(appended - services.keys()):
            state.append(Change(START, service, deleted=True, complete=True))
        for service, rows in services.items():
            state.append(Change(START, service, tuple(rows), complete=True))
        state.append(no_op(START))
        self._advance_commit_index()
        self._replicate()

    def needs_new_history(self, now: int, reported: Position) -> bool:
        """Whether a new history must begin, as a subscriber is ahead of the log.

        Its position is of a history that was lost: it would ignore all changes of this one as
        older than its own. Histories begin at least `new_history_interval_ns` apart, by
        `on_new_history`.
        """
        state = self._state
        last = state.log.last
        ahead = reported.epoch > state.current_term or reported.revision > last.revision
        settled = state.role is Role.LEADER and state.log.has_committed_in(state.current_term)
        due = now - self._new_history_at >= state.timing.new_history_interval_ns
        return ahead and settled and due

    def on_new_history(self, now: int) -> None:
        """A new history begins, as `needs_new_history` said; the next one has to wait."""
        self._state.counts["histories begun above a report"] += 1
        self._new_history_at = now

    # ---- log replication -------------------------------------------------

    def _send_heartbeats(self, now: int) -> None:
        self._heartbeat_at = now + self._state.timing.heartbeat_interval_ns
        for other, progress in self._progress.items():
            if progress.probing and not progress.needs_snapshot:
                self._probe(now, other, progress)
            else:
                self._send_append(other, progress, ())

    def _replicate(self) -> None:
        """Send each follower its next entries, up to `MAX_UNANSWERED` in flight."""
        for other, progress in self._progress.items():
            self._replicate_to(other, progress)

    def _replicate_to(self, other: str, progress: _Progress) -> None:
        last = self._state.log.last.revision
        while (
            not progress.needs_snapshot
            and not progress.probing
            and progress.next_index <= last
            and progress.next_index - progress.answered_index <= MAX_UNANSWERED
        ):
            entries = self._entries_from(progress.next_index)
            if not entries:
                progress.needs_snapshot = True  # the next heartbeat says so
                return
            self._send_append(other, progress, entries)
            progress.next_index += len(entries)

    def _entries_from(self, index: int) -> tuple[Change, ...] | None:
        """A message's entries from this index on; None where the log does not reach back."""
        log = self._state.log
        previous = log.position_at(index - 1)
        if previous is None:
            return None
        return log.entries_after(previous, self._state.timing.max_message_bytes)

    def _send_append(self, other: str, progress: _Progress, entries: tuple[Change, ...]) -> None:
        state = self._state
        previous = state.log.position_at(progress.next_index - 1)
        if previous is None:
            progress.needs_snapshot = True
            previous = state.log.last
        state.send(
            other,
            AppendEntries(
                state.region, state.current_term, state.log.history, previous, entries,
                state.log.commit_index, progress.needs_snapshot,
            ),
        )  # fmt: skip

    def on_response(self, now: int, sender: str, response: AppendEntriesResponse) -> None:
        """Update a follower's progress, and send the entries that it lacks."""
        state = self._state
        if response.term > state.current_term and state.role is not Role.RECOVERING:
            if response.term <= MAX_TERM:
                state.observe_term(now, response.term)
            return
        if state.role is not Role.LEADER or response.term != state.current_term:
            return
        progress = self._progress[sender]
        if response.voting:
            progress.contact_at = now
        else:
            progress.match_index = 0  # it restarted and has lost its entries
        if not response.success:
            self._back_up(now, sender, progress, response.match_index)
            return
        progress.needs_snapshot = progress.probing = False
        if response.match_index > state.log.last.revision:
            state.counts["nonsense answers"] += 1
            return
        progress.answered_index = max(progress.answered_index, response.match_index)
        progress.next_index = max(progress.next_index, response.match_index + 1)
        if response.voting:
            progress.match_index = max(progress.match_index, response.match_index)
            self._advance_commit_index()
        self._replicate_to(sender, progress)

    def _back_up(self, now: int, other: str, progress: _Progress, index: int) -> None:
        """Decrement nextIndex (paper, section 5.3) to the index that the follower returned.

        Rejections within a fraction of a heartbeat cause one probe together. If each of many late
        or duplicate ones caused a message of its own, messages would multiply.
        """
        state = self._state
        last = max(progress.match_index, min(index, state.log.last.revision))
        progress.next_index, progress.answered_index, progress.probing = last + 1, last, True
        previous = state.log.position_at(last)
        progress.needs_snapshot = previous is None or state.log.entries_after(previous, 1) is None
        pause = state.timing.heartbeat_interval_ns // PROBES_PER_HEARTBEAT
        if not progress.needs_snapshot and now - progress.probed_at >= pause:
            self._probe(now, other, progress)

    def _probe(self, now: int, other: str, progress: _Progress) -> None:
        """Send one message of entries, from nextIndex."""
        progress.probed_at = now
        self._send_append(other, progress, self._entries_from(progress.next_index) or ())

    # ---- commit ----------------------------------------------------------

    def _advance_commit_index(self) -> None:
        """Commit what a majority has, if it ends in the current term (paper, section 5.4.2)."""
        state = self._state
        matches = [state.log.last.revision, *(one.match_index for one in self._progress.values())]
        index = sorted(matches)[-state.majority]
        position = state.log.position_at(index)
        if position is None or position.epoch != state.current_term:
            return
        before = state.log.commit_index
        state.commit(index)
        if state.log.commit_index > before:
            for other, progress in self._progress.items():
                self._send_append(other, progress, ())
