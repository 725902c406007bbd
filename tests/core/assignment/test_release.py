"""Release grants: which machine may send them, and how long they are valid."""

from __future__ import annotations

import pytest

from loadbalancer.core.assignment.model import InvalidInputError, MachineSpec
from loadbalancer.core.assignment.release import (
    NodeRelease,
    ReleaseAuthority,
    ReleaseGrant,
    ReleaseRules,
)
from loadbalancer.core.balancing.model import SECOND

MACHINES = [MachineSpec(f"{region}-{i}", region, "z") for region in ("east", "west") for i in "ab"]
HOMES = {"pay": "east", "cart": "east", "far": "west"}
RULES = ReleaseRules(
    leadership_delay_ns=5 * SECOND, lease_duration_ns=2 * SECOND, max_pause_ns=SECOND, max_pairs=3
)
GRANT = ReleaseGrant("east", 4, (NodeRelease("n1", ("pay",)),))


def authority(now: int = 0) -> ReleaseAuthority:
    return ReleaseAuthority(now, MACHINES[0], MACHINES, HOMES, RULES)


def leading(since: int, until: int, epoch: int = 4) -> ReleaseAuthority:
    leader = authority(since * SECOND)
    for second in range(since, until + 1):
        leader.on_tick(second * SECOND, epoch)
    return leader


def test_a_leader_grants_the_services_of_its_region_after_the_delay() -> None:
    views = {"n1": {"pay", "far"}, "n2": {"far"}, "n3": set[str]()}
    assert leading(0, 4).grant(4 * SECOND, views) is None
    leader = leading(0, 5)
    assert leader.grant(5 * SECOND, views) == GRANT
    assert leader.releasable(5 * SECOND, "n1") == {"pay"}


def test_a_deposed_leader_grants_nothing_and_its_delay_starts_again() -> None:
    """A leader is deposed and elected again. Another leader may have granted releases meanwhile."""
    machine = leading(0, 5)
    machine.on_tick(6 * SECOND, None)
    assert machine.grant(6 * SECOND, {"n1": {"pay"}}) is None
    for second in range(7, 12):
        machine.on_tick(second * SECOND, 6)
        assert machine.grant(second * SECOND, {"n1": {"pay"}}) is None
    machine.on_tick(12 * SECOND, 6)
    assert machine.grant(12 * SECOND, {"n1": {"pay"}}) is not None


def test_a_follower_never_grants() -> None:
    machine = authority()
    for second in range(60):
        machine.on_tick(second * SECOND, None)
        assert machine.grant(second * SECOND, {"n1": {"pay"}}) is None


def test_a_new_epoch_restarts_the_delay() -> None:
    machine = leading(0, 5)
    machine.on_tick(6 * SECOND, 5)
    assert machine.grant(6 * SECOND, {"n1": {"pay"}}) is None


def test_nodes_may_release_only_by_a_grant_and_only_until_it_expires() -> None:
    machine = authority()
    assert machine.grant(0, {"n1": {"pay"}}) is None
    assert machine.releasable(0, "n1") == frozenset()
    assert machine.on_grant(0, "east-b", GRANT)
    machine.on_tick(SECOND, None)
    assert machine.releasable(2 * SECOND - 1, "n1") == {"pay"}
    assert machine.all_releasable(2 * SECOND - 1) == {"n1": {"pay"}}
    assert machine.releasable(SECOND, "n2") == frozenset()
    assert machine.releasable(2 * SECOND, "n1") == frozenset()
    assert machine.all_releasable(2 * SECOND) == {}


def test_a_pause_voids_grants_for_good_and_restarts_a_leaders_delay() -> None:
    """A machine's process is suspended and continues.

    Grants that waited in its socket may be of any age. If they were valid, the last holders of a
    service could release it.
    """
    machine = authority()
    machine.on_grant(0, "east-b", GRANT)
    assert machine.releasable(SECOND + 1, "n1") == frozenset()  # before the next tick
    machine.on_tick(SECOND + 1, None)
    assert machine.releasable(SECOND + 1, "n1") == frozenset()  # and after it
    leader = leading(0, 5)
    assert leader.grant(6 * SECOND + 1, {"n1": {"pay"}}) is None
    leader.on_tick(6 * SECOND + 1, 4)
    assert leader.grant(6 * SECOND + 1, {"n1": {"pay"}}) is None


def test_a_grant_of_an_older_epoch_is_ignored() -> None:
    """A deposed leader still sends grants, based on its view from before a link failed."""
    machine = authority()
    assert machine.on_grant(0, "east-b", ReleaseGrant("east", 5, ()))
    assert not machine.on_grant(0, "east-a", GRANT)
    machine.on_tick(60 * SECOND, None)  # after a pause, when the newer grant has expired
    assert not machine.on_grant(60 * SECOND, "east-a", GRANT)
    assert machine.releasable(60 * SECOND, "n1") == frozenset()
    assert machine.counts == {"older epoch": 2}


@pytest.mark.parametrize(
    ("sender", "grant", "reason"),
    [
        ("nobody", GRANT, "unknown machine"),
        ("west-a", GRANT, "other region"),
        ("west-a", ReleaseGrant("west", 9, (NodeRelease("n1", ("pay",)),)), "other region"),
        ("east-b", ReleaseGrant("east", 9, (NodeRelease("n1", ("pay",) * 4),)), "too many"),
        ("east-b", ReleaseGrant("east", 9, (NodeRelease("n1", ()),) * 4), "too many"),
    ],
)
def test_invalid_grants_are_counted_and_ignored(
    sender: str, grant: ReleaseGrant, reason: str
) -> None:
    machine = authority()
    assert not machine.on_grant(0, sender, grant)
    assert machine.releasable(0, "n1") == frozenset()
    assert machine.counts == {reason: 1}


def test_the_size_of_a_grant_is_limited() -> None:
    views = {"n1": {"pay", "cart"}, "n2": {"pay", "cart"}, "n3": {"pay"}}
    grant = leading(0, 5).grant(5 * SECOND, views)
    assert grant is not None
    assert grant.releases == (NodeRelease("n1", ("cart", "pay")), NodeRelease("n2", ("cart",)))


def test_rules_out_of_range_are_refused() -> None:
    with pytest.raises(InvalidInputError, match="must be greater than 0"):
        ReleaseRules(lease_duration_ns=0)
