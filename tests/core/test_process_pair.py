"""Tests for dividing a node's caps between its two processes, without I/O."""

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


def test_both_processes_stay_within_one_cap_in_any_order_of_messages() -> None:
    """Requests start and end at random, and announcements arrive late."""
    for seed in range(40):
        random = Random(seed)
        cap = {backend: random.randrange(0, 6) for backend in range(1, 30)}
        first_cap = dict(cap)
        old, new = PredecessorShare(), SuccessorShare()
        old_in_flight = {backend: random.randrange(0, cap[backend] + 1) for backend in cap}
        new_in_flight = dict.fromkeys(cap, 0)
        messages = [
            old.begin(
                EndpointUsage(backend, cap[backend], old_in_flight[backend], backend % 7 == 0)
                for backend in cap
            )
        ]
        new.update(messages.pop())
        need = 1.0
        for _ in range(300):
            backend = random.choice(list(cap))
            action = random.randrange(6)
            if action == 0 and old_in_flight[backend] < old.cap_for(backend, cap[backend]):
                old_in_flight[backend] += 1
            elif action == 1 and old_in_flight[backend]:
                old_in_flight[backend] -= 1
            elif action == 2 and new_in_flight[backend] < new.cap_for(backend, cap[backend]):
                new_in_flight[backend] += 1
            elif action == 3:
                need *= random.random()
                messages.append(
                    old.release(
                        [
                            EndpointUsage(backend, cap[backend], old_in_flight[backend], False)
                            for backend in cap
                        ],
                        need,
                    )
                )
            elif action == 4 and messages:
                new.update(messages.pop(0))
            elif action == 5 and new_in_flight[backend]:
                new_in_flight[backend] -= 1
            assert old_in_flight[backend] + new_in_flight[backend] <= max(
                first_cap[backend], old_in_flight[backend]
            )
            assert all(old_in_flight[backend] <= old.slots.get(backend, 0) for backend in cap)
        for message in messages:
            new.update(message)
        new.update(
            old.release([EndpointUsage(backend, cap[backend], 0, False) for backend in cap], 0.0)
        )
        assert all(new.cap_for(backend, cap[backend]) == cap[backend] for backend in cap)


def test_caps_of_one_are_divided_and_cold_endpoints_go_to_the_successor() -> None:
    old = PredecessorShare()
    retained = old.begin(EndpointUsage(backend, 1, 0, False) for backend in range(1, 101))
    assert 40 <= sum(retained.values()) <= 60
    assert (
        sum(
            PredecessorShare()
            .begin(EndpointUsage(backend, 3, 0, True) for backend in range(1, 101))
            .values()
        )
        == 0
    )
    assert PredecessorShare().begin([EndpointUsage(1, 3, 2, True)]) == {1: 2}


def test_a_balancer_sends_within_its_share_and_later_within_the_nodes_caps() -> None:
    balancer, host = build(count=4)
    share = SuccessorShare()
    share.update(
        {
            endpoint.id: endpoint.cap
            for endpoint in balancer.endpoints.values()
            if endpoint.id != 100
        }
    )
    balancer.state.limit_share = share
    balancer.update_caps()
    for request in range(1, 20):
        balancer.on_request(1, request, 0, 900 * MS)
    assert {call[2] for call in host.named("send")} == {100}
    assert [row.cap for row in endpoint_usage(balancer, 1)] == [
        endpoint.node_cap for endpoint in balancer.endpoints.values()
    ]
    balancer.state.limit_share = None
    balancer.update_caps()
    balancer.dispatch(1)
    assert {call[2] for call in host.named("send")} == {100, 101, 102, 103}


def test_the_predecessor_never_retakes_released_slots() -> None:
    """Its need grows again, but the successor may already use the released slots."""
    share = PredecessorShare()
    share.begin([EndpointUsage(1, 40, 0, False)])
    released = share.release([EndpointUsage(1, 40, 0, False)], 0.25)[1]
    assert share.release([EndpointUsage(1, 40, 30, False)], 1.0) == {}
    assert share.cap_for(1, 40) == released
