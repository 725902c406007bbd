"""Messages of the gossip protocol and the records that they carry, as plain data.

There are four types of record. Any node may forward a record, but only its writer may change it.
Messages carry ages (durations in nanoseconds) and no timestamps, so that no node depends on the
clock of another.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple
from zlib import crc32

from loadbalancer.core.balancing.model import State

MAX_INCARNATION = 1 << 48  # Unix time in milliseconds stays below this for thousands of years
MAX_SERIAL = 1 << 32  # a reply repeats the serial, and has five bytes of MessagePack for it
MAX_FAILURES = 15  # largest valid count of consecutive failures or rejections in an observation
RATIO_UNIT = 16  # latency ratios are sent in sixteenths
MAX_RATIO_16THS = 10 * RATIO_UNIT
MAX_INTEGER = 1 << 63  # the largest number that MessagePack can carry


class MemberStatus(IntEnum):
    """Status of a member in SWIM; within one incarnation the higher value takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class ReaderState(IntEnum):
    """Result of the latest poll of the list service by a list reader."""

    POLLING = 0  # the reader has no response yet
    READ = 1  # the list service responded
    FAILED = 2  # the poll failed


class MemberRecord(NamedTuple):
    """The status of a member in one of its incarnations.

    Only the member itself increases its incarnation. Other members may only increase the status
    within an incarnation.
    """

    node: int
    incarnation: int
    status: int


class DrainRecord(NamedTuple):
    """A server that must get no new requests, according to some version of the endpoint list."""

    server: int
    boot: int  # start time of the server in the list, Unix milliseconds; 0 if long ago
    rev: int  # version of the list
    state: int  # DRAINING or GONE; READY is never sent
    age: int  # ns


class Observation(NamedTuple):
    """Results of one node's own attempts at a server.

    An observation with zeros in all results retracts the previous one of that node.
    """

    server: int
    boot: int
    origin: int  # the observer: the node that made the attempts
    incarnation: int  # of the observer
    sequence_number: int  # of this observation within the incarnation
    failures: int  # consecutive failed attempts
    cold: int  # 1 if its process probably ended, so that it will return cold; otherwise 0
    rejections: int  # consecutive attempts that the server rejected as over capacity
    ratio_16ths: int  # latency of the server relative to all servers, in sixteenths
    age: int  # ns


class ReaderRecord(NamedTuple):
    """A list reader, and the version of the list that it has read."""

    node: int
    incarnation: int
    sequence_number: int  # of this record within the incarnation
    state: int  # a ReaderState
    epoch: int  # increased by a reader when the list service restarts its version numbers
    rev: int  # version of the list
    checksum: int  # of the rows in any order
    age: int  # ns since the list service responded


Record = MemberRecord | DrainRecord | Observation | ReaderRecord


class MessageKind(IntEnum):
    """The kind of a message. The first three are the ping, ack and ping-req of SWIM."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    GOSSIP = 3
    DIGEST = 4  # the digest of the sender; the receiver replies with the records that differ
    DONE = 5  # end of the records that differ, for a node that catches up
    LEASE_REQUEST = 6  # requests slots under a lease
    LEASE_GRANT = 7  # `subject` is the bit mask of the granted server groups
    PIECE = 8  # a piece of a delta between two versions of the endpoint list
    WANT = 9  # the list version of the sender, and the pieces that it requests


class Message(NamedTuple):
    """A message, which is sent as one datagram.

    Attributes:
        kind: which also decides the meaning of the other fields.
        origin: the node that sent it.
        incarnation: of the origin.
        serial: matches a reply to its request.
        subject: the member that a PING_REQUEST or an ACK is about, the peer that a node requests a
            catch-up from with a DIGEST, or the groups of a LEASE_GRANT.
        digest: of a DIGEST. For a PIECE or WANT the fields that `endpoints/list_pieces.py` defines.
        records: to be merged by the receiver.
        body: the bytes of a PIECE.
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
    """A message to send, and the node to send it to."""

    to: int
    message: Message


def record_checksum(record: Record) -> int:
    """The checksum of a record in a digest: without its age, so it is equal at all nodes."""
    fields = record if isinstance(record, MemberRecord) else record[:-1]
    return crc32(b" ".join(b"%d" % field for field in fields))


def is_valid(record: Record, nodes: int) -> bool:
    """Whether every field of a record is in range, in a fleet of `nodes` nodes."""
    if isinstance(record, MemberRecord):
        return _is_valid_member(record.node, record.incarnation, nodes) and (
            0 <= record.status <= MemberStatus.LEFT
        )
    if record.age < 0:
        return False
    if isinstance(record, ReaderRecord):
        return (
            _is_valid_member(record.node, record.incarnation, nodes)
            and ReaderState.POLLING <= record.state <= ReaderState.FAILED
            and all(0 <= field < MAX_INTEGER for field in (record.sequence_number, *record[4:7]))
        )
    if record.boot < 0 or record.server < 0:
        return False
    if isinstance(record, DrainRecord):
        return record.rev >= 0 and record.state in (State.GONE, State.DRAINING)
    return _is_valid_observation(record, nodes)


def _is_valid_member(node: int, incarnation: int, nodes: int) -> bool:
    return 0 <= node < nodes and 0 <= incarnation < MAX_INCARNATION


def _is_valid_observation(record: Observation, nodes: int) -> bool:
    return (
        _is_valid_member(record.origin, record.incarnation, nodes)
        and record.sequence_number >= 0
        and 0 <= record.failures <= MAX_FAILURES
        and record.cold in (0, 1)
        and 0 <= record.rejections <= MAX_FAILURES
        and 0 <= record.ratio_16ths <= MAX_RATIO_16THS
    )
