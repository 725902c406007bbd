"""Limits of a holder that are out of range."""

from __future__ import annotations

import pytest

from loadbalancer.core.assignment.model import InvalidInputError
from loadbalancer.core.subscription.limits import HolderLimits


@pytest.mark.parametrize(
    ("limits", "message"),
    [
        ({"max_services": 0}, "max_services is 0, must be 1 to 20000"),
        ({"max_bytes": 1000}, "max_bytes is 1000, must be 65536"),
        (
            {"max_services": 65, "max_bytes": 65536},
            "max_bytes is 65536, must be at least 1024 for each of max_services",
        ),
        ({"max_unknown_names": 0}, "max_unknown_names is 0, must be 1 to 100000"),
        ({"queries_per_s": 0.0}, "queries_per_s is 0.0, must be greater than 0"),
        ({"drain_timeout_ns": -1}, "must not be negative"),
    ],
)
def test_limits_out_of_range_are_refused(limits: dict[str, int], message: str) -> None:
    with pytest.raises(InvalidInputError, match=f"limits: .*{message}"):
        HolderLimits(**limits)
