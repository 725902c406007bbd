"""Elections: links that fail in one direction, and followers that receive nothing."""

from __future__ import annotations

import pytest

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.replicated_log.messages import (
    AppendEntries,
    FetchResponse,
    InstallSnapshot,
    RequestVoteResponse,
)
from tests.core.replicated_log.group import EAST, started


@pytest.mark.parametrize("direction", ["receives nothing", "nobody receives"])
def test_one_way_links_of_a_leader_cost_no_more_than_an_election(direction: str) -> None:
    """A leader receives from nobody, or nobody receives from it, while the other direction works.

    Another leader must be elected and go on; afterwards all converge, and the old leader must not
    have raised terms all the while.
    """
    group = started()
    leader = group.leader()
    if direction == "receives nothing":
        group.drops = lambda sent: sent.recipient == leader
    else:
        group.drops = lambda sent: sent.sender == leader
    others = [name for name in group.replicas if name != leader]
    assert group.run(10 * SECOND, lambda: group.leader() not in ("", leader))
    group.propose(group.leader(), "on")
    assert group.run(3 * SECOND, lambda: all(group.has(name, "on") for name in others))
    group.heal()
    assert group.run(5 * SECOND, lambda: group.everywhere("on"))
    assert group.replicas[leader].current_term < 2000  # and it did not raise terms meanwhile


@pytest.mark.parametrize(
    "kinds",
    [(AppendEntries,), (AppendEntries, RequestVoteResponse, FetchResponse, InstallSnapshot)],
)
def test_a_follower_that_does_not_receive_from_its_leader_does_not_disturb_it(
    kinds: tuple[type, ...],
) -> None:
    """One follower receives no entries for 20 s, and then does again.

    Its pre-votes must not raise the term nor make the working leader step down.
    """
    group = started()
    leader, term = group.leader(), group.replicas[group.leader()].current_term
    cut_off = next(name for name in EAST if name != leader)
    group.drops = lambda sent: sent.recipient == cut_off and isinstance(sent.message, kinds)
    group.run(20 * SECOND)
    group.heal()
    group.run(3 * SECOND)
    assert group.leader() == leader
    assert group.replicas[leader].current_term == term
