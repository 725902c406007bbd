"""The follower's part of log replication: entries are appended in order (paper, section 5.3)."""

from __future__ import annotations

from loadbalancer.core.assignment.model import Position
from loadbalancer.core.replicated_log.messages import AppendEntries, AppendEntriesResponse
from loadbalancer.core.replicated_log.model import MAX_TERM, Role
from loadbalancer.core.replicated_log.recovery import Recovery
from loadbalancer.core.replicated_log.state import RaftState


class Follower:
    """One member's role as a follower.

    A recovering member appends entries as well, but has no vote.
    """

    def __init__(self, state: RaftState, recovery: Recovery) -> None:
        self._state = state
        self._recovery = recovery

    def on_append(self, now: int, sender: str, request: AppendEntries) -> None:
        """Append a leader's entries, and commit up to the leader's commit index."""
        state = self._state
        if request.term < state.current_term or request.history < state.log.history:
            state.counts["older epochs"] += 1
            self._respond(sender, success=False, match_index=state.log.commit_index)
            return
        # A term has one leader: if it is this member, no other can be the leader of the same term.
        from_second_leader = state.role is Role.LEADER and request.term == state.current_term
        if request.term > MAX_TERM or from_second_leader:
            state.counts["nonsense epochs"] += 1
            return
        self._follow(now, sender, request)
        state.needs_snapshot = request.needs_snapshot
        if not state.log.append_entries(request.prev_log, request.entries):
            last = state.log.last.revision
            self._respond(
                sender, success=False, match_index=min(last, self._retry_index(request.prev_log))
            )
            return
        match_index = request.prev_log.revision + len(request.entries)
        state.commit(min(request.leader_commit, match_index))
        self._recovery.complete_if_caught_up(request.term)
        # Entries committed here are in every later leader's log, even if that leader did not send
        # them to this member.
        self._respond(sender, success=True, match_index=max(match_index, state.log.commit_index))

    def _follow(self, now: int, leader: str, request: AppendEntries) -> None:
        state = self._state
        state.leader_contact_at = now
        if state.role is Role.RECOVERING:
            state.current_term, state.leader = request.term, leader
            state.reset_election_timer(now)
        else:
            state.become_follower(now, request.term, leader)
        if request.history > state.log.history:
            state.log.begin_history(request.history)
            self._recovery.on_new_history(now, leader, request.term)

    def _retry_index(self, prev_log: Position) -> int:
        """Return the last index that may match the leader's log, as `prev_log` does not."""
        log = self._state.log
        if prev_log.revision > log.last.revision:
            return log.last.revision
        return log.commit_index

    def _respond(self, leader: str, success: bool, match_index: int) -> None:
        state = self._state
        voting = state.role is not Role.RECOVERING
        state.send(
            leader,
            AppendEntriesResponse(state.region, state.current_term, success, match_index, voting),
        )
