"""One member of the Raft group that holds a region's log: its parts, and who gets which event.

Raft as in the paper, with pre-votes and the leader's check of its quorum as in the thesis, and
recovery without storage as in Viewstamped Replication. Sans-I/O: given messages and the time in
nanoseconds, it leaves what is to be sent in the outbox.
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
    """A member of one region's group."""

    def __init__(
        self,
        membership: Membership,
        change_log: ChangeLog,
        seed: int,
        now: int,
        timing: Timing,
        outbox: Outbox,
    ) -> None:
        """`change_log` is written to here alone; `seed` is to differ at each start."""
        self.log = RaftLog(change_log)
        self.state = RaftState(membership, self.log, seed, now, timing, outbox)
        self._leader = Leader(self.state, now)
        self._election = Election(self.state, self._on_elected)
        self._recovery = Recovery(self.state, self._election, now)
        self._follower = Follower(self.state, self._recovery)

    # ---- for the replica -------------------------------------------------

    @property
    def role(self) -> Role:
        """What this member is in its group."""
        return self.state.role

    @property
    def current_term(self) -> int:
        """The highest term that this member has entered."""
        return self.state.current_term

    @property
    def leader(self) -> str:
        """The leader of the current term, "" where none is known."""
        return self.state.leader

    @property
    def counts(self) -> Counter[str]:
        """Events by name, messages that could not be used included."""
        return self.state.counts

    def has_leader(self, now: int) -> bool:
        """Whether entries come from a leader, or are its own: nothing has to be fetched."""
        if self.state.role is Role.LEADER:
            return True
        return self.state.hears_leader(now) and not self.state.needs_snapshot

    def needs_load(self) -> bool:
        """Whether this member leads and has to load the log from its source."""
        return self._leader.needs_load()

    def accepts_snapshot(self, snapshot: LogSnapshot) -> bool:
        """Whether a snapshot may be installed.

        One of an older history may only where this member has no log of its own, so that it
        serves the old history on until a newer one comes.
        """
        return self.role is Role.RECOVERING or snapshot.history >= self.log.history

    def has_capacity(self) -> bool:
        """Whether the leader takes one more change."""
        waiting = len(self.log.uncommitted)
        return self.log.is_loaded() and waiting < self.state.timing.max_uncommitted

    def propose(self, change: Change) -> Position:
        """Append a change as the leader's next entry; returns its position."""
        return self._leader.propose(change)

    def load(self, services: Mapping[str, Iterable[Row]]) -> None:
        """Load all services from their source; see `needs_load`."""
        self._leader.load(services)

    def drain_committed(self) -> Committed:
        """Changes committed since the last call, and whether they replaced the change log."""
        state = self.state
        drained = Committed(state.committed, state.replaced)
        state.committed, state.replaced = [], False
        return drained

    # ---- events ----------------------------------------------------------

    def on_tick(self, now: int) -> None:
        """Time has passed."""
        role = self.state.role
        if role is Role.LEADER:
            self._leader.on_tick(now)
        elif role is Role.RECOVERING:
            self._recovery.on_tick(now)
        elif now >= self.state.election_at:
            self._election.start_pre_vote(now)

    def on_reported(self, now: int, position: Position) -> None:
        """Somebody has this position of the region's log."""
        state = self.state
        if state.note_reported(position) and self._leader.needs_new_history(now, position):
            self._leader.on_new_history(now)
            self._election.start(now, state.new_history_term(), transfer=True)

    def on_message(self, now: int, sender: str, message: RaftMessage) -> None:
        """Handle a message of another member.

        Raises:
            InvalidInputError: entries do not follow each other.
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

    def _on_elected(self, now: int, ballot: RequestVote) -> None:
        """Lead; after a transfer, the new history begins with what the old one had."""
        self._leader.start(now, new_history=ballot.reload or ballot.transfer)
        if ballot.transfer:
            self.load(self.log.rows())
