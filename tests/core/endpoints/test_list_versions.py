"""Deltas as bytes: what is refused."""

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


def test_malformed_deltas_are_refused() -> None:
    """A damaged, malformed or bomb-like delta must not be applied, nor take much memory."""
    good = pack(ListDelta(FULL_LIST, ListVersion(1, 1, 0), {"a": "b"}))
    for data in (b"", b"x", zlib.compress(b"[1]"), zlib.compress(b'{"a": 1}'), good.data[:-2]):
        assert unpack(good._replace(data=data, checksum=zlib.crc32(data))) is None
    assert unpack(good._replace(checksum=1)) is None
    huge = zlib.compress(b'{"a":"' + b"x" * 10_000 + b'"}')  # more than rows compress to
    assert unpack(PackedDelta(FULL_LIST, good.target, zlib.crc32(huge), huge)) is None
    compressible = ListDelta(FULL_LIST, good.target, {f"s{i}": "x" * 200 for i in range(50)})
    assert (
        unpack(pack(compressible)) == compressible
    )  # rows that compress so well are not compressed
