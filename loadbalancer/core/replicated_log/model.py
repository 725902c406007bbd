"""Roles, timeouts and limits of the replicated log. Times are integer nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from loadbalancer.core.assignment.model import Position
from loadbalancer.core.balancing.model import MS, SECOND

MAX_REPORTED_TERM = 1 << 22  # a report with a higher term is implausible and is ignored
# A message with a higher term is ignored. The limit exceeds MAX_REPORTED_TERM because the term of a
# new history is above all reported terms.
MAX_TERM = 2 * MAX_REPORTED_TERM
MAX_REPORTED_INDEX = 1 << 40  # a report with a higher index is implausible and is ignored


class Role(Enum):
    """A member's role in its region's Raft group (paper, section 5.1), with two additional ones."""

    RECOVERING = "recovering"  # restarted without its log: has no vote, counts for no majority
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"  # asks whether it would win an election (thesis, section 9.6)
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Timing:
    """Timeouts in nanoseconds, and limits of messages and queues.

    Attributes:
        heartbeat_interval_ns: time between two heartbeats of a leader.
        election_timeout_ns: minimum election timeout; each is drawn from one to two times this.
        fetch_timeout_ns: time after which a learner fetches from the next machine.
        fetch_hold_ns: maximum time for which a fetch waits for new changes.
        reload_wait_ns: time without a leader after which a lost log is loaded again.
        unreachable_wait_ns: the same if some member does not respond.
        new_history_interval_ns: minimum time between new histories that begin because of a reported
            position.
        max_message_bytes: approximate maximum size of the changes in one message.
        max_uncommitted: number of uncommitted entries at which the leader refuses proposals.
    """

    heartbeat_interval_ns: int = 200 * MS
    election_timeout_ns: int = 1_000 * MS
    fetch_timeout_ns: int = 1_000 * MS
    fetch_hold_ns: int = 400 * MS
    reload_wait_ns: int = 5 * SECOND
    unreachable_wait_ns: int = 30 * SECOND
    new_history_interval_ns: int = 30 * SECOND
    max_message_bytes: int = 256 * 1024
    max_uncommitted: int = 4096


def componentwise_max(first: Position, second: Position) -> Position:
    """Return the higher epoch and the higher revision of two positions, taken separately."""
    return Position(max(first.epoch, second.epoch), max(first.revision, second.revision))


def is_plausible(position: Position) -> bool:
    """Return whether a log could have reached a reported position.

    Without this check, one malformed report would raise all later terms and indexes above it.
    """
    return 0 <= position.epoch <= MAX_REPORTED_TERM and 0 <= position.revision <= MAX_REPORTED_INDEX
