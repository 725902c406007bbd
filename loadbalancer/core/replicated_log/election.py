"""Elections: pre-votes, votes and who may be elected.

Paper, section 5.2 (elections), 5.4.1 (only a candidate with all committed entries) and section 6
(no vote while a leader is heard); thesis, section 9.6 (pre-vote).
"""

from __future__ import annotations

from collections.abc import Callable

from loadbalancer.core.assignment.model import Position
from loadbalancer.core.replicated_log.messages import RequestVote, RequestVoteResponse
from loadbalancer.core.replicated_log.model import MAX_TERM, Role, highest
from loadbalancer.core.replicated_log.state import RaftState


class Election:
    """One member as a candidate and as a voter."""

    def __init__(self, state: RaftState, on_elected: Callable[[int, RequestVote], None]) -> None:
        """`on_elected` is given the time and the request that a majority has granted."""
        self._state = state
        self._on_elected = on_elected

    # ---- candidate -------------------------------------------------------

    def start_pre_vote(self, now: int) -> None:
        """Ask whether an election would be won.

        A member that cannot be elected raises no term this way, and so does not make a working
        leader step down.
        """
        state = self._state
        state.reset_election_timer(now)
        state.role, state.leader = Role.PRE_CANDIDATE, ""
        self._request_votes(self._ballot(state.current_term + 1, pre_vote=True))

    def start(self, now: int, term: int, reload: bool = False, transfer: bool = False) -> None:
        """Begin an election in `term`; a reload leaves the member RECOVERING until it has won."""
        state = self._state
        state.reset_election_timer(now)
        state.current_term, state.voted_for, state.leader = term, state.name, ""
        if not reload:
            state.role = Role.CANDIDATE
        self._request_votes(self._ballot(term, reload=reload, transfer=transfer))

    def _ballot(
        self, term: int, pre_vote: bool = False, reload: bool = False, transfer: bool = False
    ) -> RequestVote:
        state = self._state
        return RequestVote(
            state.region, term, state.log.history, state.log.last, pre_vote, reload, transfer
        )

    def _request_votes(self, ballot: RequestVote) -> None:
        state = self._state
        state.ballot = ballot
        state.votes = {state.name}
        for other in state.others:
            state.send(other, ballot)

    def on_response(self, now: int, sender: str, response: RequestVoteResponse) -> None:
        """Count a vote; with a majority, a pre-vote starts an election, and an election is won."""
        state, ballot = self._state, self._state.ballot
        if not response.vote_granted:
            self._on_refusal(now, response)
            return
        if ballot is None or (response.term, response.pre_vote) != (ballot.term, ballot.pre_vote):
            return
        state.votes.add(sender)
        if len(state.votes) < state.majority:
            return
        state.ballot = None
        if ballot.pre_vote:
            self.start(now, ballot.term)
        elif state.current_term == ballot.term:
            self._on_elected(now, ballot)

    def _on_refusal(self, now: int, response: RequestVoteResponse) -> None:
        state = self._state
        if response.current_term <= state.current_term:
            return
        # Also where the term is not entered: a new history must begin in a term above it.
        state.highest_reported = highest(state.highest_reported, Position(response.current_term, 0))
        if state.role is not Role.RECOVERING and response.current_term <= MAX_TERM:
            state.observe_term(now, response.current_term)

    # ---- voter -----------------------------------------------------------

    def on_request(self, now: int, sender: str, request: RequestVote) -> None:
        """Grant or refuse a vote; at most one is granted in a term."""
        state = self._state
        if request.term > MAX_TERM:
            state.counts["nonsense epochs"] += 1
            return
        if request.reload:
            granted = self._grants_reload(now, request)
        else:
            granted = self._grants(now, sender, request)
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

    def _grants(self, now: int, sender: str, request: RequestVote) -> bool:
        """Whether its log is up to date, no leader is heard, and no other member has the vote."""
        state = self._state
        own = state.log.history, state.log.last
        if state.role is Role.RECOVERING or (request.history, request.last_log) < own:
            return False
        has_leader = state.role is Role.LEADER or state.hears_leader(now)
        if has_leader and not (request.transfer and sender == state.leader):
            return False
        return request.term > state.current_term or (
            request.term == state.current_term and state.voted_for in ("", sender)
        )

    def _grants_reload(self, now: int, request: RequestVote) -> bool:
        """Whether the log counts as lost here too.

        A member that still has a log agrees only after `reload_wait_ns` without a leader: before
        that, the log's own group may elect one, and a reload would discard committed changes.
        """
        state = self._state
        if request.term <= max(state.current_term, state.highest_reported.epoch):
            return False
        if state.role is Role.RECOVERING:
            return True
        without_leader = now - state.leader_contact_at
        return state.role is not Role.LEADER and without_leader >= state.timing.reload_wait_ns
