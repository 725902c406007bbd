"""When a connection may carry its next request, and when that request's last byte may leave."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from loadbalancer.core.balancing.model import MS
from loadbalancer.core.connection_reuse import (
    NEVER,
    SETTLING_TIME_NS,
    UNSAFE_DELAY_NS,
    last_byte_delay,
    select_idle,
    settling_delay,
)

NOW = 1_000_000 * MS


@dataclass
class Idle:
    idle_since: int


@pytest.mark.parametrize(
    ("ages", "selected"),
    [
        ([3 * SETTLING_TIME_NS, 2 * SETTLING_TIME_NS], 1),
        ([3 * SETTLING_TIME_NS, SETTLING_TIME_NS, SETTLING_TIME_NS - 1], 1),
        ([SETTLING_TIME_NS, SETTLING_TIME_NS - 1, 0], 0),
        ([SETTLING_TIME_NS - 1, 1, 0], 0),
        ([0], 0),
    ],
    ids=["both settled", "two settled", "one settled", "none settled", "only one"],
)
def test_the_most_recent_settled_connection_is_selected_or_the_one_that_settles_first(
    ages: list[int], selected: int
) -> None:
    assert select_idle([Idle(NOW - age) for age in ages], NOW) == selected


@pytest.mark.parametrize(
    ("age", "delay"),
    [(0, SETTLING_TIME_NS), (4 * MS, SETTLING_TIME_NS - 4 * MS), (SETTLING_TIME_NS, 0)],
)
def test_a_connection_settles_a_fixed_time_after_its_last_response(age: int, delay: int) -> None:
    assert settling_delay(NOW, NOW - age) == delay


def test_a_new_connection_has_settled() -> None:
    assert settling_delay(NOW, NEVER) == 0
    assert settling_delay(SETTLING_TIME_NS // 2, NEVER) == 0  # soon after the clock's zero, too


@pytest.mark.parametrize(
    ("idle_since", "unsafe", "delay"),
    [
        (NEVER, False, 0),
        (NEVER, True, UNSAFE_DELAY_NS),
        (NOW - SETTLING_TIME_NS, False, 0),
        (NOW - SETTLING_TIME_NS, True, UNSAFE_DELAY_NS),
        (NOW - MS, False, SETTLING_TIME_NS - MS),
        (NOW - MS, True, SETTLING_TIME_NS - MS),
        (NOW - SETTLING_TIME_NS + 1, True, UNSAFE_DELAY_NS),
    ],
)
def test_the_last_byte_is_withheld_until_the_connection_has_settled(
    idle_since: int, unsafe: bool, delay: int
) -> None:
    assert last_byte_delay(NOW, idle_since, unsafe) == delay
