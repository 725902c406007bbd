"""Tests for packing deltas, and for rejecting malformed ones."""

from __future__ import annotations

import zlib

from loadbalancer.core.endpoints.list_versions import (
    FULL_LIST,
    ListDelta,
    ListVersion,
    PackedDelta,
    pack,
    unpack,
)


def test_malformed_deltas_are_rejected() -> None:
    """A damaged delta or a decompression bomb must neither be applied nor take much memory."""
    valid = pack(ListDelta(FULL_LIST, ListVersion(1, 1, 0), {"a": "b"}))
    for data in (b"", b"x", zlib.compress(b"[1]"), zlib.compress(b'{"a": 1}'), valid.data[:-2]):
        assert unpack(valid._replace(data=data, checksum=zlib.crc32(data))) is None
    assert unpack(valid._replace(checksum=1)) is None
    huge = zlib.compress(b'{"a":"' + b"x" * 10_000 + b'"}')  # a higher ratio than rows reach
    assert unpack(PackedDelta(FULL_LIST, valid.target, zlib.crc32(huge), huge)) is None
    compressible = ListDelta(FULL_LIST, valid.target, {f"s{i}": "x" * 200 for i in range(50)})
    # Rows that compress beyond the maximum ratio are sent uncompressed.
    assert unpack(pack(compressible)) == compressible
