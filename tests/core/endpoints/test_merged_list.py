"""The merged list: no source's mistake takes the pool away, every real departure is acted on."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise
from random import Random

import pytest

from loadbalancer.core import State
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.balancing.outlier_detection import MAX_SILENT_FAILURES, answered
from loadbalancer.core.endpoints.attempt_evidence import is_alive
from loadbalancer.core.endpoints.merged_list import Health, Member, Members, Rules, Source, Word
from loadbalancer.core.endpoints.revisions import MAX_CHANGES, Revisions
from tests.recording_host import build

MINUTE = 60 * SECOND
CONSUL = Source("consul", 2, 10 * SECOND)
LIST = Source("list", 1)


def word(i: int, health: Health = Health.PASSING, **more: object) -> Word:
    return replace(Word(f"s-{i}", "127.0.0.1", 9000 + i, "east", health), **more)  # type: ignore[arg-type]


def pool(count: int, *bad: int, health: Health = Health.CRITICAL) -> list[Word]:
    return [word(i, health if i in bad else Health.PASSING) for i in range(1, count + 1)]


def ready(m: Members) -> set[str]:
    return {x.uid for x in m.members() if x.state == State.READY}


def one(m: Members, uid: str) -> Member:
    return next(x for x in m.members() if x.uid == uid)


def started(count: int, alive: object = None, rules: Rules | None = None) -> Members:
    m = Members([CONSUL], rules, alive or (lambda _: None))  # type: ignore[arg-type]
    assert m.told(0, "consul", pool(count), True)
    assert len(ready(m)) == count
    return m


def test_states_become_what_the_module_is_told() -> None:
    rows = pool(10)
    rows[0], rows[1], rows[2] = (
        word(1, Health.WARNING, weight=0.5), word(2, Health.CRITICAL), word(3, Health.MAINTENANCE),
    )  # fmt: skip
    m = started(10, rules=Rules(most=1.0))
    m.told(SECOND, "consul", rows, True)
    assert (one(m, "s-1").state, one(m, "s-1").weight) == (State.READY, 0.5)
    assert one(m, "s-2").state == State.DRAINING and one(m, "s-2").why == "critical"
    assert one(m, "s-3").state == State.DRAINING and one(m, "s-3").why == "maintenance"
    assert one(m, "s-4").words == (("consul", Health.PASSING, 0),)


def test_an_empty_answer_is_no_news_until_it_has_been_repeated() -> None:
    m = started(10)
    for second in range(1, 60):
        m.told(second * SECOND, "consul", [], True)
        assert len(ready(m)) == 10
    for second in range(60, 400):
        m.told(second * SECOND, "consul", [], True)
    assert ready(m) == set()
    m = started(10)
    m.told(SECOND, "consul", [], True)
    m.told(50 * SECOND, "consul", pool(10), True)
    m.told(MINUTE, "consul", [], True)  # counted anew
    m.told(2 * MINUTE - SECOND, "consul", [], True)
    assert len(ready(m)) == 10


def test_half_the_list_leaves_at_a_stated_pace_oldest_first() -> None:
    m = started(100)
    seen = []
    for second in range(1, 121):
        m.told(second * SECOND, "consul", pool(50), True)
        seen.append(100 - len(ready(m)))
    assert seen[0] == 16 and seen[29] <= 36 and seen == sorted(seen)  # a fifth of what is left
    assert seen[-1] == 50
    assert all(b - a <= 2 for a, b in pairwise(seen))


def test_half_called_critical_that_answer_stay_and_half_that_died_go_at_once() -> None:
    bad = range(1, 51)
    m = started(100, alive=lambda _: True)
    for second in range(1, 600):
        m.told(second * SECOND, "consul", pool(100, *bad), True)
        assert len(ready(m)) >= 75
    held = [x for x in m.members() if x.state == State.READY and "not believed" in x.why]
    assert len(held) == 25
    m = started(100, alive=lambda uid: int(uid[2:]) not in bad)
    m.told(SECOND, "consul", pool(100, *bad), True)
    assert len(ready(m)) == 50
    assert "own answers agree" in one(m, "s-1").why


def test_a_check_that_flaps_changes_the_list_a_bounded_number_of_times() -> None:
    """Thirty of 270, every second for an hour."""
    m = started(270)
    changes = m.changes
    for second in range(1, 3601):
        flapping = range(1, 31) if second % 2 else ()
        m.told(second * SECOND, "consul", pool(270, *flapping), True)
    # Each may leave and come back a few times before it is held.
    assert m.changes - changes <= 30 * 4
    assert len(ready(m)) >= 240
    for second in range(3601, 3800):
        m.told(second * SECOND, "consul", pool(270), True)
    assert len(ready(m)) == 270


def test_a_flapping_server_that_then_dies_leaves_in_the_end() -> None:
    m = started(10)
    for second in range(1, 20):
        m.told(second * SECOND, "consul", pool(10, *([1] if second % 2 else [])), True)
    held = one(m, "s-1").state
    for second in range(20, 200):
        m.told(second * SECOND, "consul", pool(10, 1), True)
    assert held in (State.READY, State.DRAINING)
    assert one(m, "s-1").state == State.DRAINING


def test_deregistration_is_a_drain_and_then_gone() -> None:
    m = started(10)
    m.told(SECOND, "consul", pool(9), True)
    assert one(m, "s-10").state == State.DRAINING and one(m, "s-10").why == "gone"
    assert m.due(SECOND) == 2 * SECOND
    m.settle(2 * SECOND)
    assert one(m, "s-10").state == State.DRAINING
    m.settle(3 * SECOND)
    assert "s-10" not in {x.uid for x in m.members()}
    assert m.due(3 * SECOND) == 0


def test_a_doubted_server_that_is_replaced_makes_room_for_doubt_again() -> None:
    """Four servers, one of which may be out for its checks' word alone."""
    m = Members([CONSUL, LIST], Rules(most=1.0))
    m.told(0, "consul", pool(4), True)
    m.told(0, "list", [word(5, Health.CRITICAL), word(1)], False)
    m.told(SECOND, "consul", pool(4, 1), True)
    assert len(ready(m)) == 3
    # Its place is another's now; the list still speaks of it, so that it is not forgotten.
    m.told(2 * SECOND, "consul", [word(9, port=9001), *pool(4, 1)], True)
    assert "s-9" in ready(m)
    m.told(3 * SECOND, "consul", [word(9, port=9001), *pool(4, 1, 2)], True)
    assert one(m, "s-2").state == State.DRAINING


