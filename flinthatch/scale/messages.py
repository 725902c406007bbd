"""What control machines say to each other: typed messages; their bytes are the sender's matter.

Every message names the region whose log it is about. Terms are epochs, indexes are revisions
(Ongaro and Ousterhout, 2014: "In Search of an Understandable Consensus Algorithm").
"""

from __future__ import annotations

from dataclasses import dataclass

from flinthatch.scale.model import Change, Position, Row


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for a vote in `epoch`; with `trial` only whether it would be given (a pre-vote)."""

    region: str
    epoch: int
    last: Position  # the candidate's last entry, accepted or not
    trial: bool = False
    reload: bool = False  # the region has lost its log: see `Replica.load`


@dataclass(frozen=True, slots=True)
class Vote:
    """The answer to a `VoteRequest` for `epoch`; `current` is the voter's own epoch."""

    region: str
    epoch: int
    current: int
    granted: bool
    trial: bool = False
    reload: bool = False


@dataclass(frozen=True, slots=True)
class Append:
    """The leader's entries after `previous`, and how far they are accepted. Heartbeat if empty."""

    region: str
    epoch: int
    previous: Position
    entries: tuple[Change, ...]
    accepted: int  # the revision up to which a majority holds the log
    serial: int = 0  # grows with each message of this leader, so that late answers are known


@dataclass(frozen=True, slots=True)
class Appended:
    """A follower's answer to an `Append` or the last `ImagePart`: it holds all up to `revision`.

    Where not `ok`, `revision` is the last that may still match the leader's log.
    """

    region: str
    epoch: int
    ok: bool
    revision: int
    serial: int = 0


@dataclass(frozen=True, slots=True)
class Fetch:
    """Asks any machine for accepted changes after `position`; it may wait for one."""

    region: str
    position: Position
    serial: int
    part: int = 0  # of the image of `image`, where the answers are its parts
    image: Position | None = None


@dataclass(frozen=True, slots=True)
class Fetched:
    """Accepted changes after the position asked for; `position` is how far the sender's log is."""

    region: str
    serial: int
    position: Position
    changes: tuple[Change, ...]
    epoch: int = 0  # the highest epoch that the sender has heard of


@dataclass(frozen=True, slots=True)
class ServiceImage:
    """One service in an image of the log; one of very many rows goes in several."""

    service: str
    changed: int  # revision of its last change
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class ImagePart:
    """One part of the log's image as of `position`; taken over when all parts are there."""

    region: str
    epoch: int  # of the leader that sends it; 0 where it answers a `Fetch`
    position: Position
    part: int
    parts: int
    services: tuple[ServiceImage, ...]
    gone: int
    epochs: tuple[Position, ...]
    serial: int = 0


@dataclass(frozen=True, slots=True)
class ImageWanted:
    """A follower asks its leader for one part of an image, from part 0 on."""

    region: str
    epoch: int
    position: Position
    part: int


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """A machine that has started empty asks its region's others what they have."""

    region: str
    nonce: int  # drawn anew with each start, so that no answer to an earlier life counts


@dataclass(frozen=True, slots=True)
class Status:
    """The answer: whether the sender itself is empty, its epoch, its log and who leads."""

    region: str
    nonce: int
    empty: bool
    epoch: int
    last: Position  # its last entry, accepted or not
    leader: str  # "" where it knows none
    reported: int  # the highest epoch that it has heard of from anyone


Message = (
    VoteRequest
    | Vote
    | Append
    | Appended
    | Fetch
    | Fetched
    | ImagePart
    | ImageWanted
    | StatusRequest
    | Status
)
