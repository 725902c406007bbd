"""Messages between control machines about one region's log.

`control.machine.codec` encodes them. It numbers the types by their order in `Message`, and writes
the fields in the order in which they are declared here. So both orders are part of the wire format,
while the names of types and fields are not.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from loadbalancer.core.assignment.model import START, Change, Position, Row


@dataclass(frozen=True, slots=True)
class RequestVote:
    """A candidate's RequestVote RPC (paper, section 5.2)."""

    region: str
    term: int
    history: Position  # of the candidate's log; see `AppendEntries`
    last_log: Position  # the candidate's last entry, committed or not
    pre_vote: bool = False  # ask only whether the vote would be granted (thesis, section 9.6)
    reload: bool = False  # a majority has lost its log; the winner loads it from its source
    transfer: bool = (
        False  # sent by the current leader, to begin a history above a reported position
    )


@dataclass(frozen=True, slots=True)
class RequestVoteResponse:
    """A voter's answer to a `RequestVote` for `term`."""

    region: str
    term: int
    current_term: int  # the voter's
    vote_granted: bool
    pre_vote: bool = False


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """The leader's AppendEntries RPC (paper, section 5.3); without entries it is a heartbeat."""

    region: str
    term: int
    history: Position  # the term in which the log was loaded, and the index before its first entry
    prev_log: Position  # prevLogTerm and prevLogIndex
    entries: tuple[Change, ...]
    leader_commit: int
    needs_snapshot: bool = False  # the next entries were compacted: the follower must fetch one


@dataclass(frozen=True, slots=True)
class AppendEntriesResponse:
    """A follower's answer to an `AppendEntries`."""

    region: str
    term: int
    success: bool
    match_index: int  # on success, the last matching index; otherwise the last one that may match
    voting: bool = True  # False while the follower is recovering and counts for no majority


@dataclass(frozen=True, slots=True)
class Fetch:
    """A learner's request for the committed changes after `position`; it may be a long poll."""

    region: str
    position: Position
    request_id: int  # repeated in the answer
    highest_reported: Position = START  # highest epoch and highest revision reported to the sender
    snapshot: Position | None = None  # of the snapshot whose next chunk is requested
    chunk: int = 0


@dataclass(frozen=True, slots=True)
class FetchResponse:
    """The answer to a `Fetch`: committed changes after the position of the fetch."""

    region: str
    request_id: int
    position: Position  # of the sender's log
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class ServiceRows:
    """Rows of one service in a snapshot chunk; a large service is divided among several."""

    service: str
    last_changed: int  # revision of the service's last change
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """The answer to a `Fetch`: one chunk of a snapshot as of `position` (paper, section 7).

    The receiver fetches the chunks one after the other, and installs the snapshot when it has all.
    """

    region: str
    request_id: int
    position: Position  # the last entry that the snapshot includes
    chunk: int  # number of this chunk, from 0
    chunks: int  # how many there are
    services: tuple[ServiceRows, ...]
    last_deletion: int  # revision of the last deletion of any service
    epoch_starts: tuple[Position, ...]  # the first position of each epoch
    history: Position


@dataclass(frozen=True, slots=True)
class RecoveryRequest:
    """A restarted member's request for the others' state (Viewstamped Replication, 4.3)."""

    region: str
    nonce: int  # drawn at each start, so that answers to an earlier incarnation are ignored


@dataclass(frozen=True, slots=True)
class RecoveryResponse:
    """A member's answer to a `RecoveryRequest`."""

    region: str
    nonce: int
    recovering: bool  # the sender has lost its own log as well
    term: int
    last_log: Position  # the sender's last entry, committed or not
    highest_reported: Position  # highest epoch and highest revision reported to the sender


RaftMessage = (
    RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | RecoveryRequest
    | RecoveryResponse
)
# The order is part of the wire format.
Message = (
    RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | Fetch
    | FetchResponse
    | InstallSnapshot
    | RecoveryRequest
    | RecoveryResponse
)


class Outgoing(NamedTuple):
    """A message to send, and the machine to send it to."""

    recipient: str
    message: Message
