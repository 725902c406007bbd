"""Tests of attempts that transfer a long message: slots, durations, and resending."""

from __future__ import annotations

from loadbalancer.core import Outcome
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.balancing.rotation import MAX_TRANSFERRING
from tests.recording_host import build


def test_transferring_attempts_free_their_slots_up_to_a_limit() -> None:
    balancer, host = build(count=1)
    balancer.on_request(0, 1, 0, 900 * MS)
    cap = balancer.endpoints[100].cap
    for request_id in range(2, 60):
        balancer.on_response_started(request_id, request_id - 1, 0, 5 * MS)
        balancer.on_request(request_id, request_id, 0, 900 * MS)
    assert len(host.named("send")) == cap + MAX_TRANSFERRING
    balancer.on_outcome(100, 1, 0, Outcome.OK, SECOND, True)
    assert (
        balancer.endpoints[100].transferring
        == balancer.state.transferring
        == MAX_TRANSFERRING + cap - 1
    )


def test_the_latency_of_a_long_response_is_its_time_to_first_byte() -> None:
    long_response, _ = build(count=1)
    short_response, _ = build(count=1)
    for balancer, elapsed in ((long_response, 9 * SECOND), (short_response, 5 * MS)):
        balancer.on_request(0, 1, 0, 900 * MS)
        if balancer is long_response:
            balancer.on_response_started(5 * MS, 1, 0, 5 * MS)
        balancer.on_outcome(elapsed, 1, 0, Outcome.OK, elapsed, True)
    assert long_response.classes[0].latency == short_response.classes[0].latency


def test_an_unbuffered_body_is_not_resent_and_rejected_only_if_not_executed() -> None:
    for outcome, final_response in ((Outcome.CONNECT_FAILED, "refuse"), (Outcome.RESET, "fail")):
        balancer, host = build()
        balancer.on_request(0, 1, 1, 900 * MS)
        balancer.on_body_started(1, 1, 0)
        balancer.on_outcome(2, 1, 0, outcome, 1, False)
        assert len(host.named("send")) == 1
        assert host.named(final_response) == [(final_response, 1)]
        assert balancer.state.transferring == 0


def test_an_endpoint_is_not_silent_during_an_upload() -> None:
    balancer, host = build(count=1)
    balancer.on_request(0, 1, 1, 900 * MS)
    balancer.on_body_started(1, 1, 0)
    balancer.on_request(20 * SECOND, 2, 0, 900 * MS)
    assert len(host.named("send")) == 2
    balancer.on_body_sent(20 * SECOND, 1, 0)
    assert balancer.state.transferring == 0
    assert balancer.endpoints[100].silent_since == 20 * SECOND
