"""One member of the Raft group that replicates a region's log.

`RaftMember` dispatches events to the parts of a member: election, leader, follower and recovery.
The protocol is Raft as in the paper, with pre-votes and the leader's quorum check as in the thesis.
Logs are in memory only; a restarted member recovers as in Viewstamped Replication. Sans-I/O: the
caller passes in messages and the time in nanoseconds, and sends what is put into the outbox.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from loadbalancer.core.assignment.model import Change, Position, Row
from loadbalancer.core.replicated_log.change_log import ChangeLog, LogSnapshot
from loadbalancer.core.replicated_log.election import Election
from loadbalancer.core.replicated_log.follower import Follower
from loadbalancer.core.replicated_log.leader import Leader
from loadbalancer.core.replicated_log.messages import (
    AppendEntries,
    AppendEntriesResponse,
    RaftMessage,
    RecoveryRequest,
    RecoveryResponse,
    RequestVote,
    RequestVoteResponse,
)
from loadbalancer.core.replicated_log.model import Role, Timing
from loadbalancer.core.replicated_log.raft_log import Committed, RaftLog
from loadbalancer.core.replicated_log.recovery import Recovery
from loadbalancer.core.replicated_log.state import Membership, Outbox, RaftState


class RaftMember:
    """A member of one region's Raft group."""

    def __init__(
        self,
        membership: Membership,
        change_log: ChangeLog,
        seed: int,
        now: int,
        timing: Timing,
        outbox: Outbox,
    ) -> None:
        """Create a member that has just started and begins to recover.

        Args:
            membership: this member and the others of its group.
            change_log: the log of committed changes; nothing else may write to it.
            seed: for election timeouts and nonces; it must differ at each start.
            now: the time in nanoseconds.
            timing: timeouts and limits.
            outbox: receives the messages to send.
        """
        self.log = RaftLog(change_log)
        self.state = RaftState(membership, self.log, seed, now, timing, outbox)
        self._leader = Leader(self.state, now)
        self._election = Election(self.state, self._on_elected)
        self._recovery = Recovery(self.state, self._election, now)
        self._follower = Follower(self.state, self._recovery)

    @property
    def role(self) -> Role:
        """This member's role in its group."""
        return self.state.role

    @property
    def current_term(self) -> int:
        """The highest term that this member has entered."""
        return self.state.current_term

    @property
    def leader(self) -> str:
        """The leader of the current term, or "" if unknown."""
        return self.state.leader

    @property
    def counts(self) -> Counter[str]:
        """Counters of events, including rejected messages, by the names shown in GET /status."""
        return self.state.counts

    def has_leader(self, now: int) -> bool:
        """Return whether this member is the leader or receives entries from one.

        Otherwise it has to fetch committed changes as a learner.
        """
        if self.state.role is Role.LEADER:
            return True
        return self.state.has_leader_contact(now) and not self.state.needs_snapshot

    def needs_load(self) -> bool:
        """Return whether this member is the leader and has to load the log from its source."""
        return self._leader.needs_load()

    def accepts_snapshot(self, snapshot: LogSnapshot) -> bool:
        """Return whether a snapshot may be installed.

        A snapshot of an older history is accepted only by a recovering member, which has no log: it
        serves the old history to subscribers until it receives a newer one.
        """
        return self.role is Role.RECOVERING or snapshot.history >= self.log.history

    def has_capacity(self) -> bool:
        """Return whether the leader accepts another proposal."""
        uncommitted = len(self.log.uncommitted)
        return self.log.is_loaded() and uncommitted < self.state.timing.max_uncommitted

    def propose(self, change: Change) -> Position:
        """Append a change as the leader's next entry, and return its position."""
        return self._leader.propose(change)

    def load(self, services: Mapping[str, Iterable[Row]]) -> None:
        """Load all services, as read from their source; does nothing unless `needs_load`."""
        self._leader.load(services)

    def drain_committed(self) -> Committed:
        """Return the changes committed since the last call, and whether they replaced the log."""
        state = self.state
        drained = Committed(state.committed, state.replaced)
        state.committed, state.replaced = [], False
        return drained

    def on_tick(self, now: int) -> None:
        """Handle timeouts of the current role."""
        role = self.state.role
        if role is Role.LEADER:
            self._leader.on_tick(now)
        elif role is Role.RECOVERING:
            self._recovery.on_tick(now)
        elif now >= self.state.election_at:
            self._election.start_pre_vote(now)

    def on_reported(self, now: int, position: Position) -> None:
        """Handle a position of this region's log that a subscriber has reported."""
        state = self.state
        if state.record_reported(position) and self._leader.needs_new_history(now, position):
            self._leader.on_new_history(now)
            self._election.start(now, state.new_history_term(), transfer=True)

    def on_message(self, now: int, sender: str, message: RaftMessage) -> None:
        """Handle a message from another member.

        Raises:
            InvalidInputError: positions of entries in the message are not consecutive.
        """
        match message:
            case AppendEntries():
                self._follower.on_append(now, sender, message)
            case AppendEntriesResponse():
                self._leader.on_response(now, sender, message)
            case RequestVote():
                self._election.on_request(now, sender, message)
            case RequestVoteResponse():
                self._election.on_response(now, sender, message)
            case RecoveryRequest():
                self._recovery.on_request(sender, message)
            case RecoveryResponse():
                self._recovery.on_response(now, sender, message)

    def _on_elected(self, now: int, request: RequestVote) -> None:
        """Become the leader; after a transfer, load the new history with the committed rows."""
        self._leader.start(now, new_history=request.reload or request.transfer)
        if request.transfer:
            self.load(self.log.rows())
