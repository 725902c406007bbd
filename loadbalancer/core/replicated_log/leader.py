"""The leader's part of Raft: replicating the log, committing entries, and checking the quorum.

Implements sections 5.3 (log replication) and 5.4.2 (committing entries from previous terms) of the
paper, and section 6.2 (a leader without a quorum steps down) of the thesis.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from loadbalancer.core.assignment.model import START, Change, Position, Row
from loadbalancer.core.replicated_log.messages import AppendEntries, AppendEntriesResponse
from loadbalancer.core.replicated_log.model import MAX_TERM, Role
from loadbalancer.core.replicated_log.raft_log import no_op
from loadbalancer.core.replicated_log.state import RaftState

# Per heartbeat interval, to a follower whose last matching index is not known yet.
MAX_PROBES_PER_HEARTBEAT = 4
MAX_ENTRIES_IN_FLIGHT = 1024  # to one follower: sent, and not yet acknowledged
# A follower counts as unreachable if it has not responded for this many times
# `Timing.election_timeout_ns`, the longest election timeout that a member can draw.
QUORUM_TIMEOUT_FACTOR = 2


@dataclass(slots=True)
class _Progress:
    """What the leader knows about one follower's log (paper, figure 2: nextIndex, matchIndex)."""

    next_index: int
    acknowledged_index: int  # the highest index for which the follower has responded
    contact_at: int  # time of the follower's last response as a voting member
    match_index: int = 0
    probing: bool = False  # send one message at a time, until the last matching index is known
    probed_at: int = 0  # time of the last probe
    needs_snapshot: bool = False  # the follower's next entries were compacted in the leader's log


