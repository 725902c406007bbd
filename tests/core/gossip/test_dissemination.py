"""How often an update is transmitted, and in which order."""

from __future__ import annotations

from loadbalancer.core.gossip.dissemination import DisseminationQueue


def test_transmissions_of_an_update_grow_with_the_logarithm_of_the_fleet() -> None:
    few, many = DisseminationQueue[int](20), DisseminationQueue[int](1000)
    assert (few.max_transmissions, many.max_transmissions) == (9, 14)
    few.add(1)
    few.add(2)
    few.count_transmission(1)
    offered: list[int] = []

    def accept(key: int) -> bool:
        offered.append(key)
        return len(offered) < 2

    few.select(accept)
    assert offered == [2, 1]  # least transmitted first
    for _ in range(few.max_transmissions):
        few.count_transmission(1)
    assert 1 not in few
    assert 2 in few
    for key in range(5000):
        few.add(key)
    assert len(few) == 2048
