"""Leader election: pre-votes, votes, and the rules by which they are granted.

Implements sections 5.2 (leader election), 5.4.1 (a candidate must have all committed entries) and 6
(no vote is granted while there is a leader) of the paper, and section 9.6 (pre-vote) of the thesis.
"""

from __future__ import annotations

from collections.abc import Callable

from loadbalancer.core.assignment.model import Position
from loadbalancer.core.replicated_log.messages import RequestVote, RequestVoteResponse
from loadbalancer.core.replicated_log.model import MAX_TERM, Role, componentwise_max
from loadbalancer.core.replicated_log.state import RaftState


class Election:
    """One member's role as a candidate and as a voter."""

    def __init__(self, state: RaftState, on_elected: Callable[[int, RequestVote], None]) -> None:
        """`on_elected` is called with the time and the vote request that a majority has granted."""
        self._state = state
        self._on_elected = on_elected

    def start_pre_vote(self, now: int) -> None:
        """Ask the other members whether they would grant a vote.

        The term is incremented only after a majority has agreed. So a member that cannot win, for
        example after a network partition, does not make a working leader step down.
        """
        state = self._state
        state.reset_election_timer(now)
        state.role, state.leader = Role.PRE_CANDIDATE, ""
        self._request_votes(self._vote_request(state.current_term + 1, pre_vote=True))

    def start(self, now: int, term: int, reload: bool = False, transfer: bool = False) -> None:
        """Begin an election in `term`.

        Args:
            now: the time in nanoseconds.
            term: the term of the election.
            reload: a majority has lost its log; the winner loads it from its source. The member
                remains RECOVERING until it has won.
            transfer: the leader itself holds the election, to begin a history above a position that
                a subscriber has reported.
        """
        state = self._state
        state.reset_election_timer(now)
        state.current_term, state.voted_for, state.leader = term, state.name, ""
        if not reload:
            state.role = Role.CANDIDATE
        self._request_votes(self._vote_request(term, reload=reload, transfer=transfer))

    def _vote_request(
        self, term: int, pre_vote: bool = False, reload: bool = False, transfer: bool = False
    ) -> RequestVote:
        state = self._state
        return RequestVote(
            state.region, term, state.log.history, state.log.last, pre_vote, reload, transfer
        )

    def _request_votes(self, request: RequestVote) -> None:
        state = self._state
        state.vote_request = request
        state.votes = {state.name}
        for other in state.others:
            state.send(other, request)

    def on_response(self, now: int, sender: str, response: RequestVoteResponse) -> None:
        """Count a vote.

        With a majority of pre-votes an election begins; with a majority of votes it is won.
        """
        state, request = self._state, self._state.vote_request
        if not response.vote_granted:
            self._on_vote_denied(now, response)
            return
        if request is None or (response.term, response.pre_vote) != (
            request.term,
            request.pre_vote,
        ):
            return
        state.votes.add(sender)
        if len(state.votes) < state.majority:
            return
        state.vote_request = None
        if request.pre_vote:
            self.start(now, request.term)
        elif state.current_term == request.term:
            self._on_elected(now, request)

    def _on_vote_denied(self, now: int, response: RequestVoteResponse) -> None:
        state = self._state
        if response.current_term <= state.current_term:
            return
        # Recorded even if the term is not entered below: a new history must begin in a higher term.
        state.highest_reported = componentwise_max(
            state.highest_reported, Position(response.current_term, 0)
        )
        if state.role is not Role.RECOVERING and response.current_term <= MAX_TERM:
            state.observe_term(now, response.current_term)

    def on_request(self, now: int, sender: str, request: RequestVote) -> None:
        """Grant or deny a vote. At most one candidate gets this member's vote in a term."""
        state = self._state
        if request.term > MAX_TERM:
            state.counts["nonsense epochs"] += 1
            return
        if request.reload:
            granted = self._may_grant_reload(now, request)
        else:
            granted = self._may_grant(now, sender, request)
        if granted and not request.pre_vote:
            if request.term > state.current_term:
                state.observe_term(now, request.term)
            state.voted_for = sender
            if request.reload:
                state.seen_recovering.add(sender)
            state.reset_election_timer(now)
        state.send(
            sender,
            RequestVoteResponse(
                state.region, request.term, state.current_term, granted, request.pre_vote
            ),
        )

    def _may_grant(self, now: int, sender: str, request: RequestVote) -> bool:
        """Return whether the candidate may have this member's vote.

        It may if its log is at least as up to date as this member's, this member has not voted for
        another candidate in the term, and there is no leader. A leader that asks for a transfer may
        have the vote of its own followers.
        """
        state = self._state
        own = state.log.history, state.log.last
        if state.role is Role.RECOVERING or (request.history, request.last_log) < own:
            return False
        has_leader = state.role is Role.LEADER or state.has_leader_contact(now)
        if has_leader and not (request.transfer and sender == state.leader):
            return False
        return request.term > state.current_term or (
            request.term == state.current_term and state.voted_for in ("", sender)
        )

    def _may_grant_reload(self, now: int, request: RequestVote) -> bool:
        """Return whether this member, too, considers the log lost.

        A member that still has a log agrees only after `reload_wait_ns` without a leader. Before
        that, the members that have the log may still elect a leader, and a reload would discard
        committed changes.
        """
        state = self._state
        if request.term <= max(state.current_term, state.highest_reported.epoch):
            return False
        if state.role is Role.RECOVERING:
            return True
        without_leader = now - state.leader_contact_at
        return state.role is not Role.LEADER and without_leader >= state.timing.reload_wait_ns
