"""Versions of the list that nodes share, and the deltas between them.

A version is (epoch, rev, checksum): `rev` is the list service's own number, `checksum` one of the
rows in any order, and `epoch` is raised by a reader to whom the service has answered with restarted
numbers. It is 0 for a list that nobody has read, from a configuration: whatever its number is, it
may be old, and precedes every list that was read. Versions are ordered as tuples, so of any two
versions all nodes retain the same one, and none goes back. A delta has the rows that differ
between two versions.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Mapping
from hashlib import blake2b
from typing import NamedTuple

from loadbalancer.core.gossip.messages import ReaderRecord

FULL_LIST = -1  # as a delta's base: it has all rows
MAX_DELTA_BYTES = 1 << 20  # packed: some 40,000 rows
MAX_COMPRESSION = 16  # ratio of unpacked to packed bytes: bounds the memory for received bytes
CHECKSUM_BYTES = 8


class ListVersion(NamedTuple):
    """A version of the list; the later one is greater."""

    epoch: int
    rev: int
    checksum: int


NO_VERSION = ListVersion(0, 0, 0)


class ListDelta(NamedTuple):
    """The rows by id that differ between `base` and `target`, None for a removed one."""

    base: int  # a rev of the same epoch, or FULL_LIST
    target: ListVersion
    rows: Mapping[str, str | None]


class PackedDelta(NamedTuple):
    """A delta as bytes; the checksum is of the bytes."""

    base: int
    target: ListVersion
    checksum: int
    data: bytes


def version_of(record: ReaderRecord) -> ListVersion:
    """The version that a reader has."""
    return ListVersion(record.epoch, record.rev, record.checksum)


def row_checksum(uid: str, row: str) -> int:
    """One row's part of a version's checksum, which is the exclusive or of all rows' parts."""
    text = f"{uid}\n{row}".encode()
    digest = blake2b(text, digest_size=CHECKSUM_BYTES).digest()
    return int.from_bytes(digest, "big") >> 1  # to 63 bits: MAX_INTEGER of gossip messages


def pack(delta: ListDelta) -> PackedDelta:
    """A delta as bytes, the same at every node."""
    text = json.dumps(dict(sorted(delta.rows.items())), separators=(",", ":")).encode()
    data = zlib.compress(text, 9)
    if len(text) > MAX_COMPRESSION * len(data):
        data = zlib.compress(text, 0)  # uncompressed: `unpack` rejects a higher ratio
    return PackedDelta(delta.base, delta.target, zlib.crc32(data), data)


def unpack(packed: PackedDelta) -> ListDelta | None:
    """The delta; None where the bytes are malformed, or expand to too many."""
    if zlib.crc32(packed.data) != packed.checksum:
        return None
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(packed.data, MAX_COMPRESSION * len(packed.data) + 1)
        rows = json.loads(text) if decompressor.eof else None
    except (zlib.error, ValueError, RecursionError):
        return None
    if not isinstance(rows, dict):
        return None
    if not all(row is None or type(row) is str for row in rows.values()):
        return None
    return ListDelta(packed.base, packed.target, rows)
