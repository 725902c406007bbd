"""State that the parts of a group's member share (paper, figure 2, "State"), and its transitions.

Elections, the leader's replication, the follower's part and recovery read and write it; the rules
that more than one of them needs stand here once.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace
from random import Random

from loadbalancer.core.assignment.model import START, Change, Position
from loadbalancer.core.replicated_log.messages import Message, Outgoing, RequestVote
from loadbalancer.core.replicated_log.model import Role, Timing, highest, is_plausible
from loadbalancer.core.replicated_log.raft_log import RaftLog

TERM_STRIDE = 256  # a new history's term is in the next block of this size above all known terms
INDEX_STRIDE = 1_000_000  # its first index likewise: a block is 45 days at 22,000 changes a day
NONCE_BITS = 48

Outbox = list[Outgoing]  # in the order of sending


@dataclass(frozen=True, slots=True)
class Membership:
    """One member's place in its region's group."""

    region: str
    name: str
    members: tuple[str, ...]  # all, itself included, in the same order at every member

    @property
    def others(self) -> tuple[str, ...]:
        """All members but this one."""
        return tuple(member for member in self.members if member != self.name)

    @property
    def majority(self) -> int:
        """How many members are a majority of the group."""
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
        self.counts: Counter[str] = Counter()  # by names that are part of GET /status
        self.region = membership.region
        self.name = membership.name
        self.others = membership.others
        self.majority = membership.majority
        self.timing = timing
        self.log = log
        self.role = Role.RECOVERING
        self.current_term = 0
        self.voted_for = ""  # in the current term, "" for nobody
        self.leader = ""  # of the current term, "" where none is known
        self.ballot: RequestVote | None = None  # the request whose answers are being counted
        self.votes: set[str] = set()  # the members that granted it
        self.leader_contact_at = now  # when an AppendEntries last came
        self.needs_snapshot = False  # the leader's log does not reach back to this member's
        self.highest_reported = START  # the highest epoch and revision of any subscriber
        self.seen_recovering: set[str] = set()  # members seen without a log since this start
        self.committed: list[Change] = []  # drained by the replica
        self.replaced = False  # the change log was replaced by a load; cleared by the replica
        self._index = membership.members.index(membership.name)
        self._outbox = outbox
        self._random = Random(seed)
        self.nonce = self._random.getrandbits(NONCE_BITS)
        self.election_at = now
        self.reset_election_timer(now)

    # ---- roles and terms -------------------------------------------------

    def observe_term(self, now: int, term: int) -> None:
        """Enter a higher term that a message names (paper, section 5.1)."""
        if self.role is Role.RECOVERING:
            self.current_term, self.voted_for = term, ""
        else:
            self.become_follower(now, term, "")

    def become_follower(self, now: int, term: int, leader: str) -> None:
        """Follow in this term; `leader` is "" where it is not known."""
        if term > self.current_term:
            self.voted_for = ""
        self.current_term, self.leader, self.role = term, leader, Role.FOLLOWER
        self.ballot = None
        self.reset_election_timer(now)

    def reset_election_timer(self, now: int) -> None:
        """Draw the next election timeout, from one to two times the minimum (paper, 5.2)."""
        minimum = self.timing.election_timeout_ns
        self.election_at = now + minimum + self._random.randrange(minimum)

    def hears_leader(self, now: int) -> bool:
        """Whether a leader was heard within the minimum election timeout (paper, section 6)."""
        return now - self.leader_contact_at < self.timing.election_timeout_ns

    # ---- log -------------------------------------------------------------

    def append(self, change: Change) -> Position:
        """Append the leader's next entry, at its own position instead of the change's."""
        position = Position(self.current_term, self.log.last.revision + 1)
        self.log.append(replace(change, position=position))
        return position

    def commit(self, index: int) -> None:
        """Commit and apply the entries up to `index`."""
        committed = self.log.commit(index)
        self.committed += committed.changes
        self.replaced |= committed.replaced

    # ---- histories -------------------------------------------------------

    def note_reported(self, position: Position) -> bool:
        """Remember a position that a subscriber or a machine has; False if it is implausible."""
        if not is_plausible(position):
            self.counts["nonsense reported"] += 1
            return False
        self.highest_reported = highest(self.highest_reported, position)
        return True

    def new_history_term(self) -> int:
        """A term above all known ones, which no other member chooses.

        Each block of `TERM_STRIDE` terms is divided among the members, so that two members which
        begin a history at the same time choose different terms.
        """
        known = max(self.current_term, self.highest_reported.epoch, self.log.last.epoch)
        members = len(self.others) + 1
        drawn = self._random.randrange(TERM_STRIDE // members)
        return (known // TERM_STRIDE + 1) * TERM_STRIDE + drawn * members + self._index

    def new_history(self) -> Position:
        """The current term, and an index above all known ones, from which a history begins."""
        known = max(self.highest_reported.revision, self.log.last.revision)
        return Position(self.current_term, (known // INDEX_STRIDE + 1) * INDEX_STRIDE)

    # ---- messages --------------------------------------------------------

    def send(self, recipient: str, message: Message) -> None:
        """Leave a message to be sent."""
        self._outbox.append(Outgoing(recipient, message))
