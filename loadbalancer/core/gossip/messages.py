"""Gossip messages between nodes, as plain data.

There are four kinds of record. Any node may pass a record on, and only its writer may change
it. Times are durations in nanoseconds, so no node depends on another node's clock.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple
from zlib import crc32

from loadbalancer.core.balancing.model import State

MAX_INCARNATION = 1 << 48  # milliseconds since 1970 stay below it for thousands of years
MAX_SERIAL = 1 << 32  # an answer repeats it in five bytes of MessagePack
MAX_FAILURES = 15  # consecutive failures or rejections in an observation
RATIO_UNIT = 16  # latency ratios, relative to the fleet's, are sent in sixteenths
MAX_RATIO_16THS = 10 * RATIO_UNIT
MAX_INTEGER = 1 << 63  # the largest number that MessagePack can carry


class MemberStatus(IntEnum):
    """SWIM's states of a member; within one incarnation the later in this order wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class ReaderState(IntEnum):
    """The state of a reader's polls of the list service."""

    POLLING = 0  # no answer yet
    READ = 1  # answered
    FAILED = 2


class MemberRecord(NamedTuple):
    """A member's status in one of its incarnations.

    Only the member itself raises its incarnation; others may only raise the status within it.
    """

    node: int
    incarnation: int
    status: int


class DrainRecord(NamedTuple):
    """A version of the list by which a server gets no new requests."""

    server: int
    boot: int  # the server's start as the list gives it, Unix milliseconds, 0 for long ago
    rev: int  # the list service's version
    state: int  # DRAINING or GONE: READY is never passed on
    age: int  # ns


class Observation(NamedTuple):
    """The results of one node's own attempts at a server; all zeros retract the last one."""

    server: int
    boot: int
    origin: int  # the node whose attempts they were
    incarnation: int  # of the origin
    sequence_number: int  # of this observation within the incarnation
    failures: int  # consecutive failures without an answer between
    cold: int  # 1 where its process seems to have ended, so that it returns cold; else 0
    rejections: int  # consecutive attempts rejected as over capacity
    ratio_16ths: int  # latency relative to the fleet's
    age: int  # ns


class ReaderRecord(NamedTuple):
    """One node as a reader of the list for the fleet, and the version it has read."""

    node: int
    incarnation: int
    sequence_number: int  # of this record within the incarnation
    state: int  # a ReaderState
    epoch: int  # raised by a reader when the list service restarts its version numbers
    rev: int  # the list service's version
    checksum: int  # of the rows, independent of their order
    age: int  # ns since the list service answered


Record = MemberRecord | DrainRecord | Observation | ReaderRecord


class MessageKind(IntEnum):
    """The kind of a message. The first three are SWIM's ping, ack and ping-req."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    GOSSIP = 3
    DIGEST = 4  # the sender's digest: answered with the records that differ
    DONE = 5  # all records that differ have been sent
    LEASE_REQUEST = 6  # asks for slots under a lease
    LEASE_GRANT = 7  # the server groups granted, one bit each, as `subject`
    PIECE = 8  # a piece of a delta between two versions of the list (`list_pieces.py`)
    WANT = 9  # the version the sender has, and the pieces it lacks


class Message(NamedTuple):
    """One datagram. `subject` is the member that a PING_REQUEST or an ACK is about.

    A PIECE or WANT has its numbers in `digest`, in the order of `endpoints/list_pieces.py`.
    """

    kind: MessageKind
    origin: int
    incarnation: int
    serial: int = 0
    subject: int = -1
    digest: tuple[int, ...] = ()
    records: tuple[Record, ...] = ()
    body: bytes = b""


class Outgoing(NamedTuple):
    """A message and the node that it goes to."""

    to: int
    message: Message


def record_checksum(record: Record) -> int:
    """A record's identity in a digest, equal at every node: everything except its age."""
    fields = record if isinstance(record, MemberRecord) else record[:-1]
    return crc32(b" ".join(b"%d" % field for field in fields))


def is_valid(record: Record, nodes: int) -> bool:
    """Whether every field is within its range, in a fleet of `nodes`."""
    if isinstance(record, MemberRecord):
        return _is_member(record.node, record.incarnation, nodes) and (
            0 <= record.status <= MemberStatus.LEFT
        )
    if record.age < 0:
        return False
    if isinstance(record, ReaderRecord):
        return (
            _is_member(record.node, record.incarnation, nodes)
            and ReaderState.POLLING <= record.state <= ReaderState.FAILED
            and all(0 <= field < MAX_INTEGER for field in (record.sequence_number, *record[4:7]))
        )
    if record.boot < 0 or record.server < 0:
        return False
    if isinstance(record, DrainRecord):
        return record.rev >= 0 and record.state in (State.GONE, State.DRAINING)
    return _is_valid_observation(record, nodes)


def _is_member(node: int, incarnation: int, nodes: int) -> bool:
    return 0 <= node < nodes and 0 <= incarnation < MAX_INCARNATION


def _is_valid_observation(record: Observation, nodes: int) -> bool:
    return (
        _is_member(record.origin, record.incarnation, nodes)
        and record.sequence_number >= 0
        and 0 <= record.failures <= MAX_FAILURES
        and record.cold in (0, 1)
        and 0 <= record.rejections <= MAX_FAILURES
        and 0 <= record.ratio_16ths <= MAX_RATIO_16THS
    )