def test_a_new_id_at_the_same_address_replaces_the_old_one_and_starts_cold() -> None:
    m = started(10)
    rows = [*pool(9), word(10, uid="s-new")]
    m.told(5 * SECOND, "consul", rows, True)
    new = one(m, "s-new")
    assert (new.state, new.boot) == (State.READY, 5 * SECOND)
    assert "s-10" not in ready(m)
    m.told(6 * SECOND, "consul", rows, True)
    assert one(m, "s-new").boot == 5 * SECOND


def test_the_same_id_at_a_new_address_is_another_process() -> None:
    m = started(10)
    m.told(5 * SECOND, "consul", [*pool(9), word(10, port=9999)], True)
    moved = one(m, "s-10")
    assert (moved.port, moved.boot, moved.state) == (9999, 5 * SECOND, State.READY)
    # The old place is free for another.
    m.told(6 * SECOND, "consul", [*pool(9), word(10, port=9999), word(11, port=9010)], True)
    assert one(m, "s-11").state == State.READY and one(m, "s-11").boot == 0


def test_two_ids_of_one_source_at_one_address_are_one_process() -> None:
    m = started(3)
    rows = [*pool(3), word(9, port=9001)]
    m.told(SECOND, "consul", rows, True)
    assert len(ready(m)) == 3 and one(m, "s-9").why == "the same address as s-1"
    m.told(2 * SECOND, "consul", rows[1:], True)  # the first leaves: the second takes its place
    assert "s-9" in ready(m) and "s-1" not in ready(m)


def test_a_server_found_dead_is_cold_when_it_is_back() -> None:
    dead = {"s-1"}
    m = started(10, alive=lambda uid: uid not in dead)
    m.told(SECOND, "consul", pool(10, 1), True)
    assert one(m, "s-1").state == State.DRAINING
    dead.clear()
    m.told(9 * SECOND, "consul", pool(10), True)
    assert (one(m, "s-1").state, one(m, "s-1").boot) == (State.READY, 9 * SECOND)


def test_what_begins_critical_is_not_in_until_it_passes() -> None:
    m = Members([CONSUL])
    m.told(0, "consul", pool(3, 2), True)
    assert ready(m) == {"s-1", "s-3"} and one(m, "s-2").why == "never in: critical"
    m.told(SECOND, "consul", pool(3), True)
    assert len(ready(m)) == 3


# ---- several sources -----------------------------------------------------


def both() -> Members:
    m = Members([CONSUL, LIST])
    m.told(0, "list", [replace(word(i), uid=f"uid-{i}") for i in range(1, 5)], True)
    m.told(0, "consul", pool(4), True)
    return m


def test_sources_that_name_one_address_speak_of_one_server() -> None:
    m = both()
    assert ready(m) == {f"uid-{i}" for i in range(1, 5)}
    assert {name for name, _, _ in one(m, "uid-1").words} == {"consul", "list"}
    m.told(SECOND, "consul", pool(4, 2), True)
    assert one(m, "uid-2").state == State.DRAINING  # the higher rank decides


