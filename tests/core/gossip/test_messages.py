"""Validation of records."""

from __future__ import annotations

from loadbalancer.core.gossip.messages import ReaderRecord, is_valid


def test_reader_records_out_of_range_are_invalid() -> None:
    record = ReaderRecord(1, 5, 1, 1, 1 << 63, 0, 0, 0)
    assert not is_valid(record, 5)
    assert not is_valid(record._replace(epoch=0, state=3), 5)
    assert is_valid(record._replace(epoch=0), 5)
    assert not is_valid(record._replace(epoch=0, node=5), 5)
