"""Tests of which endpoints are in rotation."""

from __future__ import annotations

from typing import Any

import pytest

from loadbalancer.core import State
from loadbalancer.core.balancing import rotation
from loadbalancer.core.balancing.model import SECOND
from tests.recording_host import build


def test_endpoints_are_in_buckets_by_requests_in_flight() -> None:
    balancer, _ = build(count=3)
    state, endpoint = balancer.state, balancer.endpoints[101]
    endpoint.in_flight = 2
    rotation.update(state, endpoint)
    assert state.local_buckets[2] == [endpoint]
    assert {e.id for e in state.local_buckets[0]} == {100, 102}
    assert all(
        e.bucket is not None and e.bucket[e.bucket_index] is e for e in state.local_buckets[0]
    )


@pytest.mark.parametrize(
    "values",
    [
        {"state": State.DRAINING},
        {"state": State.GONE},
        {"cap": 0},
        {"in_flight": 2, "cap": 2},
        {"in_flight": 1, "probing": True},
        {"unresponsive": True},
        {"ejected_until": 2 * SECOND},
        {"backoff_until": 2 * SECOND},
    ],
)
def test_each_condition_alone_takes_an_endpoint_out_of_rotation(values: dict[str, Any]) -> None:
    balancer, _ = build(count=2)
    state, endpoint = balancer.state, balancer.endpoints[100]
    state.now = SECOND
    before = {name: getattr(endpoint, name) for name in values}
    for name, value in values.items():
        setattr(endpoint, name, value)
    rotation.update(state, endpoint)
    assert endpoint.bucket is None
    assert not any(endpoint in bucket for bucket in state.local_buckets)
    for name, value in before.items():
        setattr(endpoint, name, value)
    rotation.update(state, endpoint)
    assert endpoint.bucket is state.local_buckets[0]


def test_transfers_do_not_count_against_the_cap_up_to_a_limit() -> None:
    balancer, _ = build(count=1)
    endpoint = balancer.endpoints[100]
    endpoint.cap = 2
    endpoint.in_flight = endpoint.transferring = rotation.MAX_TRANSFERRING
    rotation.update(balancer.state, endpoint)
    assert endpoint.bucket is not None
    endpoint.in_flight = endpoint.transferring = rotation.MAX_TRANSFERRING + 2
    rotation.update(balancer.state, endpoint)
    assert endpoint.bucket is None
