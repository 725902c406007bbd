"""What control machines say to each other: typed messages; their bytes are the sender's matter.

Every message names the region whose log it is about. An epoch is a term and a revision an index
of Raft (Ongaro and Ousterhout, 2014: "In Search of an Understandable Consensus Algorithm").
"""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.core.assignment.model import START, Change, Position, Row


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for a vote in `epoch`."""

    region: str
    epoch: int
    history: Position  # of the candidate's log, as in `Append`
    last: Position  # its last entry, accepted or not
    trial: bool = False  # only whether it would be given (a pre-vote)
    reload: bool = False  # a majority of the region has lost its log, which is to be loaded again
    transfer: bool = False  # the leader itself asks, to begin a history above a position reported


@dataclass(frozen=True, slots=True)
class Vote:
    """The answer to a `VoteRequest` for `epoch`; `current` is the voter's own epoch."""

    region: str
    epoch: int
    current: int
    granted: bool
    trial: bool = False


@dataclass(frozen=True, slots=True)
class Append:
    """The leader's entries after `previous`, and how far they are accepted. Heartbeat if empty."""

    region: str
    epoch: int
    history: Position  # the epoch in which the log was loaded, the revision before its first
    previous: Position
    entries: tuple[Change, ...]
    accepted: int  # the revision up to which a majority holds the log
    far: bool = False  # the log does not reach back to the follower: it is to fetch an image


@dataclass(frozen=True, slots=True)
class Appended:
    """A follower's answer to an `Append`.

    Where `ok`, it holds all up to `revision`; otherwise that is the last that may match.
    `counts` is False from a machine that has lost its memory: it is sent more, and that is all.
    """

    region: str
    epoch: int
    ok: bool
    revision: int
    counts: bool = True


@dataclass(frozen=True, slots=True)
class Fetch:
    """Asks any machine for accepted changes after `position`; it may wait for one."""

    region: str
    position: Position
    serial: int  # is repeated in the answer
    reported: Position = START  # the highest epoch and revision that the sender has heard of
    image: Position | None = None  # of the image whose next part is asked for
    part: int = 0


@dataclass(frozen=True, slots=True)
class Fetched:
    """Accepted changes after the position asked for; `position` is how far the sender's log is."""

    region: str
    serial: int
    position: Position
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class ServiceImage:
    """One service in an image of the log; one of very many rows goes in several."""

    service: str
    changed: int  # revision of its last change
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class ImagePart:
    """One part of a log's image as of `position`; taken over when all parts are there."""

    region: str
    serial: int
    position: Position
    part: int  # from 0
    parts: int
    services: tuple[ServiceImage, ...]
    gone: int
    epochs: tuple[Position, ...]
    history: Position


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """A machine that has started empty asks its region's others what they have."""

    region: str
    nonce: int  # drawn anew with each start, so that no answer to an earlier life counts


@dataclass(frozen=True, slots=True)
class Status:
    """The answer to a `StatusRequest`."""

    region: str
    nonce: int
    empty: bool  # the sender itself has lost its memory
    epoch: int
    last: Position  # its last entry, accepted or not
    reported: Position  # the highest epoch and revision that it has heard of from anyone


Message = (
    VoteRequest | Vote | Append | Appended | Fetch | Fetched | ImagePart | StatusRequest | Status
)