def test_an_old_word_stands_back_behind_a_fresh_one_of_lower_rank() -> None:
    m = both()
    m.told(SECOND, "consul", pool(4, 2), True)
    rows = [replace(word(i), uid=f"uid-{i}") for i in range(1, 5)]
    m.told(8 * SECOND, "list", rows, True)
    assert one(m, "uid-2").state == State.DRAINING
    m.told(20 * SECOND, "list", rows, True)  # Consul has been silent for longer than it is fresh
    assert one(m, "uid-2").state == State.READY


def test_a_silent_source_takes_nothing_away() -> None:
    m = started(10)
    for minute in range(1, 100):
        assert not m.settle(minute * MINUTE)
    assert len(ready(m)) == 10


# ---- any course ------------------------------------------------------------


@pytest.mark.parametrize("seed", range(40))
def test_no_course_of_answers_takes_out_more_than_the_stated_most(seed: int) -> None:
    """Random answers of two sources; then quiet: what really left is out, the rest is in."""
    random = Random(seed)
    count = random.choice([1, 5, 40])
    dead: set[str] = set()
    rules = Rules()
    m = Members([CONSUL, LIST], rules, lambda uid: False if uid in dead else None)
    m.told(0, "consul", pool(count), True)
    now = 0
    outs: list[int] = []  # when a server that nobody found dead was taken out
    before = ready(m)
    for _ in range(300):
        now += random.randrange(1, 3 * SECOND)
        rows = [
            word(i, random.choice(list(Health)[:4]))
            for i in range(1, count + 1)
            if random.random() < 0.7
        ]
        if random.random() < 0.1:
            rows = []
        if random.random() < 0.05:
            dead = {f"s-{random.randrange(1, count + 1)}"}
        m.told(now, random.choice(["consul", "list"]), rows, random.random() < 0.5)
        after = ready(m)
        outs += [now for uid in before - after if uid not in dead]
        before = after
        recent = [t for t in outs if now - t < rules.window]
        assert len(recent) <= 2 * max(rules.most * count, 1.0)
    dead = set()
    left = pool(count)[: count // 2 + 1]
    for _ in range(400):
        now += SECOND
        m.told(now, "list", left, True)
        m.told(now, "consul", left, True)
    assert ready(m) == {w.uid for w in left}


def test_those_that_go_on_answering_leave_last() -> None:
    m = started(10, lambda uid: True if uid == "s-1" else None)
    m.told(SECOND, "consul", pool(10, 1, 2, 3, health=Health.MAINTENANCE), True)
    assert {f"s-{i}" for i in range(1, 11)} - ready(m) == {"s-2"}  # a fifth of nine


def test_a_firm_sources_drains_are_orders_whatever_others_say() -> None:
    m = Members([CONSUL, Source("platform", 0, firm=True)])
    assert not m.complete()
    m.told(0, "platform", pool(10), True)
    assert m.complete()  # all sources of one rank have told whole lists
    m.told(0, "consul", pool(10), True)
    m.told(SECOND, "platform", pool(10, *range(1, 9), health=Health.MAINTENANCE), False)
    assert ready(m) == {"s-9", "s-10"}
    assert one(m, "s-1").why == "maintenance, as ordered"


def test_a_server_is_alive_or_dead_by_a_balancers_own_attempts() -> None:
    balancer, _ = build(count=2)
    assert is_alive(balancer, SECOND, 100) is None and is_alive(balancer, SECOND, 9) is None
    b = balancer.endpoints[100]
    answered(SECOND, b)
    assert is_alive(balancer, 2 * SECOND, 100) is True
    assert is_alive(balancer, 7 * SECOND, 100) is None  # too long ago
    b.consecutive_failures = MAX_SILENT_FAILURES
    assert is_alive(balancer, 2 * SECOND, 100) is False


def test_a_holder_of_a_version_is_told_what_changed_or_all() -> None:
    r: Revisions[int] = Revisions(100)
    assert r.replace({"a": 1, "b": 2}) and not r.replace({"a": 1, "b": 2})
    assert r.since(100) == ({"a": 1, "b": 2}, False) and r.since(101) == ({}, False)
    assert r.replace({"a": 3}) and r.since(101) == ({"a": 3, "b": None}, False)
    for unknown in (0, 99, 103):
        assert r.since(unknown) == ({"a": 3}, True)
    for i in range(MAX_CHANGES):
        r.replace({"a": 4 + i})
    assert r.since(102) == ({"a": 3 + MAX_CHANGES}, False)
    assert r.since(101)[1]  # not remembered any more
