"""The division of caps between two processes, and what one leaves the other, without I/O."""

from __future__ import annotations

from random import Random

from loadbalancer.core.balancing.model import MS
from loadbalancer.core.process_pair import (
    EndpointUsage,
    PredecessorShare,
    SuccessorShare,
    endpoint_usage,
)
from tests.recording_host import build


def test_the_two_stay_within_one_cap_whatever_the_order_of_messages() -> None:
    """Random caps, ends, sends and messages that arrive late: never more than the larger cap."""
    for seed in range(40):
        random = Random(seed)
        cap = {b: random.randrange(0, 6) for b in range(1, 30)}
        first_cap = dict(cap)
        old, new = PredecessorShare(), SuccessorShare()
        in_flight = {b: random.randrange(0, cap[b] + 1) for b in cap}
        ours = dict.fromkeys(cap, 0)
        messages = [old.begin(EndpointUsage(b, cap[b], in_flight[b], b % 7 == 0) for b in cap)]
        new.update(messages.pop())
        need = 1.0
        for _ in range(300):
            b = random.choice(list(cap))
            act = random.randrange(6)
            if act == 0 and in_flight[b] < old.cap_for(b, cap[b]):
                in_flight[b] += 1
            elif act == 1 and in_flight[b]:
                in_flight[b] -= 1
            elif act == 2 and ours[b] < new.cap_for(b, cap[b]):
                ours[b] += 1
            elif act == 3:
                need *= random.random()
                messages.append(
                    old.release([EndpointUsage(b, cap[b], in_flight[b], False) for b in cap], need)
                )
            elif act == 4 and messages:
                new.update(messages.pop(0))
            elif act == 5 and ours[b]:
                ours[b] -= 1
            assert in_flight[b] + ours[b] <= max(first_cap[b], in_flight[b])
            assert all(in_flight[b] <= old.slots.get(b, 0) for b in cap)
        for message in messages:
            new.update(message)
        new.update(old.release([EndpointUsage(b, cap[b], 0, False) for b in cap], 0.0))
        assert all(new.cap_for(b, cap[b]) == cap[b] for b in cap)


def test_caps_of_one_fall_to_both_sides_and_cold_ones_to_the_new_one() -> None:
    old = PredecessorShare()
    retained = old.begin(EndpointUsage(b, 1, 0, False) for b in range(1, 101))
    assert 40 <= sum(retained.values()) <= 60
    assert (
        sum(PredecessorShare().begin(EndpointUsage(b, 3, 0, True) for b in range(1, 101)).values())
        == 0
    )
    assert PredecessorShare().begin([EndpointUsage(1, 3, 2, True)]) == {1: 2}


def test_a_balancer_sends_within_its_part_and_gets_the_other_one_back() -> None:
    balancer, host = build(count=4)
    share = SuccessorShare()
    share.update({b.id: b.cap for b in balancer.endpoints.values() if b.id != 100})
    balancer.state.limit_share = share
    balancer.update_caps()
    for rid in range(1, 20):
        balancer.on_request(1, rid, 0, 900 * MS)
    assert {call[2] for call in host.named("send")} == {100}
    assert [row.cap for row in endpoint_usage(balancer, 1)] == [
        b.node_cap for b in balancer.endpoints.values()
    ]
    balancer.state.limit_share = None
    balancer.update_caps()
    balancer.dispatch(1)
    assert {call[2] for call in host.named("send")} == {100, 101, 102, 103}


def test_what_the_older_process_has_released_it_never_takes_again() -> None:
    """Its need grows once more: the newer process may use the slots by then."""
    share = PredecessorShare()
    share.begin([EndpointUsage(1, 40, 0, False)])
    released = share.release([EndpointUsage(1, 40, 0, False)], 0.25)[1]
    assert share.release([EndpointUsage(1, 40, 30, False)], 1.0) == {}
    assert share.cap_for(1, 40) == released
