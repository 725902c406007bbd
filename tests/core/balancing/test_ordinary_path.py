"""The ordinary path: hold, release in turn, fewest in flight."""

from __future__ import annotations

from itertools import pairwise

import pytest

from loadbalancer.core import (
    Balancer,
    Effect,
    Listing,
    RequestClass,
    Scope,
    Settings,
    State,
    Tenant,
    Update,
)
from loadbalancer.core.balancing import class_weights
from loadbalancer.core.balancing.model import MS, SECOND
from tests.recording_host import PURE, UNSAFE, Host, build


def test_sends_to_the_backend_holding_fewest() -> None:
    balancer, host = build(count=4)
    for i in range(4):
        balancer.on_request(1, i, 0, SECOND)
    assert len({c[2] for c in host.named("send")}) == 4


def test_holds_beyond_the_total_and_refuses_in_time() -> None:
    balancer, host = build(count=1)
    for i in range(20):
        balancer.on_request(1, i, 0, SECOND)
    sent = len(host.named("send"))
    assert sent == balancer.state.total < 20
    balancer.on_timer(190 * MS, 1)
    assert len(host.named("refuse")) == 20 - sent


def test_unsafe_that_may_have_run_is_failed_not_resent_nor_refused() -> None:
    balancer, host = build()
    balancer.on_request(1, 9, 1, SECOND)
    balancer.on_outcome(5 * MS, 9, 0, 2, 5 * MS, False)
    assert host.named("fail") == [("fail", 9)]
    assert len(host.named("send")) == 1


def test_keyed_is_sent_again_within_its_window_only() -> None:
    balancer, host = build()
    balancer.on_request(MS, 1, 2, SECOND)
    balancer.on_request(MS, 2, 2, SECOND)
    balancer.on_outcome(50 * MS, 1, 0, 6, 49 * MS, False)
    balancer.on_outcome(70 * MS, 2, 0, 6, 69 * MS, False)
    assert [c[1] for c in host.named("send")] == [1, 2, 1]
    # Told that trying again is harmless its client would, and nobody drops the repeat any more.
    assert host.named("fail") == [("fail", 2)]
    assert not host.named("refuse")


def test_the_group_of_a_repeat_is_the_earlier_servers_as_it_was_then() -> None:
    zoned = RequestClass("zoned", 200 * MS, SECOND, Effect.TOKEN, Scope.ZONE, SECOND)
    balancer, host = build(Settings(classes=(zoned,), max_attempts=4), count=2)
    balancer.on_members(0, Update.DELTA, [Listing(200, State.READY, 1)])
    balancer.on_request(MS, 1, 0, SECOND)
    first = host.named("send")[0][2]
    (other,) = {100, 101} - {int(str(first))}
    balancer.on_members(2 * MS, Update.DELTA, [Listing(int(str(first)), State.READY, 1)])
    balancer.on_outcome(5 * MS, 1, 0, 6, 4 * MS, False)
    assert [c[2] for c in host.named("send")] == [first, other]  # and not the first, or 200


def test_a_request_told_twice_is_answered_once() -> None:
    balancer, host = build()
    balancer.on_request(1, 9, 0, SECOND)
    balancer.on_request(1, 9, 0, SECOND)
    assert len(host.named("send")) == 1
    balancer.on_outcome(2, 9, 0, 1, 1, True)
    assert balancer.in_flight == 0
    assert not balancer.state.requests


def test_unsafe_that_never_ran_is_sent_again() -> None:
    balancer, host = build()
    balancer.on_request(1, 9, 1, SECOND)
    balancer.on_outcome(5 * MS, 9, 0, 3, 5 * MS, False)
    assert len(host.named("send")) == 2


def test_every_queued_request_is_answered_by_its_own_time() -> None:
    """A head that may wait longer must not hide those behind it."""
    near = RequestClass("near", 200 * MS, 250 * MS, Effect.SIDE_EFFECT)
    balancer, host = build(Settings(classes=(near,)), count=1)
    for i in range(10):
        balancer.on_request(1, i, 0, 250 * MS)
    held = balancer.state.total
    balancer.on_request(1, 90, 0, 170 * MS)
    assert len(host.named("send")) == held
    due = min(int(str(c[2])) for c in host.named("timer") if c[1] == 1)
    balancer.on_timer(due, 1)
    assert host.named("refuse") == [("refuse", 90)]


