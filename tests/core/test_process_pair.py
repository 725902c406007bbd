"""The division of caps between two processes, and what one leaves the other, without I/O."""

from __future__ import annotations

import json
from dataclasses import replace
from random import Random

import pytest

from loadbalancer.core import Listing, Outcome, Settings, State, Update, learned_state
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.balancing.outlier_detection import eject
from loadbalancer.core.process_pair import (
    EndpointUse,
    PredecessorShare,
    SuccessorShare,
    endpoint_use,
)
from tests.recording_host import KEYED, PURE, build, rows


def test_the_two_stay_within_one_cap_whatever_the_order_of_words() -> None:
    """Random caps, ends, sends and words that arrive late: never more than the larger cap."""
    for seed in range(40):
        random = Random(seed)
        cap = {b: random.randrange(0, 6) for b in range(1, 30)}
        most = dict(cap)
        old, new = PredecessorShare(), SuccessorShare()
        held = {b: random.randrange(0, cap[b] + 1) for b in cap}
        ours = dict.fromkeys(cap, 0)
        words = [old.begin(EndpointUse(b, cap[b], held[b], b % 7 == 0) for b in cap)]
        new.update(words.pop())
        need = 1.0
        for _ in range(300):
            b = random.choice(list(cap))
            act = random.randrange(6)
            if act == 0 and held[b] < old.of(b, cap[b]):
                held[b] += 1
            elif act == 1 and held[b]:
                held[b] -= 1
            elif act == 2 and ours[b] < new.of(b, cap[b]):
                ours[b] += 1
            elif act == 3:
                need *= random.random()
                words.append(
                    old.release([EndpointUse(b, cap[b], held[b], False) for b in cap], need)
                )
            elif act == 4 and words:
                new.update(words.pop(0))
            elif act == 5 and ours[b]:
                ours[b] -= 1
            assert held[b] + ours[b] <= max(most[b], held[b])
            assert all(held[b] <= old.slots.get(b, 0) for b in cap)
        for word in words:
            new.update(word)
        new.update(old.release([EndpointUse(b, cap[b], 0, False) for b in cap], 0.0))
        assert all(new.of(b, cap[b]) == cap[b] for b in cap)


def test_caps_of_one_fall_to_both_sides_and_cold_ones_to_the_new_one() -> None:
    old = PredecessorShare()
    kept = old.begin(EndpointUse(b, 1, 0, False) for b in range(1, 101))
    assert 40 <= sum(kept.values()) <= 60
    assert (
        sum(PredecessorShare().begin(EndpointUse(b, 3, 0, True) for b in range(1, 101)).values())
        == 0
    )
    assert PredecessorShare().begin([EndpointUse(1, 3, 2, True)]) == {1: 2}


def test_a_balancer_sends_within_its_part_and_takes_the_rest_back() -> None:
    balancer, host = build(count=4)
    left = SuccessorShare()
    left.update({b.id: b.cap for b in balancer.endpoints.values() if b.id != 100})
    balancer.state.limit_share = left
    balancer.update_caps()
    for rid in range(1, 20):
        balancer.on_request(1, rid, 0, 900 * MS)
    assert {call[2] for call in host.named("send")} == {100}
    assert [row.cap for row in endpoint_use(balancer, 1)] == [
        b.node_cap for b in balancer.endpoints.values()
    ]
    balancer.state.limit_share = None
    balancer.update_caps()
    balancer.dispatch(1)
    assert {call[2] for call in host.named("send")} == {100, 101, 102, 103}


def learned() -> dict[str, object]:
    balancer, _ = build(count=4)
    balancer.on_members(0, Update.DELTA, [Listing(9, State.READY, boot=1)])
    for rid in range(1, 30):
        balancer.on_request(rid * MS, rid, rid % 3, 900 * MS)
        balancer.on_outcome(rid * MS + 5 * MS, rid, 0, Outcome.OK, 5 * MS, True)
    eject(balancer.state, SECOND, balancer.endpoints[101], True, False)
    return learned_state.export(balancer, SECOND)


def test_what_was_learned_comes_through_json_and_by_spans() -> None:
    raw = json.loads(json.dumps(learned()))
    heir, _ = build(count=4)
    heir.on_members(0, Update.DELTA, [Listing(9, State.READY)])
    now = 500 * SECOND  # of another clock
    learned_state.restore(heir, now, learned_state.parse(raw))
    assert heir.classes[0].latency == raw["classes"]["pure"][0] != build()[0].classes[0].latency
    assert heir.endpoints[101].ejected_until > now
    assert heir.state.ejected == 1
    assert now < heir.endpoints[9].cold_until <= now + heir.settings.cold  # cold as it was
    for step in range(1, 200):
        heir.on_timer(now + step * SECOND, 1)
    assert heir.state.ejected == 0
    assert not heir.endpoints[101].ejected_until


def test_of_two_classes_of_one_name_the_one_that_counts_is_left() -> None:
    balancer, _ = build(Settings(classes=(KEYED, PURE)))
    balancer.classes[1].latency = 77.0 * MS
    balancer.on_settings(1, Settings(classes=(replace(PURE, latency_objective=150 * MS),)))
    balancer.classes[0].latency = 33.0 * MS
    assert learned_state.export(balancer, 2)["classes"] == {
        "pure": [33.0 * MS, 0.0, 0.0, balancer.classes[0].share, [0] * 65]
    }


def test_what_is_not_known_any_more_is_passed_over() -> None:
    heir, _ = build(count=1)
    heir.on_members(0, Update.FULL, rows(1, first=500))
    learned_state.restore(heir, SECOND, learned_state.parse(json.loads(json.dumps(learned()))))
    assert set(heir.endpoints) == {500}
    assert heir.state.ejected == 0


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("level", "much"),
        ("level", float("nan")),
        ("classes", [1]),
        ("classes", {"pure": [1, 2]}),
        ("classes", {"pure": [1, 2, 3, 4, [1]]}),
        ("backends", {"x": [1, 1, 0, 0, 1, 0]}),
        ("backends", {"1": [1, -1, 0, 0, 1, 0]}),
        ("send_rate", None),
    ],
)
def test_what_is_of_another_form_is_refused_whole(key: str, value: object) -> None:
    with pytest.raises(ValueError, match="not what a Balancer has learned"):
        learned_state.parse(learned() | {key: value})
