"""Messages between control machines about one region's log; `control.machine.codec` has the bytes.

The codec numbers the types by their order in `Message` and writes fields in their order here, so
that both orders are part of the wire format. Names of types and fields are not.
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
    history: Position  # of the candidate's log, as in `AppendEntries`
    last_log: Position  # the candidate's last entry, committed or not
    pre_vote: bool = False  # only whether the vote would be granted (thesis, section 9.6)
    reload: bool = False  # a majority has lost its log, which is to be loaded from its source
    transfer: bool = False  # the present leader asks, to begin a history above a reported position


@dataclass(frozen=True, slots=True)
class RequestVoteResponse:
    """The answer to a `RequestVote` for `term`."""

    region: str
    term: int
    current_term: int  # the voter's
    vote_granted: bool
    pre_vote: bool = False


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """The leader's AppendEntries RPC (paper, section 5.3); a heartbeat if it has no entries."""

    region: str
    term: int
    history: Position  # the term in which the log was loaded, and the index before its first entry
    prev_log: Position  # prevLogTerm and prevLogIndex
    entries: tuple[Change, ...]
    leader_commit: int
    needs_snapshot: bool = False  # the log does not reach back to the follower: it is to fetch one


@dataclass(frozen=True, slots=True)
class AppendEntriesResponse:
    """A follower's answer to an `AppendEntries`."""

    region: str
    term: int
    success: bool
    match_index: int  # on success, all up to it match; otherwise the last index that may match
    voting: bool = True  # False while the follower recovers: its log counts for no majority


@dataclass(frozen=True, slots=True)
class Fetch:
    """A learner asks a machine for committed changes after `position`; it may be a long poll."""

    region: str
    position: Position
    request_id: int  # repeated in the answer
    highest_reported: Position = START  # highest epoch and revision reported to the sender
    snapshot: Position | None = None  # of the snapshot whose next chunk is requested
    chunk: int = 0


@dataclass(frozen=True, slots=True)
class FetchResponse:
    """Committed changes after the position of the `Fetch`."""

    region: str
    request_id: int
    position: Position  # of the sender's log
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class ServiceRows:
    """Rows of one service in a snapshot of the log; a large service takes several."""

    service: str
    last_changed: int  # revision of its last change
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """One chunk of a log's snapshot as of `position` (paper, section 7), in answer to a `Fetch`.

    The receiver asks for each chunk in turn, and installs the snapshot once it has them all.
    """

    region: str
    request_id: int
    position: Position  # the last entry that the snapshot includes
    chunk: int  # from 0
    chunks: int
    services: tuple[ServiceRows, ...]
    last_deletion: int  # revision of the last deletion of any service
    epoch_starts: tuple[Position, ...]  # the first position of each epoch
    history: Position


@dataclass(frozen=True, slots=True)
class RecoveryRequest:
    """A restarted member asks the others for their state (Viewstamped Replication, 4.3)."""

    region: str
    nonce: int  # drawn at each start: answers to an earlier incarnation do not count


@dataclass(frozen=True, slots=True)
class RecoveryResponse:
    """The answer to a `RecoveryRequest`."""

    region: str
    nonce: int
    recovering: bool  # the sender has lost its own log too
    term: int
    last_log: Position  # its last entry, committed or not
    highest_reported: Position  # the highest epoch and revision reported to it


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
    """A message to be sent, and the machine that it goes to."""

    recipient: str
    message: Message
