"""Versions of the endpoint list that nodes share, and the deltas between them.

A version is a tuple (epoch, rev, checksum). `rev` is the list service's own revision number, and
`checksum` covers the rows in any order. `epoch` is increased by a list reader when the service has
restarted its revision numbers. Epoch 0 is a list from the configuration that no reader has read:
whatever its `rev`, it may be old, so it precedes every list that was read. Versions are ordered as
tuples, so of any two versions all nodes keep the same one, and no node goes back to an earlier one.
A delta holds the rows that differ between two versions.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Mapping
from hashlib import blake2b
from typing import NamedTuple

from loadbalancer.core.gossip.messages import ReaderRecord

FULL_LIST = -1  # base of a delta that holds all rows
MAX_DELTA_BYTES = 1 << 20  # maximum size of a packed delta: about 40,000 rows
# The maximum ratio of unpacked to packed bytes limits the memory that received bytes can take.
MAX_COMPRESSION_RATIO = 16
CHECKSUM_BYTES = 8


class ListVersion(NamedTuple):
    """A version of the list; a later one compares greater."""

    epoch: int
    rev: int
    checksum: int  # see `row_checksum`


NO_VERSION = ListVersion(0, 0, 0)


class ListDelta(NamedTuple):
    """The rows that differ between `base` and `target` by id, None for a removed one."""

    base: int  # a rev of the same epoch, or FULL_LIST
    target: ListVersion
    rows: Mapping[str, str | None]


class PackedDelta(NamedTuple):
    """A delta as bytes, with a checksum of these bytes."""

    base: int
    target: ListVersion
    checksum: int
    data: bytes


def version_of(record: ReaderRecord) -> ListVersion:
    """The version that a reader's record announces."""
    return ListVersion(record.epoch, record.rev, record.checksum)


def row_checksum(uid: str, row: str) -> int:
    """One row's part of a version's checksum, which is the XOR of all rows' parts."""
    text = f"{uid}\n{row}".encode()
    digest = blake2b(text, digest_size=CHECKSUM_BYTES).digest()
    # 63 bits: MAX_INTEGER limits the integers of gossip messages.
    return int.from_bytes(digest, "big") >> 1


def pack(delta: ListDelta) -> PackedDelta:
    """Serialize and compress a delta; the bytes are the same at every node."""
    text = json.dumps(dict(sorted(delta.rows.items())), separators=(",", ":")).encode()
    data = zlib.compress(text, 9)
    if len(text) > MAX_COMPRESSION_RATIO * len(data):
        data = zlib.compress(text, 0)  # level 0, uncompressed: `unpack` rejects a higher ratio
    return PackedDelta(delta.base, delta.target, zlib.crc32(data), data)


def unpack(packed: PackedDelta) -> ListDelta | None:
    """Parse a packed delta; None if its bytes are malformed or expand beyond the maximum ratio."""
    if zlib.crc32(packed.data) != packed.checksum:
        return None
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(packed.data, MAX_COMPRESSION_RATIO * len(packed.data) + 1)
        rows = json.loads(text) if decompressor.eof else None
    except (zlib.error, ValueError, RecursionError):
        return None
    if not isinstance(rows, dict):
        return None
    if not all(row is None or type(row) is str for row in rows.values()):
        return None
    return ListDelta(packed.base, packed.target, rows)
