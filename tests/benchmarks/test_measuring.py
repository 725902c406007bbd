"""What benchmarks make of measured values: spreads, percentiles, and times by polling."""

from __future__ import annotations

import pytest

from benchmarks.polling import times_until
from benchmarks.stats import p50_and_p99, spread, spread_by_key


def test_a_spread_has_the_median_and_both_ends_rounded() -> None:
    assert spread([3.04, 1.0, 2.0], 1) == {"median": 2.0, "least": 1.0, "most": 3.0, "runs": 3}


def test_a_spread_is_made_of_each_figure() -> None:
    found = spread_by_key([{"a": 1.0, "b": 5.0}, {"a": 3.0, "b": 5.0}])
    assert found == {"a": spread([1.0, 3.0]), "b": spread([5.0, 5.0])}


def test_percentiles_are_among_the_values() -> None:
    assert p50_and_p99([float(n) for n in range(200, 0, -1)]) == {"p50": 101.0, "p99": 199.0}
    assert p50_and_p99([0.25]) == {"p50": 0.25, "p99": 0.25}


def test_each_node_has_the_time_of_its_own_first_success() -> None:
    polls = dict.fromkeys((1, 2), 0)

    def condition(node: int) -> bool:
        polls[node] += 1
        return polls[node] >= node

    times = times_until(condition, polls)
    assert polls == {1: 1, 2: 2}
    assert times == sorted(times)


def test_a_node_that_never_gets_there_is_named() -> None:
    with pytest.raises(RuntimeError, match=r"nodes \[2\] did not get there in 0 s"):
        times_until(lambda node: node == 1, [1, 2], timeout_s=0.0)
