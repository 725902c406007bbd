"""Rules of an assignment that are out of range."""

from __future__ import annotations

import pytest

from loadbalancer.core.assignment.model import InvalidInputError
from loadbalancer.core.assignment.rules import AssignmentRules


@pytest.mark.parametrize(
    ("rules", "message"),
    [
        ({"min_per_zone": 0}, "least_per_zone is 0"),
        ({"max_sharers": 0}, "most_sharers is 0"),
        ({"node_rate": 0.0}, "node_rate is 0.0"),
        ({"load_factor": 1.0}, "load_factor is 1.0"),
        ({"max_share": 0.0}, "largest_share is 0.0"),
        ({"max_sharers_by_service": {"s": 0}}, "sharers of 's' is 0"),
    ],
)
def test_rules_out_of_range_are_refused(rules: dict[str, float], message: str) -> None:
    with pytest.raises(InvalidInputError, match=f"rules: {message}, must be"):
        AssignmentRules(**rules)  # type: ignore[arg-type]
