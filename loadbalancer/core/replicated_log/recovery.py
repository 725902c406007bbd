"""Recovery of a member that restarted: its log was in memory, and is lost.

It may have acknowledged entries or votes that it no longer has, so that it neither votes, leads
nor counts for a majority until it has heard from all others of its group, none of them recovering,
and has caught up with what they had (Liskov and Cowling 2012, "Viewstamped Replication Revisited",
section 4.3). Where too many have lost their logs for that, a majority elects a leader that loads
the log again from its source, in a term and from an index above all that anyone has reported.
"""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.core.assignment.model import Position
from loadbalancer.core.replicated_log.election import Election
from loadbalancer.core.replicated_log.messages import RecoveryRequest, RecoveryResponse
from loadbalancer.core.replicated_log.model import Role, highest
from loadbalancer.core.replicated_log.state import RaftState

FRESH_FACTOR = 2  # times the minimum election timeout: a response older than that is disregarded


@dataclass(frozen=True, slots=True)
class _Received:
    """A member's last response, and when it came, in nanoseconds."""

    response: RecoveryResponse
    at: int


class Recovery:
    """The recovery of one member, and its answers to others that recover."""

    def __init__(self, state: RaftState, election: Election, now: int) -> None:
        self._state = state
        self._election = election
        self._started = now
        self._request_at = now
        self._received: dict[str, _Received] = {}  # the last response of each other member

    def on_tick(self, now: int) -> None:
        """Ask the others for their state; begin an election where the log counts as lost."""
        state = self._state
        if now >= self._request_at:
            self._request_at = now + state.timing.heartbeat_interval_ns
            for other in state.others:
                state.send(other, RecoveryRequest(state.region, state.nonce))
        if now >= state.election_at:
            state.reset_election_timer(now)
            if self._log_is_lost(now):
                self._election.start(now, state.new_history_term(), reload=True)

    def _log_is_lost(self, now: int) -> bool:
        """Whether no majority with a log answers, for long enough, while a majority does answer."""
        state, timing = self._state, self._state.timing
        fresh = [
            one.response
            for one in self._received.values()
            if now - one.at < FRESH_FACTOR * timing.election_timeout_ns
        ]
        if sum(not response.recovering for response in fresh) >= state.majority:
            return False
        all_answer = len(fresh) == len(state.others)
        wait = timing.reload_wait_ns if all_answer else timing.unreachable_wait_ns
        waited = now - max(self._started, state.leader_contact_at)
        return len(fresh) + 1 >= state.majority and waited >= wait

    def on_request(self, sender: str, request: RecoveryRequest) -> None:
        """Answer a member that recovers with this member's state."""
        state = self._state
        state.send(
            sender,
            RecoveryResponse(
                state.region, request.nonce, state.role is Role.RECOVERING, state.current_term,
                state.log.last, state.highest_reported,
            ),
        )  # fmt: skip

    def on_response(self, now: int, sender: str, response: RecoveryResponse) -> None:
        """Take another member's state, if it answers this incarnation."""
        state = self._state
        if response.nonce != state.nonce or state.role is not Role.RECOVERING:
            return
        reported = highest(response.highest_reported, Position(response.term, 0))
        state.note_reported(highest(reported, response.last_log))
        if response.recovering:
            state.seen_recovering.add(sender)
        self._received[sender] = _Received(response, now)

    def on_new_history(self, now: int, leader: str, term: int) -> None:
        """A leader loads the log again: what this member lost with its restart may be void.

        It is, if the leader was seen recovering since: then the load began after the restart, and
        nothing that this member acknowledged before can be in it.
        """
        state = self._state
        if state.role is Role.RECOVERING and leader in state.seen_recovering:
            state.become_follower(now, term, leader)

    def complete_if_caught_up(self, term: int) -> None:
        """Become a follower once the log has all that the others had when they answered."""
        state = self._state
        if state.role is not Role.RECOVERING or len(self._received) < len(state.others):
            return
        responses = [one.response for one in self._received.values()]
        if any(response.recovering for response in responses):
            return
        last_log = max(response.last_log for response in responses)
        highest_term = max(response.term for response in responses)
        if term >= highest_term and state.log.last >= last_log:
            state.role = Role.FOLLOWER
            state.counts["returned"] += 1
