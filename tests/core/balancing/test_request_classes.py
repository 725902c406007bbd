"""Tests of replacing the request classes while requests are open."""

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


TWO_CLASSES = Settings(classes=(PURE, UNSAFE), max_attempts=4)


def names_in_force(balancer: Any) -> list[str]:
    return [c.spec.name for c in balancer.classes if not c.retires_at]


def test_an_unchanged_class_keeps_its_state_at_any_position() -> None:
    balancer, _ = build(TWO_CLASSES)
    pure, unsafe = balancer.classes
    balancer.on_settings(1, replace(TWO_CLASSES, classes=(NEW, UNSAFE, PURE)))
    assert names_in_force(balancer) == ["new", "unsafe", "pure"]
    assert balancer.classes[1] is unsafe
    assert balancer.classes[2] is pure
    assert [c.number for c in balancer.classes] == [0, 1, 2]


def test_open_requests_keep_the_rules_of_their_admission() -> None:
    """An unsafe class becomes safe while a request is open. That request may have executed under
    the old rule and is not resent.
    """
    balancer, host = build(TWO_CLASSES)
    balancer.on_request(0, 1, 1, 900 * MS)  # unsafe
    balancer.on_request(0, 2, 0, 900 * MS)  # safe, with four attempts
    safe = replace(UNSAFE, effect=Effect.PURE)
    balancer.on_settings(1, replace(TWO_CLASSES, classes=(safe, PURE), max_attempts=1))
    balancer.on_request(2, 3, 1, 900 * MS)
    for request_id in (1, 2, 3):
        balancer.on_outcome(3 * MS, request_id, 0, Outcome.RESET, MS, False)
    sent = [call[1] for call in host.named("send")]
    assert (sent.count(1), sent.count(2), sent.count(3)) == (1, 2, 1)
    assert ("fail", 1) in host.calls
    assert ("refuse", 3) in host.calls  # safe, but it has no attempt left


def test_a_removed_class_finishes_its_queue_and_is_dropped() -> None:
    balancer, host = build(TWO_CLASSES, count=1)
    unsafe = balancer.classes[1]
    cap = balancer.state.max_in_flight
    for request_id in range(1, cap + 3):
        balancer.on_request(0, request_id, 1, 900 * MS)
    assert unsafe.queued == 2
    balancer.on_settings(1, replace(TWO_CLASSES, classes=(PURE,)))
    for request_id in range(1, cap + 3):
        balancer.on_outcome(2 * MS, request_id, 0, Outcome.OK, MS, True)
    assert {call[1] for call in host.named("send")} == set(range(1, cap + 3))
    balancer.on_timer(RETIRE_AFTER_NS, Timer.CYCLE)
    assert unsafe in balancer.classes
    balancer.on_timer(RETIRE_AFTER_NS + SECOND, Timer.CYCLE)
    assert balancer.classes == [balancer.classes[0]]
    assert unsafe.number == -1


def test_a_class_that_is_added_again_is_a_new_class() -> None:
    balancer, _ = build(TWO_CLASSES)
    balancer.on_settings(1, replace(TWO_CLASSES, classes=(PURE,)))
    balancer.on_settings(2, TWO_CLASSES)
    assert names_in_force(balancer) == ["pure", "unsafe"]
    assert len([c for c in balancer.classes if c.spec.name == "unsafe"]) == 2
    balancer.on_timer(10 * SECOND, Timer.CYCLE)
    assert len(balancer.classes) == 2


def test_clients_with_the_old_settings_are_recognised_by_method_and_key() -> None:
    keyed = replace(UNSAFE, effect=Effect.TOKEN, repeat_window=SECOND)
    balancer, _ = build(TWO_CLASSES)
    balancer.on_settings(0, replace(TWO_CLASSES, classes=(PURE, keyed)))

    def effect(now: int, safe: bool, key: bool) -> Effect:
        c = balancer.find_class(now, "unsafe", safe, key)
        assert c is not None
        return c.effect

    assert effect(1, False, True) == Effect.TOKEN
    # A client without a key still follows the old settings.
    assert effect(1, False, False) == Effect.SIDE_EFFECT
    assert effect(RETIRE_AFTER_NS, False, False) == Effect.TOKEN
    assert balancer.find_class(1, "none", True, False) is None
    balancer.on_settings(1, replace(TWO_CLASSES, classes=(PURE,)))
    assert balancer.find_class(2, "unsafe", False, False) is not None
    assert balancer.find_class(1 + RETIRE_AFTER_NS, "unsafe", False, False) is None


def test_settings_with_other_tenants_are_refused_and_change_nothing() -> None:
    balancer, _ = build(TWO_CLASSES)
    with pytest.raises(ValueError, match="tenants"):
        balancer.on_settings(1, replace(TWO_CLASSES, classes=(NEW,), tenants=(Tenant("a"),)))
    assert names_in_force(balancer) == ["pure", "unsafe"]


def test_each_request_ends_once_for_any_order_of_events() -> None:  # noqa: C901 - one branch per event
    """Random sequences of new settings, requests, outcomes and timers."""
    specs = [
        PURE,
        UNSAFE,
        NEW,
        replace(UNSAFE, effect=Effect.PURE),
        replace(PURE, latency_objective=90 * MS),
    ]
    for seed in range(25):
        random = Random(seed)
        balancer, host = build(TWO_CLASSES, count=2, seed=seed)
        now, request_id = 0, 0
        in_flight: list[tuple[int, int]] = []
        unsafe_ids: set[int] = set()  # requests that were unsafe at their admission
        for _ in range(400):
            now += random.randrange(20 * MS)
            choice = random.randrange(10)
            if choice == 0:
                chosen: dict[str, RequestClass] = {}
                for spec in random.sample(specs, random.randrange(1, 5)):
                    chosen[spec.name] = spec
                max_attempts = random.randrange(1, 5)
                classes = tuple(chosen.values())
                balancer.on_settings(now, Settings(classes=classes, max_attempts=max_attempts))
            elif choice < 6:
                request_id += 1
                cls = random.randrange(len(balancer.settings.classes))
                if balancer.classes[cls].effect == Effect.SIDE_EFFECT:
                    unsafe_ids.add(request_id)
                balancer.on_request(now, request_id, cls, 900 * MS)
            elif choice == 6:
                balancer.on_timer(now, random.choice((1, Timer.CYCLE)))
            elif in_flight:
                r, attempt = random.choice(in_flight)
                outcome = random.choice((Outcome.OK, Outcome.OK, Outcome.RESET, Outcome.FULL))
                done = outcome == Outcome.OK
                if done:
                    host.calls.append(("ok", r))
                attempts_before = len(balancer.state.requests[r].attempts)
                balancer.on_outcome(now, r, attempt, outcome, 5 * MS, done)
                if outcome == Outcome.RESET and r in unsafe_ids:
                    assert r not in balancer.state.requests
                    assert attempts_before == attempt + 1
            attempts_running = sum(c.in_flight for c in balancer.classes)
            assert (
                attempts_running
                == balancer.in_flight
                == sum(b.in_flight for b in balancer.endpoints.values())
            )
            requests_waiting = sum(c.queued for c in balancer.classes)
            assert requests_waiting == balancer.state.queued
            in_flight = _open_attempts(balancer)
        ended = [c[1] for c in host.calls if c[0] in ("refuse", "fail", "ok")]
        assert len(ended) == len(set(ended))


def _open_attempts(balancer: Any) -> list[tuple[int, int]]:
    return [
        (r.id, i)
        for r in balancer.state.requests.values()
        for i, a in enumerate(r.attempts)
        if a.state is not AttemptState.ENDED
    ]
