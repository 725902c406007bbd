"""Settings replaced while requests are open: which classes count, and by whose rules."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any

import pytest

from loadbalancer.core import Effect, Outcome, RequestClass, Settings
from loadbalancer.core.balancing.model import MS, SECOND, Tenant, Timer
from loadbalancer.core.balancing.records import AttemptState
from loadbalancer.core.balancing.request_classes import RETIRE_AFTER_NS
from tests.recording_host import PURE, UNSAFE, build

NEW = RequestClass("new", 300 * MS, 900 * MS)


TWO = Settings(classes=(PURE, UNSAFE), max_attempts=4)


def names(balancer: Any) -> list[str]:
    return [c.spec.name for c in balancer.classes if not c.retires_at]


def test_a_class_that_is_the_same_goes_on_as_it_is_wherever_it_stands() -> None:
    balancer, _ = build(TWO)
    pure, unsafe = balancer.classes
    balancer.on_settings(1, replace(TWO, classes=(NEW, UNSAFE, PURE)))
    assert names(balancer) == ["new", "unsafe", "pure"]
    assert balancer.classes[1] is unsafe
    assert balancer.classes[2] is pure
    assert [c.number for c in balancer.classes] == [0, 1, 2]


def test_open_requests_keep_effect_and_attempts_of_their_admission() -> None:
    """credit becomes safe while one is out: that one may have run and is not sent again."""
    balancer, host = build(TWO)
    balancer.on_request(0, 1, 1, 900 * MS)  # unsafe
    balancer.on_request(0, 2, 0, 900 * MS)  # safe, with four attempts
    safe = replace(UNSAFE, effect=Effect.PURE)
    balancer.on_settings(1, replace(TWO, classes=(safe, PURE), max_attempts=1))
    balancer.on_request(2, 3, 1, 900 * MS)
    for rid in (1, 2, 3):
        balancer.on_outcome(3 * MS, rid, 0, Outcome.RESET, MS, False)
    sent = [call[1] for call in host.named("send")]
    assert (sent.count(1), sent.count(2), sent.count(3)) == (1, 2, 1)
    assert ("fail", 1) in host.calls
    assert ("refuse", 3) in host.calls  # safe, and its one attempt is used up


def test_a_dropped_class_finishes_its_queue_and_is_retired() -> None:
    balancer, host = build(TWO, count=1)
    unsafe = balancer.classes[1]
    cap = balancer.state.max_in_flight
    for rid in range(1, cap + 3):
        balancer.on_request(0, rid, 1, 900 * MS)
    assert unsafe.queued == 2
    balancer.on_settings(1, replace(TWO, classes=(PURE,)))
    for rid in range(1, cap + 3):
        balancer.on_outcome(2 * MS, rid, 0, Outcome.OK, MS, True)
    assert {call[1] for call in host.named("send")} == set(range(1, cap + 3))
    balancer.on_timer(RETIRE_AFTER_NS, Timer.CYCLE)
    assert unsafe in balancer.classes
    balancer.on_timer(RETIRE_AFTER_NS + SECOND, Timer.CYCLE)
    assert balancer.classes == [balancer.classes[0]]
    assert unsafe.number == -1


def test_a_class_that_comes_back_is_a_new_one_with_what_it_still_knows() -> None:
    balancer, _ = build(TWO)
    balancer.on_settings(1, replace(TWO, classes=(PURE,)))
    balancer.on_settings(2, TWO)
    assert names(balancer) == ["pure", "unsafe"]
    assert len([c for c in balancer.classes if c.spec.name == "unsafe"]) == 2
    balancer.on_timer(10 * SECOND, Timer.CYCLE)
    assert len(balancer.classes) == 2


def test_clients_that_do_not_know_yet_are_recognised_by_method_and_key() -> None:
    keyed = replace(UNSAFE, effect=Effect.TOKEN, repeat_window=SECOND)
    balancer, _ = build(TWO)
    balancer.on_settings(0, replace(TWO, classes=(PURE, keyed)))

    def effect(now: int, safe: bool, key: bool) -> Effect:
        c = balancer.find_class(now, "unsafe", safe, key)
        assert c is not None
        return c.effect

    assert effect(1, False, True) == Effect.TOKEN
    assert effect(1, False, False) == Effect.SIDE_EFFECT  # as it was told a moment ago
    assert effect(RETIRE_AFTER_NS, False, False) == Effect.TOKEN
    assert balancer.find_class(1, "none", True, False) is None
    balancer.on_settings(1, replace(TWO, classes=(PURE,)))
    assert balancer.find_class(2, "unsafe", False, False) is not None
    assert balancer.find_class(1 + RETIRE_AFTER_NS, "unsafe", False, False) is None


def test_tenants_can_not_change_and_nothing_changes_then() -> None:
    balancer, _ = build(TWO)
    with pytest.raises(ValueError, match="tenants"):
        balancer.on_settings(1, replace(TWO, classes=(NEW,), tenants=(Tenant("a"),)))
    assert names(balancer) == ["pure", "unsafe"]


def test_each_request_ends_once_whatever_the_order_of_events() -> None:  # noqa: C901 - one branch an event
    """Random settings, several within a moment, among requests, ends and time."""
    specs = [
        PURE,
        UNSAFE,
        NEW,
        replace(UNSAFE, effect=Effect.PURE),
        replace(PURE, latency_objective=90 * MS),
    ]
    for seed in range(25):
        random = Random(seed)
        balancer, host = build(TWO, count=2, seed=seed)
        now, rid = 0, 0
        out: list[tuple[int, int]] = []
        once: set[int] = set()  # unsafe by their admission
        for _ in range(400):
            now += random.randrange(20 * MS)
            act = random.randrange(10)
            if act == 0:
                chosen: dict[str, RequestClass] = {}
                for spec in random.sample(specs, random.randrange(1, 5)):
                    chosen[spec.name] = spec
                max_attempts = random.randrange(1, 5)
                classes = tuple(chosen.values())
                balancer.on_settings(now, Settings(classes=classes, max_attempts=max_attempts))
            elif act < 6:
                rid += 1
                cls = random.randrange(len(balancer.settings.classes))
                if balancer.classes[cls].effect == Effect.SIDE_EFFECT:
                    once.add(rid)
                balancer.on_request(now, rid, cls, 900 * MS)
            elif act == 6:
                balancer.on_timer(now, random.choice((1, Timer.CYCLE)))
            elif out:
                r, attempt = random.choice(out)
                outcome = random.choice((Outcome.OK, Outcome.OK, Outcome.RESET, Outcome.FULL))
                done = outcome == Outcome.OK
                if done:
                    host.calls.append(("ok", r))
                tries = len(balancer.state.requests[r].attempts)
                balancer.on_outcome(now, r, attempt, outcome, 5 * MS, done)
                if outcome == Outcome.RESET and r in once:
                    assert r not in balancer.state.requests
                    assert tries == attempt + 1
            running = sum(c.in_flight for c in balancer.classes)
            assert (
                running
                == balancer.in_flight
                == sum(b.in_flight for b in balancer.endpoints.values())
            )
            waiting = sum(c.queued for c in balancer.classes)
            assert waiting == balancer.state.queued
            out = _open(balancer)
        ended = [c[1] for c in host.calls if c[0] in ("refuse", "fail", "ok")]
        assert len(ended) == len(set(ended))


def _open(balancer: Any) -> list[tuple[int, int]]:
    return [
        (r.id, i)
        for r in balancer.state.requests.values()
        for i, a in enumerate(r.attempts)
        if a.state is not AttemptState.ENDED
    ]
