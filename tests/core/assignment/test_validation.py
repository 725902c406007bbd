"""Invalid tables of nodes and services are rejected with a one-line message."""

from __future__ import annotations

from dataclasses import replace

import pytest

from loadbalancer.core.assignment.assigner import Assigner
from loadbalancer.core.assignment.model import InvalidInputError, NodeSpec, ServiceSpec
from tests.core.assignment.fleets import RULES

NODE = NodeSpec("n", "east", "east-1", 4)
SERVICE = ServiceSpec("s", "east", ("east-1",), 1.0, 1)


@pytest.mark.parametrize(
    ("nodes", "services", "message"),
    [
        ([NODE, NODE], [SERVICE], "node 'n': duplicate name, must be unique"),
        ([NODE], [SERVICE, SERVICE], "service 's': duplicate name, must be unique"),
        ([], [SERVICE], "nodes: there are 0, must be 1 to 20000"),
        ([NODE], [], "services: there are 0, must be 1 to 20000"),
        ([replace(NODE, name="")], [SERVICE], "node '': a name must have 1 to 256 characters"),
        ([replace(NODE, zone="")], [SERVICE], "node 'n': region and zone must not be empty"),
        (
            [NODE, replace(NODE, name="m", region="west")],
            [SERVICE],
            "node 'm': zone 'east-1' is in region 'east' for another node, can't be in 'west' too",
        ),
        ([replace(NODE, capacity=0)], [SERVICE], "node 'n': capacity is 0, must be 1 to 20000"),
        (
            [replace(NODE, rate=float("nan"))],
            [SERVICE],
            "node 'n': rate is nan, must be 0 to 1000000000",
        ),
        (
            [NODE],
            [replace(SERVICE, region="north")],
            "service 's': unknown region 'north', must be one of east",
        ),
        (
            [NODE],
            [replace(SERVICE, zones=("east-9",))],
            "service 's': unknown zone 'east-9', must be one of east-1",
        ),
        (
            [NODE],
            [replace(SERVICE, zones=())],
            "service 's': zones is empty, must have at least one zone",
        ),
        (
            [NODE],
            [replace(SERVICE, zones=("east-1", "east-1"))],
            "service 's': zones must not have duplicates",
        ),
        (
            [NODE],
            [replace(SERVICE, rate=-1.0)],
            "service 's': rate is -1.0, must be 0 to 1000000000",
        ),
        (
            [NODE],
            [replace(SERVICE, backends=-1)],
            "service 's': backends is -1, must be 0 to 200000",
        ),
    ],
)
def test_invalid_tables_are_rejected_with_a_one_line_message(
    nodes: list[NodeSpec], services: list[ServiceSpec], message: str
) -> None:
    with pytest.raises(InvalidInputError) as caught:
        Assigner(nodes, services, RULES)
    assert str(caught.value) == message
