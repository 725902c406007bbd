"""What one process leaves the next, as plain data."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest

from loadbalancer.core import Listing, Outcome, Settings, State, Update, learned_state
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.balancing.outlier_detection import eject
from tests.recording_host import KEYED, PURE, build, rows


def learned() -> dict[str, object]:
    balancer, _ = build(count=4)
    balancer.on_members(0, Update.DELTA, [Listing(9, State.READY, boot=1)])
    for rid in range(1, 30):
        balancer.on_request(rid * MS, rid, rid % 3, 900 * MS)
        balancer.on_outcome(rid * MS + 5 * MS, rid, 0, Outcome.OK, 5 * MS, True)
    eject(balancer.state, SECOND, balancer.endpoints[101], True, False)
    return learned_state.export(balancer, SECOND)


def test_what_was_learned_passes_through_json_as_spans() -> None:
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


def test_of_two_classes_of_one_name_the_one_that_counts_is_exported() -> None:
    balancer, _ = build(Settings(classes=(KEYED, PURE)))
    balancer.classes[1].latency = 77.0 * MS
    balancer.on_settings(1, Settings(classes=(replace(PURE, latency_objective=150 * MS),)))
    balancer.classes[0].latency = 33.0 * MS
    assert learned_state.export(balancer, 2)["classes"] == {
        "pure": [33.0 * MS, 0.0, 0.0, balancer.classes[0].share, [0] * 65]
    }


def test_what_is_not_known_any_more_is_skipped() -> None:
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
def test_data_of_another_form_is_refused_completely(key: str, value: object) -> None:
    with pytest.raises(ValueError, match="not what a Balancer has learned"):
        learned_state.parse(learned() | {key: value})


def test_what_was_learned_late_permits_no_more_than_is_known_here() -> None:
    """A process has spent credit, and the list has named a new start, before the data comes."""
    balancer, _ = build(Settings((PURE,), cold=10 * SECOND), count=0)
    old, _ = build(Settings((PURE,), cold=10 * SECOND), count=0)
    old.on_members(0, Update.FULL, [Listing(100, State.READY, boot=SECOND)])
    learned = learned_state.parse(learned_state.export(old, 9 * SECOND))
    balancer.on_members(9 * SECOND, Update.FULL, [Listing(100, State.READY, boot=9 * SECOND)])
    balancer.state.retry_credit = 1.0
    learned_state.restore(balancer, 9 * SECOND, learned)
    assert balancer.state.retry_credit == 1.0
    assert balancer.endpoints[100].cold_until == 19 * SECOND