def test_a_full_backend_rests() -> None:
    """It answers at once, so it would always hold fewest and draw everything."""
    balancer, host = build(Settings(classes=(PURE, UNSAFE), max_attempts=2), count=2)
    for i in range(20):
        balancer.on_request(MS * i, i, 0, SECOND)
        sent = host.named("send")[-1]
        if sent[1] == i and sent[2] == 100:
            balancer.on_outcome(MS * i, i, 0, 3, 0, False)
    to_full = [c for c in host.named("send") if c[2] == 100]
    assert len(to_full) == 1


def test_time_outs_cut_the_level() -> None:
    """Answers alone would make a jam look like light load."""
    balancer, host = build()
    before = balancer.concurrency_limit
    for i in range(8):
        balancer.on_request(MS, i, 0, SECOND)
    for i in range(8):
        balancer.on_outcome(SECOND, i, 0, 4, 195 * MS, True)
    balancer.on_timer(SECOND, 2)
    assert balancer.concurrency_limit < before


def test_hung_backends_do_not_cut_the_level() -> None:
    """One long time-out among answers is a matter of that backend's health."""
    slow = RequestClass("slow", 200 * MS, 6 * SECOND, Effect.SIDE_EFFECT, late_weight=0.3)
    balancer, host = build(Settings(classes=(slow,)))
    before = balancer.concurrency_limit
    for i in range(10):
        balancer.on_request(MS, i, 0, 6 * SECOND)
    for i in range(9):
        balancer.on_outcome(40 * MS, i, 0, 1, 39 * MS, True)
    balancer.on_outcome(6 * SECOND, 9, 0, 4, 6 * SECOND, True)
    balancer.on_timer(6 * SECOND, 2)
    assert balancer.concurrency_limit >= before


def test_a_class_near_its_aim_on_idle_backends_does_not_pin_the_level() -> None:
    """Only what crowding adds counts: some classes take half their aim anyway."""
    balancer, host = build()
    before = balancer.concurrency_limit
    for k in range(8):
        now = k * SECOND // 2
        for i in range(30):
            balancer.on_request(now, 100 * k + i, 0, SECOND)
        for c in host.named("send"):
            balancer.on_outcome(now + 120 * MS, int(str(c[1])), 0, 1, 120 * MS, True)
        host.calls.clear()
        balancer.on_timer(now + 400 * MS, 2)
    assert balancer.concurrency_limit > before


def test_state_changes_are_logged_once_a_second() -> None:
    balancer, host = build(count=6)
    for i in range(24):
        balancer.on_request(MS, i, 1, SECOND)
    for i in range(24):
        balancer.on_outcome(2 * MS, i, 0, 6, MS, True)
    assert balancer.state.ejected > 1
    assert len(host.named("log")) == 1


def test_a_single_time_out_leaves_a_backend_in() -> None:
    """Under load attempts time out at healthy backends; three in a row are silence."""
    balancer, host = build(Settings(classes=(UNSAFE,)), count=4)
    backend = balancer.endpoints[100]
    for i in range(40):
        at = i * SECOND
        balancer.on_request(at, i, 0, SECOND)
        for c in host.named("send"):
            if c[1] == i:
                code = 4 if c[2] == 100 else 1
                balancer.on_outcome(at + 195 * MS, i, 0, code, 195 * MS, True)
        if backend.consecutive_failures in (1, 2):
            assert not backend.ejected_until
        if backend.consecutive_failures == 3:
            break
    assert backend.ejected_until


def test_worth_moves_shares_when_requests_are_refused() -> None:
    rich = RequestClass("rich", 200 * MS, SECOND, Effect.SIDE_EFFECT, priority_weight=10.0)
    poor = RequestClass("poor", 200 * MS, SECOND, Effect.SIDE_EFFECT, priority_weight=1.0)
    balancer, host = build(Settings(classes=(rich, poor)), count=6)
    for k in range(12):
        now = (k + 1) * SECOND // 2
        for i in range(60):
            balancer.on_request(now, 1000 * k + i, i % 2, SECOND)
        for c in host.named("send"):
            balancer.on_outcome(now + 100 * MS, int(str(c[1])), 0, 1, 100 * MS, True)
        balancer.on_timer(now + 190 * MS, 1)
        host.calls.clear()
        balancer.on_timer(now + 200 * MS, 2)
    assert balancer.classes[0].share > 2 * balancer.classes[1].share


