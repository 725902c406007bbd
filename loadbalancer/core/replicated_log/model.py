"""Roles, times and bounds of the replicated log. Times are integer nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from loadbalancer.core.assignment.model import Position
from loadbalancer.core.balancing.model import MS, SECOND

MAX_REPORTED_TERM = 1 << 22  # a report beyond is not plausible and is ignored
# Higher than a reported term can be: a new history's term is above all reported ones.
MAX_TERM = 2 * MAX_REPORTED_TERM  # a message beyond is not plausible and is ignored
MAX_REPORTED_INDEX = 1 << 40  # as MAX_REPORTED_TERM, for the index


class Role(Enum):
    """A member's role in its region's group: the paper's section 5.1, and two more states."""

    RECOVERING = "recovering"  # restarted without its log: neither votes nor counts
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"  # asks whether it would win an election (thesis, 9.6)
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Timing:
    """Timeouts in nanoseconds, and bounds of messages and queues."""

    heartbeat_interval_ns: int = 200 * MS
    election_timeout_ns: int = 1_000 * MS  # the minimum; each is drawn from one to two times this
    fetch_timeout_ns: int = 1_000 * MS  # an unanswered fetch goes to the next machine
    fetch_hold_ns: int = 400 * MS  # a fetch without new changes is answered after that
    reload_wait_ns: int = 5 * SECOND  # without a leader, before a lost log is loaded again
    unreachable_wait_ns: int = 30 * SECOND  # as reload_wait_ns, while some member does not answer
    new_history_interval_ns: int = 30 * SECOND  # at least, between new histories by reports
    max_message_bytes: int = 256 * 1024  # of changes in one message
    max_uncommitted: int = 4096  # entries that wait for a majority


def highest(one: Position, other: Position) -> Position:
    """The higher epoch and the higher revision of two positions, each taken separately."""
    return Position(max(one.epoch, other.epoch), max(one.revision, other.revision))


def is_plausible(position: Position) -> bool:
    """Whether a reported position is within what any log can reach.

    Without the bound one malformed report would raise every later term and index up to it.
    """
    return 0 <= position.epoch <= MAX_REPORTED_TERM and 0 <= position.revision <= MAX_REPORTED_INDEX
