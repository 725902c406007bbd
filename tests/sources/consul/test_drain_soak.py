"""Some seeds of the soak of drains that two sources report, across restarts."""

from __future__ import annotations

import pytest

from benchmarks.drain_soak import draw, play


@pytest.mark.parametrize("seed", [3, 10])
def test_a_drain_is_kept_across_a_restart_in_a_drawn_order(seed: int) -> None:
    """A new process sent to a draining server for good, if the drain was reported first."""
    _, faults = play(draw(seed))
    assert not faults, draw(seed)
