"""Elections while links fail in one direction."""

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


@pytest.mark.parametrize("direction", ["receives nothing", "sends nothing"])
def test_a_leader_with_one_way_links_is_replaced(direction: str) -> None:
    """A leader receives no messages, or none of its messages arrive; the other direction works.

    Another leader must be elected and commit changes. When the links work again, all members must
    converge, and the old leader must not have incremented the term again and again.
    """
    group = started()
    leader = group.leader()
    if direction == "receives nothing":
        group.drops = lambda sent: sent.recipient == leader
    else:
        group.drops = lambda sent: sent.sender == leader
    others = [name for name in group.replicas if name != leader]
    assert group.run(10 * SECOND, lambda: group.leader() not in ("", leader))
    group.propose(group.leader(), "new")
    assert group.run(3 * SECOND, lambda: all(group.has(name, "new") for name in others))
    group.heal()
    assert group.run(5 * SECOND, lambda: group.all_have("new"))
    assert group.replicas[leader].current_term < 2000


@pytest.mark.parametrize(
    "kinds",
    [(AppendEntries,), (AppendEntries, RequestVoteResponse, FetchResponse, InstallSnapshot)],
)
def test_a_follower_that_receives_no_entries_does_not_disrupt_its_leader(
    kinds: tuple[type, ...],
) -> None:
    """One follower receives no entries for 20 s, and then receives them again.

    Its pre-votes must not increment the term or make the working leader step down.
    """
    group = started()
    leader, term = group.leader(), group.replicas[group.leader()].current_term
    isolated = next(name for name in EAST if name != leader)
    group.drops = lambda sent: sent.recipient == isolated and isinstance(sent.message, kinds)
    group.run(20 * SECOND)
    group.heal()
    group.run(3 * SECOND)
    assert group.leader() == leader
    assert group.replicas[leader].current_term == term
