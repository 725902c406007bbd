"""The gossip messages between nodes, as plain data.

Four kinds of record, each a statement that any node may pass on and nobody but its
writer may change. Times are spans in nanoseconds: no node's clock is read at another.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple
from zlib import crc32

from loadbalancer.core.balancing.model import State

MOST_INCARNATION = 1 << 48  # milliseconds since 1970 stay under it for some thousands of years
MOST_SERIAL = 1 << 32  # an answer repeats it, and has room for five bytes of it
MAX_FAILURES = 15
MOST_RATIO = 160  # sixteenths
MOST_NUMBER = 1 << 63  # of versions and the like: what MessagePack has room for


class Standing(IntEnum):
    """In this order the later wins within one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class How(IntEnum):
    """A reader's state: it asks, it was answered, it was turned away."""

    ASKING = 0
    READ = 1
    FAILED = 2


class Life(NamedTuple):
    """Who lives: an incarnation is the node's own, accusers may only raise its standing in it."""

    node: int
    incarnation: int
    standing: int


class Listed(NamedTuple):
    """The list service's statement on a server that is to get nothing new, by its version."""

    server: int
    boot: int  # the server's start as the list gives it, Unix milliseconds, 0 for long ago
    rev: int
    state: int  # DRAINING or GONE: READY is never passed on
    age: int


class Observation(NamedTuple):
    """What one node's own attempts at a server have come to; all 0 takes it back."""

    server: int
    boot: int
    origin: int
    incarnation: int
    number: int
    failures: int  # failures in a row, no answer between
    cold: int  # 1 where its process seems to have gone: cold once it is back
    full: int  # attempts turned away in a row
    ratio: int  # time taken against the fleet's, in sixteenths
    age: int


class Reading(NamedTuple):
    """One node as a reader of the list for all: how that stands, and the version it has by it."""

    node: int
    incarnation: int
    number: int
    how: int  # ASKING, READ or FAILED
    epoch: int  # raised by whoever reads that the service counts from anew
    rev: int
    mark: int  # of the rows, in any order
    age: int  # since the service said so


Record = Life | Listed | Observation | Reading


class Kind(IntEnum):
    """Of a message. The first three are SWIM's: ping, ack, ping-req."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    GOSSIP = 3
    DIGEST = 4  # here is what I hold, by parts: send what differs
    DONE = 5  # that was all of it
    LEASE_REQUEST = 6  # lend me slots, for as long as leases last
    LEASE_GRANT = 7  # these classes, a bit each, as the subject
    PIECE = 8  # of a step from one version of the list to another (`copies.py`)
    WANT = 9  # here is the version I have: send what I lack, or these pieces


class Message(NamedTuple):
    """One datagram. `subject` is whom a PING_REQUEST, or the answer to one, is about.

    A PIECE or WANT has its figures in `digest`, in the order that `copies.py` gives.
    """

    kind: Kind
    origin: int
    incarnation: int
    serial: int = 0
    subject: int = -1
    digest: tuple[int, ...] = ()
    records: tuple[Record, ...] = ()
    body: bytes = b""


class Outgoing(NamedTuple):
    """A message and the node it goes to."""

    to: int
    message: Message


def mark(record: Record) -> int:
    """A record's identity in a digest, the same at every node: all of it but its age."""
    figures = record if isinstance(record, Life) else record[:-1]
    return crc32(b" ".join(b"%d" % figure for figure in figures))


def sound(record: Record, nodes: int) -> bool:
    """Whether a record's figures can be: anything else is dropped, the rest of its message kept."""
    if isinstance(record, Life):
        n, incarnation, standing = record
        return (
            0 <= n < nodes
            and 0 <= incarnation < MOST_INCARNATION
            and 0 <= standing <= Standing.LEFT
        )
    if record.age < 0:
        return False
    if isinstance(record, Reading):
        return (
            0 <= record.node < nodes
            and 0 <= record.incarnation < MOST_INCARNATION
            and How.ASKING <= record.how <= How.FAILED
            and all(0 <= f < MOST_NUMBER for f in (record.number, *record[4:7]))
        )
    if record.boot < 0 or record.server < 0:
        return False
    if isinstance(record, Listed):
        return record.rev >= 0 and record.state in (State.GONE, State.DRAINING)
    return (
        0 <= record.origin < nodes
        and 0 <= record.incarnation < MOST_INCARNATION
        and record.number >= 0
        and 0 <= record.failures <= MAX_FAILURES
        and record.cold in (0, 1)
        and 0 <= record.full <= MAX_FAILURES
        and 0 <= record.ratio <= MOST_RATIO
    )