class Leader:
    """One member's role as the leader; idle while the member has another role."""

    def __init__(self, state: RaftState, now: int) -> None:
        self._state = state
        self._heartbeat_at = now
        self._new_history_at = now - state.timing.new_history_interval_ns
        self._progress: dict[str, _Progress] = {}

    def start(self, now: int, new_history: bool) -> None:
        """Become the leader of the current term.

        With `new_history` the log starts empty: all services have to be loaded from their source.
        """
        state = self._state
        state.role, state.leader = Role.LEADER, state.name
        if new_history:
            state.log.begin_history(state.new_history_start())
        last = state.log.last.revision
        self._progress = {other: _Progress(last + 1, last, now) for other in state.others}
        if state.log.is_loaded():
            state.append(no_op(START))
        self._send_heartbeats(now)
        self._replicate()

    def on_tick(self, now: int) -> None:
        """Step down if a majority is unreachable; otherwise send heartbeats when they are due."""
        state = self._state
        timeout = QUORUM_TIMEOUT_FACTOR * state.timing.election_timeout_ns
        reachable = sum(now - follower.contact_at < timeout for follower in self._progress.values())
        if reachable + 1 < state.majority:  # plus this member
            state.counts["quorum lost"] += 1
            state.become_follower(now, state.current_term, "")
        elif now >= self._heartbeat_at:
            self._send_heartbeats(now)

    def propose(self, change: Change) -> Position:
        """Append a change at the next index, replicate it, and return its position."""
        position = self._state.append(change)
        self._advance_commit_index()
        self._replicate()
        return position

    def needs_load(self) -> bool:
        """Return whether this member is the leader and has to load the log from its source."""
        state = self._state
        return state.role is Role.LEADER and not state.log.is_loaded()

    def load(self, services: Mapping[str, Iterable[Row]]) -> None:
        """Append all services as read from their source, and the entry that ends the load.

        Does nothing unless `needs_load`.
        """
        if not self.needs_load():
            return
        state = self._state
        # An earlier leader's incomplete load may have appended services that no longer exist.
        appended = {entry.service for entry in state.log.uncommitted}
        for service in sorted(appended - services.keys()):
            state.append(Change(START, service, deleted=True, complete=True))
        for service, rows in services.items():
            state.append(Change(START, service, tuple(rows), complete=True))
        state.append(no_op(START))
        self._advance_commit_index()
        self._replicate()

    def needs_new_history(self, now: int, reported: Position) -> bool:
        """Return whether a new history must begin because a subscriber is ahead of the log.

        The reported position then belongs to a history that was lost. The subscriber would ignore
        all changes of the current one as older than its own. New histories begin at least
        `new_history_interval_ns` apart, as recorded by `on_new_history`.
        """
        state = self._state
        last = state.log.last
        ahead = reported.epoch > state.current_term or reported.revision > last.revision
        settled = state.role is Role.LEADER and state.log.has_committed_in(state.current_term)
        due = now - self._new_history_at >= state.timing.new_history_interval_ns
        return ahead and settled and due

    def on_new_history(self, now: int) -> None:
        """Record that a new history begins; see `needs_new_history`."""
        self._state.counts["histories begun above a report"] += 1
        self._new_history_at = now

    def _send_heartbeats(self, now: int) -> None:
        self._heartbeat_at = now + self._state.timing.heartbeat_interval_ns
        for other, progress in self._progress.items():
            if progress.probing and not progress.needs_snapshot:
                self._probe(now, other, progress)
            else:
                self._send_append(other, progress, ())

    def _replicate(self) -> None:
        """Send each follower its next entries, up to `MAX_ENTRIES_IN_FLIGHT`."""
        for other, progress in self._progress.items():
            self._replicate_to(other, progress)

    def _replicate_to(self, other: str, progress: _Progress) -> None:
        last = self._state.log.last.revision
        while (
            not progress.needs_snapshot
            and not progress.probing
            and progress.next_index <= last
            and progress.next_index - progress.acknowledged_index <= MAX_ENTRIES_IN_FLIGHT
        ):
            entries = self._entries_from(progress.next_index)
            if not entries:
                progress.needs_snapshot = True  # the next heartbeat tells the follower
                return
            self._send_append(other, progress, entries)
            progress.next_index += len(entries)

    def _entries_from(self, index: int) -> tuple[Change, ...] | None:
        """Return the entries for one message, starting at `index`; None if they were compacted."""
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
        """Update a follower's progress, and send the entries that it does not have yet."""
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
            progress.match_index = 0  # the follower has restarted and lost its entries
        if not response.success:
            self._decrement_next_index(now, sender, progress, response.match_index)
            return
        progress.needs_snapshot = progress.probing = False
        if response.match_index > state.log.last.revision:
            state.counts["nonsense answers"] += 1
            return
        progress.acknowledged_index = max(progress.acknowledged_index, response.match_index)
        progress.next_index = max(progress.next_index, response.match_index + 1)
        if response.voting:
            progress.match_index = max(progress.match_index, response.match_index)
            self._advance_commit_index()
        self._replicate_to(sender, progress)

    def _decrement_next_index(self, now: int, other: str, progress: _Progress, index: int) -> None:
        """Decrement nextIndex (paper, section 5.3) to the index that the follower returned.

        The number of probes per heartbeat interval is limited. If each of many late or duplicate
        rejections caused a probe, the number of messages would grow with each round trip.
        """
        state = self._state
        last = max(progress.match_index, min(index, state.log.last.revision))
        progress.next_index, progress.acknowledged_index, progress.probing = last + 1, last, True
        previous = state.log.position_at(last)
        progress.needs_snapshot = previous is None or state.log.entries_after(previous, 1) is None
        probe_interval = state.timing.heartbeat_interval_ns // MAX_PROBES_PER_HEARTBEAT
        if not progress.needs_snapshot and now - progress.probed_at >= probe_interval:
            self._probe(now, other, progress)

    def _probe(self, now: int, other: str, progress: _Progress) -> None:
        """Send one message with entries, starting at nextIndex."""
        progress.probed_at = now
        self._send_append(other, progress, self._entries_from(progress.next_index) or ())

    def _advance_commit_index(self) -> None:
        """Commit up to the last entry that a majority has, if that is of the current term.

        Entries of earlier terms are committed along with it only (paper, section 5.4.2).
        """
        state = self._state
        matches = [
            state.log.last.revision,
            *(follower.match_index for follower in self._progress.values()),
        ]
        index = sorted(matches)[-state.majority]
        position = state.log.position_at(index)
        if position is None or position.epoch != state.current_term:
            return
        before = state.log.commit_index
        state.commit(index)
        if state.log.commit_index > before:
            for other, progress in self._progress.items():
                self._send_append(other, progress, ())
