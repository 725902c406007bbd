"""New streams are spread over time, and one that would wait too long is rejected."""

from __future__ import annotations

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.xds.pacing import StreamPacer


def test_streams_after_a_burst_are_spread_and_the_last_are_rejected() -> None:
    pacer = StreamPacer(rate=100, burst=10, max_wait=SECOND)
    waits = [pacer.reserve(10 * SECOND) for _ in range(200)]
    assert waits[:10] == [0] * 10
    assert waits[11] == 10_000_000 * 1
    admitted = [w for w in waits if w is not None]
    assert len(admitted) == 111
    assert max(admitted) <= SECOND
    assert waits[150] is None
    assert pacer.reserve(20 * SECOND) == 0
