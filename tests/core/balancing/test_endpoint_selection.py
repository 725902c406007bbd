"""Tests of which endpoint a request is sent to."""

from __future__ import annotations

from loadbalancer.core import (
    Effect,
    Listing,
    Outcome,
    RequestClass,
    Scope,
    Settings,
    State,
    Update,
)
from loadbalancer.core.balancing import endpoint_caps, endpoint_selection
from loadbalancer.core.balancing.model import MS, SECOND
from tests.recording_host import PURE, build


def test_the_endpoint_with_fewest_requests_in_flight_is_selected() -> None:
    balancer, host = build(count=4)
    for i in range(4):
        balancer.on_request(1, i, 0, SECOND)
    assert len({c[2] for c in host.named("send")}) == 4


def test_a_keyed_repeat_goes_to_the_zone_of_the_first_send() -> None:
    """The first attempt's endpoint moves to another zone before the repeat. The endpoints that know
    the key are those of its zone at the time of the first send.
    """
    zoned = RequestClass("zoned", 200 * MS, SECOND, Effect.TOKEN, Scope.ZONE, SECOND)
    balancer, host = build(Settings(classes=(zoned,), max_attempts=4), count=2)
    balancer.on_members(0, Update.DELTA, [Listing(200, State.READY, 1)])
    balancer.on_request(MS, 1, 0, SECOND)
    first = host.named("send")[0][2]
    (other,) = {100, 101} - {int(str(first))}
    balancer.on_members(2 * MS, Update.DELTA, [Listing(int(str(first)), State.READY, 1)])
    balancer.on_outcome(5 * MS, 1, 0, Outcome.RESET, 4 * MS, False)
    # The repeat goes neither to the first endpoint again nor to 200.
    assert [c[2] for c in host.named("send")] == [first, other]


def test_endpoints_of_the_nodes_own_zone_are_preferred() -> None:
    balancer, host = build(Settings(classes=(PURE,), zones=2, nodes=2), count=2)
    balancer.on_members(0, Update.DELTA, [Listing(200 + i, State.READY, 1) for i in range(2)])
    for i in range(20):
        balancer.on_request(1, i, 0, SECOND)
    sent = [int(str(c[2])) // 100 for c in host.named("send")]
    assert sent == sorted(sent)  # other zones only when the slots of its own are used
    assert set(sent) == {1, 2}


def test_among_equals_the_endpoint_with_the_lower_load_cost_is_preferred() -> None:
    balancer, host = build(count=2)
    busy = balancer.endpoints[100]
    busy.load_cost, busy.last_seen = 5.0, 1
    first = [endpoint_selection.pick(balancer.state, 2) for _ in range(50)]
    assert sum(e is busy for e in first) < 20  # only if the other one is not sampled
    late = 1 + endpoint_caps.FRESH_ANSWER_NS  # the last response is too old to count
    again = [endpoint_selection.pick(balancer.state, late) for _ in range(50)]
    assert 10 < sum(e is busy for e in again) < 40


def test_a_retry_goes_to_another_endpoint() -> None:
    balancer, host = build(count=2)
    balancer.on_request(MS, 1, 0, SECOND)
    balancer.on_outcome(2 * MS, 1, 0, Outcome.ERROR, MS, False)
    first, second = (c[2] for c in host.named("send"))
    assert first != second
