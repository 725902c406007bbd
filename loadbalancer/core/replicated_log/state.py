"""State shared by the parts of a Raft member (paper, figure 2, "State"), and its transitions.

Election, leader, follower and recovery all read and write it. Rules that more than one of them
needs are implemented here.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace
from random import Random

from loadbalancer.core.assignment.model import START, Change, Position
from loadbalancer.core.replicated_log.messages import Message, Outgoing, RequestVote
from loadbalancer.core.replicated_log.model import Role, Timing, componentwise_max, is_plausible
from loadbalancer.core.replicated_log.raft_log import RaftLog

# The term of a new history is in the next block of this many terms above all known terms.
TERM_STRIDE = 256
# The first index of a new history is at the start of the next block of this many indexes. At 22,000
# changes a day, a block lasts for 45 days.
INDEX_STRIDE = 1_000_000
NONCE_BITS = 48

Outbox = list[Outgoing]  # in the order of sending


@dataclass(frozen=True, slots=True)
class Membership:
    """One member and the Raft group of its region."""

    region: str
    name: str  # of this member
    members: tuple[str, ...]  # all, including this one, in the same order at every member

    @property
    def others(self) -> tuple[str, ...]:
        """All members except this one."""
        return tuple(member for member in self.members if member != self.name)

    @property
    def majority(self) -> int:
        """How many members make up a majority of the group."""
        return len(self.members) // 2 + 1


class RaftState:
    """The member's role, term, vote and log, its election timer and its outbox."""

    def __init__(
        self,
        membership: Membership,
        log: RaftLog,
        seed: int,
        now: int,
        timing: Timing,
        outbox: Outbox,
    ) -> None:
        self.counts: Counter[str] = Counter()  # by event; the names appear in GET /status
        self.region = membership.region
        self.name = membership.name
        self.others = membership.others
        self.majority = membership.majority
        self.timing = timing
        self.log = log
        self.role = Role.RECOVERING
        self.current_term = 0
        self.voted_for = ""  # in the current term; "" if this member has not voted
        self.leader = ""  # of the current term; "" if unknown
        self.vote_request: RequestVote | None = None  # the one for which votes are being counted
        self.votes: set[str] = set()  # the members that have granted `vote_request`
        self.leader_contact_at = now  # time of the last AppendEntries
        self.needs_snapshot = False  # the entries after this log were compacted in the leader's
        self.highest_reported = START  # highest epoch and highest revision of any subscriber
        self.seen_recovering: set[str] = set()  # members seen without a log since this one started
        self.committed: list[Change] = []  # since `RaftMember.drain_committed` was last called
        self.replaced = False  # whether a load has replaced the change log since then
        self._index = membership.members.index(membership.name)
        self._outbox = outbox
        self._random = Random(seed)
        self.nonce = self._random.getrandbits(NONCE_BITS)
        self.election_at = now
        self.reset_election_timer(now)

    def observe_term(self, now: int, term: int) -> None:
        """Enter a higher term that was received in a message (paper, section 5.1)."""
        if self.role is Role.RECOVERING:
            self.current_term, self.voted_for = term, ""
        else:
            self.become_follower(now, term, "")

    def become_follower(self, now: int, term: int, leader: str) -> None:
        """Become a follower in this term; `leader` is "" if unknown."""
        if term > self.current_term:
            self.voted_for = ""
        self.current_term, self.leader, self.role = term, leader, Role.FOLLOWER
        self.vote_request = None
        self.reset_election_timer(now)

    def reset_election_timer(self, now: int) -> None:
        """Draw an election timeout of one to two times the minimum (paper, section 5.2)."""
        minimum = self.timing.election_timeout_ns
        self.election_at = now + minimum + self._random.randrange(minimum)

    def has_leader_contact(self, now: int) -> bool:
        """Return whether a leader sent within the minimum election timeout (paper, section 6)."""
        return now - self.leader_contact_at < self.timing.election_timeout_ns

    def append(self, change: Change) -> Position:
        """Append a change as the leader's next entry; its position is replaced by the entry's."""
        position = Position(self.current_term, self.log.last.revision + 1)
        self.log.append(replace(change, position=position))
        return position

    def commit(self, index: int) -> None:
        """Commit the entries up to `index`, and apply them."""
        committed = self.log.commit(index)
        self.committed += committed.changes
        self.replaced |= committed.replaced

    def record_reported(self, position: Position) -> bool:
        """Record a position that was reported; return False if it is implausible."""
        if not is_plausible(position):
            self.counts["nonsense reported"] += 1
            return False
        self.highest_reported = componentwise_max(self.highest_reported, position)
        return True

    def new_history_term(self) -> int:
        """Return a term above all known ones that no other member chooses.

        Each block of `TERM_STRIDE` terms is divided among the members, so that two members that
        begin a history at the same time choose different terms.
        """
        highest_known = max(self.current_term, self.highest_reported.epoch, self.log.last.epoch)
        members = len(self.others) + 1
        drawn = self._random.randrange(TERM_STRIDE // members)
        return (highest_known // TERM_STRIDE + 1) * TERM_STRIDE + drawn * members + self._index

    def new_history_start(self) -> Position:
        """Return the current term, and an index above all known ones, for a new history."""
        highest_known = max(self.highest_reported.revision, self.log.last.revision)
        return Position(self.current_term, (highest_known // INDEX_STRIDE + 1) * INDEX_STRIDE)

    def send(self, recipient: str, message: Message) -> None:
        """Put a message into the outbox."""
        self._outbox.append(Outgoing(recipient, message))