def test_round_robin_keeps_each_share_running() -> None:
    balancer, host = build(count=6)
    total = balancer.state.total
    balancer.classes[0].share, balancer.classes[1].share = total - 4, 3
    balancer.classes[2].share = 1
    for i in range(9 * total):
        balancer.on_request(1, i, i // 3 % 3 if i > total else 0, SECOND)
    for step in range(3 * total):
        out = [r for r in balancer.state.requests.values() if r.in_flight]
        r = out[step % len(out)]
        balancer.on_outcome(2, r.id, 0, 1, 1, True)
    assert all(c.queued for c in balancer.classes)
    assert [c.in_flight for c in balancer.classes] == [total - 4, 3, 1]


def test_beyond_quota_waits_behind_and_tenants_take_turns() -> None:
    tenants = (Tenant("a", 0.75, 1000.0), Tenant("b", 0.45, 1000.0), Tenant("c", 0.1, 1.0))
    balancer, host = build(Settings(classes=(PURE,), tenants=tenants), count=1)
    for i in range(balancer.state.total):
        balancer.on_request(1, 900 + i, 0, SECOND, 0)
    for i in range(6):
        balancer.on_request(1, 300 + i, 0, SECOND, 2)
    for i in range(12):
        balancer.on_request(1, 100 + i, 0, SECOND, 0)
        balancer.on_request(1, 200 + i, 0, SECOND, 1)
    host.calls.clear()
    for _ in range(9):
        out = next(r for r in balancer.state.requests.values() if r.in_flight)
        balancer.on_outcome(2, out.id, 0, 1, 1, True)
    sent = [int(str(c[1])) // 100 for c in host.named("send")]
    assert sent.count(1) == 5
    assert sent.count(2) == 3
    assert sent.count(3) == 1


def test_no_order_comes_from_the_deal_of_slots_twice() -> None:
    """With more nodes than slots each backend's slots fall to different nodes."""
    given: dict[int, int] = {}
    for node in range(24):
        balancer, _ = build(Settings(classes=(PURE,), node=node, nodes=24), count=48)
        for b in balancer.endpoints.values():
            given[b.id] = given.get(b.id, 0) + b.cap
    assert set(given.values()) == {4}


def test_draining_backend_gets_nothing_new() -> None:
    balancer, host = build(count=1)
    balancer.on_members(5, Update.DELTA, [Listing(100, State.DRAINING)])
    balancer.on_request(6, 1, 0, SECOND)
    assert host.named("send") == []


def test_a_cold_backends_slots_grow_as_it_warms() -> None:
    """A zone just restarted is not held to two slots a backend until all is over."""
    start = Listing(100, State.READY, boot=20 * SECOND)
    settings = Settings(classes=(PURE,), cold=10 * SECOND, cold_from=0.2)
    balancer, _ = build(settings, count=1)
    balancer.state.concurrency_limit = 20.0
    caps = []
    for after in (1, 5 * SECOND, 9 * SECOND):
        balancer.on_members(20 * SECOND + after, Update.DELTA, [start])
        caps.append(balancer.endpoints[100].cap)
    assert caps == [4, 12, 18]


def test_cold_backend_gets_its_part_only() -> None:
    cold = [Listing(100 + i, State.READY) for i in range(3)]
    balancer, host = build(Settings(classes=(PURE,), cold=10 * SECOND), count=3)
    now = 20 * SECOND
    balancer.on_members(now, Update.DELTA, [cold[0]._replace(boot=now - 1)])
    for i in range(300):
        at = now + i * 5 * MS
        balancer.on_request(at, i, 0, SECOND)
        balancer.on_outcome(at + MS, i, 0, 1, MS, True)
    got = [c[2] for c in host.named("send")]
    assert got.count(100) < got.count(101) / 5


def test_ask_mode_asks_again_after_a_failed_call() -> None:
    host = Host()
    balancer = Balancer(Settings(classes=(PURE,), poll=True), 1, host)
    balancer.start(0)
    balancer.on_members(0, Update.CACHED, [])
    balancer.on_timer(SECOND, 3)
    balancer.on_members(SECOND, Update.FAILED)
    due = [int(str(c[2])) for c in host.named("timer") if c[1] == 3]
    assert len(host.named("watch")) == 1
    assert due[-1] > SECOND
    balancer.on_timer(due[-1], 3)
    assert len(host.named("watch")) == 2


def test_settings_are_checked() -> None:
    with pytest.raises(ValueError, match="class"):
        Settings(classes=())
    with pytest.raises(ValueError, match="balancers"):
        Settings(classes=(PURE, UNSAFE), nodes=0)
    balancer = Balancer(Settings(classes=(PURE,)), 1, Host())
    with pytest.raises(ValueError, match="class"):
        balancer.on_request(0, 1, 5, SECOND)


def test_a_jam_from_the_start_is_not_taken_for_the_uncrowded_state() -> None:
    """Born in overload, the lowest mean ever seen is the jam's own."""
    balancer, host = build(count=20)
    before = 0.0
    for cycle in range(12):
        start = cycle * 500 * MS
        if cycle == 3:  # enough seen for the jam's mean to have become the base
            assert balancer.classes[1].base_latency > 100 * MS
            before = balancer.concurrency_limit
        for i in range(20):
            balancer.on_request(start, cycle * 100 + i, 1, SECOND)
        for c in host.named("send"):
            # Every backend answers, and every fifth attempt runs into its aim.
            rid = int(str(c[1]))
            late = (rid + cycle) % 5 == 0
            taken = (195 if late else 110) * MS
            balancer.on_outcome(start + taken, rid, 0, 4 if late else 1, taken, False)
        host.calls.clear()
        balancer.on_timer(start + 400 * MS, 2)
    assert balancer.concurrency_limit < before


def test_a_marked_client_retry_waits_behind_first_tries() -> None:
    """Told to stay away past its aim, a client that is back is late already."""
    balancer, host = build(Settings(classes=(PURE,), max_retry_after=SECOND), count=1)
    for i in range(balancer.state.total):
        balancer.on_request(MS, i, 0, SECOND)
    balancer.on_request(MS, 50, 0, SECOND, client_retry=True)
    balancer.on_request(MS, 51, 0, SECOND)
    host.calls.clear()
    balancer.on_outcome(2 * MS, 0, 0, 1, MS, True)
    balancer.on_outcome(2 * MS, 1, 0, 1, MS, True)
    assert [c[1] for c in host.named("send")] == [51, 50]


@pytest.mark.parametrize(
    ("longest", "marks", "told"),
    [(SECOND, False, 0), (SECOND, True, SECOND), (100 * MS, False, 100 * MS)],
)
def test_no_wait_past_the_aim_is_asked_of_unmarked_clients(
    longest: int, marks: bool, told: int
) -> None:
    """They would come back late, look like new, and keep a jam going."""
    settings = Settings(classes=(PURE,), max_retry_after=longest, marks_retry=marks)
    balancer, host = build(settings, count=1)
    for i in range(20):
        balancer.on_request(1, i, 0, SECOND)
    balancer.on_timer(190 * MS, 1)
    assert host.waits
    assert set(host.waits) == {told}


def test_a_try_late_by_its_first_waits_behind() -> None:
    """Less time left than usual tells how long ago the client began."""
    balancer, host = build(Settings(classes=(PURE,)), count=1)
    for i in range(balancer.state.total):
        balancer.on_request(MS, i, 0, 500 * MS)
    balancer.on_request(MS, 50, 0, 300 * MS)  # began 700 ms ago, its aim is 200
    balancer.on_request(MS, 51, 0, 980 * MS)  # a last try, begun 20 ms ago
    balancer.on_request(MS, 52, 0, 500 * MS)
    host.calls.clear()
    for i in range(3):
        balancer.on_outcome(2 * MS, i, 0, 1, MS, True)
    assert [c[1] for c in host.named("send")] == [51, 52, 50]


def test_first_tries_are_not_taken_for_late_beside_longer_last_tries() -> None:
    """Last tries may have the most time left; judged by them all others looked late."""
    balancer, _ = build(Settings(classes=(PURE,)), count=1)
    for i in range(30):
        balancer.on_request(MS, i, 0, 980 * MS if i % 3 == 2 else 400 * MS)
    assert balancer.state.deferred == 0
    assert balancer.state.queued > 0


def test_times_left_that_vary_tell_nothing() -> None:
    balancer, _ = build(Settings(classes=(PURE,)), count=1)
    for i in range(40):
        balancer.on_request(MS, i, 0, (1000 - 25 * (i * 7 % 40)) * MS)
    assert balancer.state.deferred <= 2  # only while few have been seen


def test_errors_that_come_at_once_leave_the_retry_budget_alone() -> None:
    """Charged in full, a few failing backends used it up and others idled."""
    balancer, host = build(Settings(classes=(PURE,), max_attempts=3))
    for i in range(40):
        balancer.on_request(MS * i, i, 0, SECOND)
        balancer.on_outcome(MS * i + 1000, i, 0, 2, 1000, False)
        balancer.on_outcome(MS * i + 2000, i, 1, 1, 1000, True)
    assert len(host.named("send")) == 80


def test_slow_errors_are_bounded_by_the_retry_budget() -> None:
    balancer, host = build(Settings(classes=(PURE,), max_attempts=3))
    for i in range(40):
        balancer.on_request(SECOND * i, i, 0, SECOND)
        balancer.on_outcome(SECOND * i + 100 * MS, i, 0, 2, 100 * MS, False)
        balancer.on_outcome(SECOND * i + 101 * MS, i, 1, 1, MS, True)
    assert len(host.named("send")) < 80


def answers(balancer: Balancer, host: Host, start: int, count: int, taken: int) -> None:
    for i in range(count):
        balancer.on_request(start, start // MS * 100 + i, 0, SECOND)
    for c in host.named("send"):
        balancer.on_outcome(start + taken, int(str(c[1])), 0, 1, taken, True)
    host.calls.clear()
    balancer.on_timer(start + 400 * MS, 2)


def test_a_class_seen_too_little_does_not_sink_the_level() -> None:
    """Its uncrowded latency is not known yet: most of the aim may be usual."""
    balancer, host = build(count=20)
    before = balancer.concurrency_limit
    for k in range(4):
        answers(balancer, host, k * SECOND // 2, 4, 150 * MS)
    assert balancer.concurrency_limit >= before


def test_a_thin_class_is_judged_over_several_cycles() -> None:
    balancer, host = build(count=20)
    for k in range(8):
        answers(balancer, host, k * SECOND // 2, 5, 100 * MS)
    before = balancer.concurrency_limit
    answers(balancer, host, 4 * SECOND, 3, 180 * MS)  # three answers are chance
    assert balancer.concurrency_limit >= before
    for k in range(9, 13):
        answers(balancer, host, k * SECOND // 2, 5, 180 * MS)
    assert balancer.concurrency_limit < before


def test_few_answers_of_one_jam_cut_the_level_once() -> None:
    balancer, host = build(count=20)
    for k in range(8):
        answers(balancer, host, k * SECOND // 2, 10, 60 * MS)
    before = balancer.concurrency_limit
    answers(balancer, host, 4 * SECOND, 5, 190 * MS)
    cut = balancer.concurrency_limit
    assert cut < before
    for k in range(9, 13):  # one quick answer a cycle tells nothing of a jam
        answers(balancer, host, k * SECOND // 2, 1, 60 * MS)
    assert balancer.concurrency_limit == cut


def test_a_class_turned_away_at_a_small_share_gets_out_of_it() -> None:
    """Eq. 8 with a refused class's mean predicts that one more slot cures it."""
    poor = RequestClass("poor", 800 * MS, SECOND, Effect.SIDE_EFFECT, priority_weight=1.0)
    rich = RequestClass("rich", 750 * MS, SECOND, Effect.SIDE_EFFECT, priority_weight=5.0)
    balancer, host = build(Settings(classes=(poor, rich)), count=40)
    for c, share in zip(balancer.classes, (157, 2), strict=True):
        c.share, c.share_sum, c.cycles = share, share * 6.0, 6.0
    for _ in range(3):
        for c, came, served in zip(balancer.classes, (195, 120), (120, 4), strict=True):
            c.arrivals += came
            c.served += served
            c.response_time += served * 400.0 * MS
            c.rejected += came - served
        class_weights.update(balancer.state)
    assert balancer.classes[1].share > 20


def test_fractions_of_a_slot_are_dealt_not_rounded_up() -> None:
    """A level just over 2 must not put a third request on every backend."""
    balancer, host = build(count=20)
    for level, slots in ((1.0, 20), (2.0, 40), (2.1, 42), (2.5, 50)):
        balancer.state.concurrency_limit = level
        balancer.update_caps()
        assert abs(balancer.state.total - slots) <= 1


@pytest.mark.parametrize("within", [2 * SECOND, 10 * SECOND])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_failed_list_calls_are_repeated_within_the_stated_time(within: int, seed: int) -> None:
    """A node that does not ask counts as told of drains it never heard of."""
    settings = Settings(classes=(PURE,), poll=True, poll_within=within, nodes=50)
    balancer, host = build(settings, seed=seed)
    asked = [0]
    while len(asked) < 12:
        due = min(int(str(c[2])) for c in host.named("timer") if c[1] == 3)
        host.calls.clear()
        balancer.on_timer(due, 3)
        assert host.named("watch")
        asked.append(due)
        balancer.on_members(due + 250 * MS, Update.FAILED)
    assert max(b - a for a, b in pairwise(asked)) <= within


def test_gone_backends_leave_nothing_behind() -> None:
    """Backends are ever replaced under new ids; with a list kept of all it never ends."""
    balancer, _ = build(count=3)
    for i in range(200):
        rows = [Listing(1000 + i, State.READY), Listing(999 + i, State.GONE)]
        balancer.on_members(i * SECOND, Update.DELTA, rows)
    assert set(balancer.endpoints) == {100, 101, 102, 1199}


def test_a_line_that_is_never_served_does_not_grow() -> None:
    """What waits behind the others may be refused for ever without a turn."""
    balancer, _ = build(Settings(classes=(PURE,), max_retry_after=SECOND), count=1)
    for k in range(50):
        now = k * SECOND
        for i in range(20):
            balancer.on_request(now, 100 * k + i, 0, SECOND, client_retry=i >= balancer.state.total)
        assert balancer.state.deferred == 20 - balancer.state.total
        balancer.on_timer(now + 190 * MS, 1)
        for i in range(balancer.state.total):
            balancer.on_outcome(now + 191 * MS, 100 * k + i, 0, 1, 191 * MS, True)
    assert len(balancer.classes[0].deferred_queue) == 0


def test_a_backend_passed_over_comes_back_once_nothing_is_out() -> None:
    """It gets nothing while passed over, so no answer could ever clear it."""
    balancer, host = build(Settings(classes=(UNSAFE,)), count=1)
    balancer.on_request(MS, 0, 0, SECOND)
    balancer.on_request(SECOND, 1, 0, SECOND)
    assert balancer.endpoints[100].unresponsive
    assert len(host.named("send")) == 1
    balancer.on_outcome(SECOND + MS, 0, 0, 4, SECOND, True)
    assert [c[1] for c in host.named("send")] == [0, 1]


def test_resets_by_chance_leave_no_backend_out_and_the_budget_alone() -> None:
    """Each third connection breaks as it is used: all is served all the same."""
    balancer, host = build(Settings(classes=(PURE,), max_attempts=4), count=4)
    for i in range(90):
        now = 10 * MS * (i + 1)
        balancer.on_request(now, i, 0, SECOND)
        if i % 3 == 0:
            balancer.on_outcome(now + 1000, i, 0, 6, 1000, False)
            balancer.on_outcome(now + 9 * MS, i, 1, 1, 9 * MS, True)
        else:
            balancer.on_outcome(now + 9 * MS, i, 0, 1, 9 * MS, True)
    assert balancer.state.ejected == 0
    assert not balancer.state.requests
    assert len(host.named("send")) == 120
    assert not host.named("refuse")
