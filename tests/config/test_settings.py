"""Tests for decoding the settings object: field names, and errors that name the invalid value."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from loadbalancer.config.node import ConfigError, load
from loadbalancer.config.settings import SettingsError, settings_from_json, without_nulls
from loadbalancer.core import Effect, RequestClass, Scope, Tenant
from tests.harness import config, roster

MINIMAL = {"balancers": 2, "classes": [{"target": 1, "deadline": 2, "effect": "pure"}], "rules": {}}


def test_a_missing_key_is_named() -> None:
    with pytest.raises(SettingsError, match="balancers"):
        settings_from_json(json.dumps({"classes": [], "rules": {}}).encode())


def test_keys_are_decoded_into_their_fields() -> None:
    raw = MINIMAL | {
        "areas": ["a", "b"],
        "me": 1,
        "my_zone": 1,
        "registry_mode": "ask",
        "realms": [{"name": "acme", "portion": 0.5, "quota_per_s": 20.0}],
        "classes": [
            {"name": "topup", "target": 5, "deadline": 7, "effect": "token", "dedup_scope": "zone",
             "repeat_window": 9, "credit": 3.0, "late_worth": 0.5, "aim_stretch": 2.0},
        ],
        "rules": {"ask_within": 11, "grace_to_answer": 12},
        "limits": {"second_copies": True, "cancelling": True, "dial_timeout": 13,
                   "max_retry_after": 14, "retry_after": True},
        "load_info": {"how": "answers", "columns": ["q"]},
    }  # fmt: skip
    settings = settings_from_json(json.dumps(raw).encode())
    assert (settings.node, settings.nodes) == (1, 2)
    assert (settings.zone, settings.zones) == (1, 2)
    assert settings.classes == (
        RequestClass("topup", 5, 7, Effect.TOKEN, Scope.ZONE, 9, 3.0, 0.5, objective_stretch=2.0),
    )
    assert settings.tenants == (Tenant("acme", 0.5, 20.0),)
    assert settings.poll
    assert (settings.poll_within, settings.answer_slack) == (11, 12)
    assert settings.hedging
    assert settings.can_cancel
    assert (settings.connect_timeout, settings.max_retry_after) == (13, 14)
    assert settings.load_columns == ("q",)


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"classes": [{"deadline": 2, "effect": "pure"}]}, "settings lack 'target'"),
        ({"classes": [{"target": 1, "deadline": 2, "effect": "odd"}]}, "settings lack 'odd'"),
        ({"classes": 7}, "settings hold an unusable value"),
        ({"balancers": "x"}, "settings hold an unusable value"),
        ({"balancers": 0}, "settings hold an unusable value: balancers must be at least 1"),
        ({"rules": []}, "settings hold an unusable value"),
    ],
)
def test_an_invalid_value_is_rejected_with_its_reason(
    change: dict[str, object], message: str
) -> None:
    with pytest.raises(SettingsError, match=message):
        settings_from_json(json.dumps(MINIMAL | change).encode())


@pytest.mark.parametrize("text", [b"{", b"[]", b"null", b"\xff"])
def test_text_that_is_not_a_json_object_is_rejected(text: bytes) -> None:
    with pytest.raises(SettingsError, match="not JSON|not a JSON object"):
        settings_from_json(text)


def test_retry_after_is_off_unless_the_limits_allow_it() -> None:
    limits = {"max_retry_after": 14, "retry_after": False}
    settings = settings_from_json(json.dumps(MINIMAL | {"limits": limits}).encode())
    assert settings.max_retry_after == 0


def test_nulls_count_as_absent_at_every_depth() -> None:
    raw = {"a": None, "b": {"c": None, "d": [1, {"e": None}]}}
    assert without_nulls(raw) == {"b": {"d": [1, {}]}}


# ---- values that no decision uses -------------------------------------------

UNUSED_VALUES = [
    ({"tick": 5}, "tick", 5),
    ({"rules": {"grace_to_answer": 12}}, "answer_slack", 12),
    ({"limits": {"probes": True}}, "can_probe", True),
    ({"goal": {"worst_class": 0.1}}, "worst_class", 0.1),
    ({"prices": {"cross_zone": 0.2}}, "cross_zone_price", 0.2),
    ({"weights": "rough"}, "rated", True),
]


@pytest.mark.parametrize(("change", "name", "value"), UNUSED_VALUES)
def test_an_unused_value_is_accepted_and_changes_the_settings(
    change: dict[str, object], name: str, value: object
) -> None:
    """A reload that changes only such a value counts as a change of settings and is logged."""
    before = settings_from_json(json.dumps(MINIMAL).encode())
    after = settings_from_json(json.dumps(MINIMAL | change).encode())
    assert getattr(after, name) == value
    assert after != before
    assert settings_from_json(json.dumps(MINIMAL | change).encode()) == after


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"tick": "soon"}, "settings.tick must be a number, not 'soon'"),
        ({"rules": {"grace_to_answer": []}}, "settings.rules.grace_to_answer must be a number"),
        ({"rules": {"grace_to_answer": -1}}, "answer_slack must not be negative"),
        ({"goal": {"worst_class": "x"}}, "settings hold an unusable value: could not convert"),
        ({"goal": 7}, "settings.goal must be an object, not 7"),
        ({"prices": {"cross_zone": "x"}}, "settings hold an unusable value: could not convert"),
        ({"prices": []}, r"settings.prices must be an object, not \[\]"),
    ],
)
def test_an_invalid_unused_value_is_rejected_with_its_path_and_reason(
    tmp_path: Path, change: dict[str, object], message: str
) -> None:
    environ = config(tmp_path, roster(), 1, settings=change)
    with pytest.raises(ConfigError, match=message) as caught:
        load(environ)
    assert environ["PROXY_CONFIG"] in str(caught.value)
