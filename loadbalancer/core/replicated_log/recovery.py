"""Recovery of a restarted member, which has lost its log because logs are in memory only.

The member may have acknowledged entries, or granted votes, that it no longer knows of. So it does
not vote, lead or count for a majority until all other members of its group have responded, none of
them recovering, and it has caught up with their logs (Liskov and Cowling 2012, "Viewstamped
Replication Revisited", section 4.3).

If too many members have lost their logs for that, a majority elects a leader that loads the log
again from its source, in a term and from an index above all that subscribers have reported.
"""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.core.assignment.model import Position
from loadbalancer.core.replicated_log.election import Election
from loadbalancer.core.replicated_log.messages import RecoveryRequest, RecoveryResponse
from loadbalancer.core.replicated_log.model import Role, componentwise_max
from loadbalancer.core.replicated_log.state import RaftState

# A response is ignored once it is older than this many times the minimum election timeout.
RESPONSE_TTL_FACTOR = 2


@dataclass(frozen=True, slots=True)
class _ReceivedResponse:
    """A member's last response, and the time in nanoseconds at which it was received."""

    response: RecoveryResponse
    received_at: int


class Recovery:
    """The recovery of one member, and its answers to other members that recover."""

    def __init__(self, state: RaftState, election: Election, now: int) -> None:
        self._state = state
        self._election = election
        self._started = now
        self._request_at = now
        self._received: dict[str, _ReceivedResponse] = {}  # the last response, by member

    def on_tick(self, now: int) -> None:
        """Ask the other members for their state, and start an election if the log is lost."""
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
        """Return whether the log has to be loaded again from its source.

        That is the case if a majority responds, but no majority still has a log, and this has
        lasted for `reload_wait_ns`, or `unreachable_wait_ns` if not all members respond.
        """
        state, timing = self._state, self._state.timing
        recent = [
            received.response
            for received in self._received.values()
            if now - received.received_at < RESPONSE_TTL_FACTOR * timing.election_timeout_ns
        ]
        if sum(not response.recovering for response in recent) >= state.majority:
            return False
        all_respond = len(recent) == len(state.others)
        wait = timing.reload_wait_ns if all_respond else timing.unreachable_wait_ns
        waited = now - max(self._started, state.leader_contact_at)
        return len(recent) + 1 >= state.majority and waited >= wait

    def on_request(self, sender: str, request: RecoveryRequest) -> None:
        """Send this member's state to a member that recovers."""
        state = self._state
        state.send(
            sender,
            RecoveryResponse(
                state.region, request.nonce, state.role is Role.RECOVERING, state.current_term,
                state.log.last, state.highest_reported,
            ),
        )  # fmt: skip

    def on_response(self, now: int, sender: str, response: RecoveryResponse) -> None:
        """Store another member's state, if it is the answer to a request of this incarnation."""
        state = self._state
        if response.nonce != state.nonce or state.role is not Role.RECOVERING:
            return
        reported = componentwise_max(response.highest_reported, Position(response.term, 0))
        state.record_reported(componentwise_max(reported, response.last_log))
        if response.recovering:
            state.seen_recovering.add(sender)
        self._received[sender] = _ReceivedResponse(response, now)

    def on_new_history(self, now: int, leader: str, term: int) -> None:
        """Become a follower if a new history makes this member's lost log irrelevant.

        It does if the leader was itself seen recovering since this member's restart. Then the load
        began after the restart, so it cannot contain anything that this member acknowledged before.
        """
        state = self._state
        if state.role is Role.RECOVERING and leader in state.seen_recovering:
            state.become_follower(now, term, leader)

    def complete_if_caught_up(self, term: int) -> None:
        """Become a follower once the log has all entries that the others had in their responses."""
        state = self._state
        if state.role is not Role.RECOVERING or len(self._received) < len(state.others):
            return
        responses = [received.response for received in self._received.values()]
        if any(response.recovering for response in responses):
            return
        last_log = max(response.last_log for response in responses)
        highest_term = max(response.term for response in responses)
        if term >= highest_term and state.log.last >= last_log:
            state.role = Role.FOLLOWER
            state.counts["returned"] += 1
