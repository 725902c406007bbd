"""Verdicts on servers from the observations of other nodes."""

from __future__ import annotations

import pytest

from loadbalancer.core.balancing.model import SECOND, ReportedState, State
from loadbalancer.core.gossip.gossip_node import GossipNode
from loadbalancer.core.gossip.messages import Message, MessageKind, Observation
from loadbalancer.core.gossip.settings import GossipSettings
from tests.core.gossip.builders import observation


@pytest.mark.parametrize(
    ("observations", "zones", "verdict"),
    [
        # the only observer may be isolated
        ([observation(9, 1, failures=3)], 1, ReportedState.SUSPECTED),
        ([observation(9, 1, failures=1), observation(9, 2, failures=2)], 1, ReportedState.SILENT),
        ([observation(9, 1, failures=1), observation(9, 2, failures=1)], 1, None),
        # observers in the other zone
        ([observation(9, 1, failures=3), observation(9, 3, failures=3)], 2, None),
        ([observation(9, 2, failures=3), observation(9, 4, failures=3)], 2, ReportedState.SILENT),
        ([observation(9, 1, rejections=2), observation(9, 2, rejections=2)], 1, ReportedState.FULL),
        ([observation(9, 1, ratio_16ths=54)], 1, ReportedState.SLOW),
        # retracted
        ([observation(9, 1, failures=3), observation(9, 1, 2), observation(9, 2, failures=1)], 1,
         None),
        # about an earlier start of the server
        ([observation(9, 1, failures=3)._replace(boot=6)], 1, None),
        # it sees half of all servers fail, so it counts as isolated itself
        ([observation(s, 1, failures=3) for s in range(9, 14)], 1, None),
    ],
)  # fmt: skip
def test_only_sufficient_observations_lead_to_a_verdict(
    observations: list[Observation], zones: int, verdict: ReportedState | None
) -> None:
    node = GossipNode(GossipSettings(8, 0, zones), 1, 1, 0)
    node.on_local_list(0, 1, [(s, 7, State.READY) for s in range(9, 18)], True)
    for record in observations:
        node.receive(SECOND // 2, Message(MessageKind.GOSSIP, 5, 1, records=(record,)))
    verdicts = {c.server: c.verdict for c in node.verdict_changes(SECOND // 2)}
    assert verdicts.get(9) == verdict


def test_false_observations_fail_no_more_than_one_server_in_three() -> None:
    """Two peers report every server as failing. If that were trusted, no server would be used.

    An observer that sees more than a third of the servers fail counts as isolated.
    """
    node = GossipNode(GossipSettings(8, 0), 1, 1, 0)
    node.on_local_list(0, 1, [(s, 7, State.READY) for s in range(30)], True)
    for server in range(30):
        for origin in (1, 2):
            message = Message(
                MessageKind.GOSSIP, origin, 1, records=(observation(server, origin, failures=3),)
            )
            node.receive(SECOND // 2, message)
    failing = (ReportedState.SILENT, ReportedState.SUSPECTED)
    changes = node.verdict_changes(SECOND // 2)
    assert sum(change.verdict in failing for change in changes) <= 10
