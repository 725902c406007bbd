"""Tests for exporting what a Balancer has learned, and restoring it in another process."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest

from loadbalancer.core import Listing, Outcome, Settings, State, Update, learned_state
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.balancing.outlier_detection import eject
from tests.recording_host import KEYED, PURE, build, rows


def exported_data() -> dict[str, object]:
    balancer, _ = build(count=4)
    balancer.on_members(0, Update.DELTA, [Listing(9, State.READY, boot=1)])
    for request in range(1, 30):
        balancer.on_request(request * MS, request, request % 3, 900 * MS)
        balancer.on_outcome(request * MS + 5 * MS, request, 0, Outcome.OK, 5 * MS, True)
    eject(balancer.state, SECOND, balancer.endpoints[101], True, False)
    return learned_state.export(balancer, SECOND)


def test_learned_state_passes_through_json_with_times_as_durations() -> None:
    raw = json.loads(json.dumps(exported_data()))
    successor, _ = build(count=4)
    successor.on_members(0, Update.DELTA, [Listing(9, State.READY)])
    now = 500 * SECOND  # the successor has another clock
    learned_state.restore(successor, now, learned_state.parse(raw))
    assert (
        successor.classes[0].latency == raw["classes"]["pure"][0] != build()[0].classes[0].latency
    )
    assert successor.endpoints[101].ejected_until > now
    assert successor.state.ejected == 1
    assert now < successor.endpoints[9].cold_until <= now + successor.settings.cold  # still cold
    for step in range(1, 200):
        successor.on_timer(now + step * SECOND, 1)
    assert successor.state.ejected == 0
    assert not successor.endpoints[101].ejected_until


def test_of_two_classes_with_one_name_the_current_one_is_exported() -> None:
    balancer, _ = build(Settings(classes=(KEYED, PURE)))
    balancer.classes[1].latency = 77.0 * MS
    balancer.on_settings(1, Settings(classes=(replace(PURE, latency_objective=150 * MS),)))
    balancer.classes[0].latency = 33.0 * MS
    assert learned_state.export(balancer, 2)["classes"] == {
        "pure": [33.0 * MS, 0.0, 0.0, balancer.classes[0].share, [0] * 65]
    }


def test_endpoints_that_are_no_longer_known_are_skipped() -> None:
    successor, _ = build(count=1)
    successor.on_members(0, Update.FULL, rows(1, first=500))
    learned_state.restore(
        successor, SECOND, learned_state.parse(json.loads(json.dumps(exported_data())))
    )
    assert set(successor.endpoints) == {500}
    assert successor.state.ejected == 0


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
def test_malformed_data_is_refused_completely(key: str, value: object) -> None:
    with pytest.raises(
        ValueError, match="learned state of another process is malformed, none is restored"
    ):
        learned_state.parse(exported_data() | {key: value})


def test_restored_state_is_not_more_permissive_than_the_present_one() -> None:
    """Before the data arrives, retry credit is spent and the list reports a later start."""
    balancer, _ = build(Settings((PURE,), cold=10 * SECOND), count=0)
    old, _ = build(Settings((PURE,), cold=10 * SECOND), count=0)
    old.on_members(0, Update.FULL, [Listing(100, State.READY, boot=SECOND)])
    learned = learned_state.parse(learned_state.export(old, 9 * SECOND))
    balancer.on_members(9 * SECOND, Update.FULL, [Listing(100, State.READY, boot=9 * SECOND)])
    balancer.state.retry_credit = 1.0
    learned_state.restore(balancer, 9 * SECOND, learned)
    assert balancer.state.retry_credit == 1.0
    assert balancer.endpoints[100].cold_until == 19 * SECOND
