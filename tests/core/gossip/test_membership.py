"""The membership table: merging and refutation."""

from __future__ import annotations

from itertools import permutations, product

import pytest

from loadbalancer.core.gossip.membership import Membership
from loadbalancer.core.gossip.messages import MemberRecord, MemberStatus


def test_member_records_merge_in_any_order_and_a_member_refutes_its_death() -> None:
    """A member that is declared dead must increase its incarnation, or it would remain dead."""
    records = [MemberRecord(1, i, s) for i, s in product((1, 2), (0, 1, 2))]
    results = set()
    for order in permutations(records):
        members = Membership(0, 3, 1, 1)
        for record in order:
            members.merge(0, 2, record)
        results.add(members.record(1))
    assert results == {MemberRecord(1, 2, MemberStatus.DEAD)}
    members = Membership(0, 3, 5, 1)
    members.merge(0, 1, MemberRecord(0, 5, MemberStatus.DEAD))
    assert members.incarnation == 6
    assert members.updates == [MemberRecord(0, 6, MemberStatus.ALIVE)]
    # An earlier process of this node had a later incarnation, as its clock has jumped back since.
    members.merge(0, 1, MemberRecord(0, 9, MemberStatus.ALIVE))
    assert members.incarnation == 10
    members.merge(0, 1, MemberRecord(0, 4, MemberStatus.DEAD))
    assert members.incarnation == 10


@pytest.mark.parametrize(
    ("incarnation", "is_accepted", "status"),
    [
        (4, False, MemberStatus.DEAD),  # delayed message of an earlier process
        (5, True, MemberStatus.DEAD),  # of the incarnation that is dead: it has to refute that
        (6, True, MemberStatus.ALIVE),
    ],
)
def test_only_a_message_of_a_later_incarnation_sets_a_dead_member_to_alive(
    incarnation: int, is_accepted: bool, status: MemberStatus
) -> None:
    """A member is dead in incarnation 5, and a message that it sent before may still arrive."""
    members = Membership(0, 3, 1, 1)
    members.merge(0, 2, MemberRecord(1, 5, MemberStatus.DEAD))
    assert members.on_message(1, 1, incarnation) is is_accepted
    assert members.peers[1].status is status
    assert members.peers[1].incarnation == max(incarnation, 5)
