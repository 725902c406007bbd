"""Attempts that transfer a long message: their slots and durations, and whether they are resent."""

from __future__ import annotations

from loadbalancer.core import Outcome
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.balancing.rotation import MAX_TRANSFERRING
from tests.recording_host import build


def test_attempts_that_only_move_bytes_leave_slots_to_others_within_a_bound() -> None:
    balancer, host = build(count=1)
    balancer.on_request(0, 1, 0, 900 * MS)
    cap = balancer.endpoints[100].cap
    for rid in range(2, 60):
        balancer.on_response_started(rid, rid - 1, 0, 5 * MS)
        balancer.on_request(rid, rid, 0, 900 * MS)
    assert len(host.named("send")) == cap + MAX_TRANSFERRING
    balancer.on_outcome(100, 1, 0, Outcome.OK, SECOND, True)
    assert (
        balancer.endpoints[100].transferring
        == balancer.state.transferring
        == MAX_TRANSFERRING + cap - 1
    )


def test_a_long_answer_teaches_the_time_of_its_first_bytes() -> None:
    one, _ = build(count=1)
    two, _ = build(count=1)
    for balancer, elapsed in ((one, 9 * SECOND), (two, 5 * MS)):
        balancer.on_request(0, 1, 0, 900 * MS)
        if balancer is one:
            balancer.on_response_started(5 * MS, 1, 0, 5 * MS)
        balancer.on_outcome(elapsed, 1, 0, Outcome.OK, elapsed, True)
    assert one.classes[0].latency == two.classes[0].latency


def test_what_was_spent_is_never_sent_again_and_refused_only_if_it_never_ran() -> None:
    for outcome, said in ((Outcome.CONNECT_FAILED, "refuse"), (Outcome.RESET, "fail")):
        balancer, host = build()
        balancer.on_request(0, 1, 1, 900 * MS)
        balancer.on_body_started(1, 1, 0)
        balancer.on_outcome(2, 1, 0, outcome, 1, False)
        assert len(host.named("send")) == 1
        assert host.named(said) == [(said, 1)]
        assert balancer.state.transferring == 0


def test_an_upload_is_no_silence_of_its_server() -> None:
    balancer, host = build(count=1)
    balancer.on_request(0, 1, 1, 900 * MS)
    balancer.on_body_started(1, 1, 0)
    balancer.on_request(20 * SECOND, 2, 0, 900 * MS)
    assert len(host.named("send")) == 2
    balancer.on_body_sent(20 * SECOND, 1, 0)
    assert balancer.state.transferring == 0
    assert balancer.endpoints[100].silent_since == 20 * SECOND
