"""Decodes the JSON settings object of the protocol and of a node's configuration into `Settings`.

Only this module decodes the settings' keys. Many keys differ from the names that the code uses:
the fields of `Settings`, `RequestClass` and `Tenant`.
Unknown keys are ignored, so that newer settings can be read. A null value counts as absent.
Durations are integer nanoseconds, in JSON as in the code.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from loadbalancer.core.balancing.model import (
    Effect,
    RequestClass,
    Scope,
    Settings,
    SettingsError,
    Tenant,
)

__all__ = ["NodeSettings", "SettingsError", "settings_from_json", "without_nulls"]

EFFECTS = {"pure": Effect.PURE, "token": Effect.TOKEN, "side_effect": Effect.SIDE_EFFECT}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}
OFF = "off"  # load reports or endpoint weights are disabled
POLL_MODE = (
    "ask"  # registry mode in which nodes poll for endpoint lists instead of getting them pushed
)
WEIGHT_KINDS = ("nominal", "rough")  # kinds of endpoint weights in the endpoint list

DEFAULT_POLL_WITHIN_NS = 10_000_000_000
DEFAULT_COLD_FROM = 0.1  # fraction of its capacity that an endpoint has at its start
DEFAULT_FALL_NS = 1_000_000_000
DEFAULT_CONNECT_TIMEOUT_NS = 250_000_000
DEFAULT_TICK_NS = 1_000_000


@dataclass(frozen=True, slots=True)
class NodeSettings(Settings):
    """A node's settings, including values that are validated but that no decision uses.

    An invalid one is rejected like any other, and a reload that changes one counts as a change.
    """

    answer_slack: int = 0  # nanoseconds
    can_probe: bool = False
    tick: int = DEFAULT_TICK_NS  # nanoseconds
    worst_class: float = 0.0
    cross_zone_price: float = 0.0
    rated: bool = False  # the endpoint list has weights


def settings_from_json(text: bytes) -> NodeSettings:
    """Decode the settings object.

    Raises:
        SettingsError: if the text is not JSON, lacks a key, or has an invalid value.
    """
    try:
        raw = json.loads(text)
    except ValueError as err:
        raise SettingsError(f"settings are not JSON: {err}") from None
    if not isinstance(raw, dict):
        raise SettingsError("settings are not a JSON object")
    try:
        return _decode_settings(without_nulls(raw))
    except KeyError as err:
        raise SettingsError(f"settings lack {err.args[0]!r}") from None
    except (TypeError, ValueError, AttributeError) as err:
        raise SettingsError(f"settings hold an unusable value: {err}") from None


def without_nulls(raw: dict[str, Any]) -> dict[str, Any]:
    """Copy an object without the keys whose value is null, at every depth."""

    def clean(value: Any) -> Any:
        if isinstance(value, dict):
            return {key: clean(inner) for key, inner in value.items() if inner is not None}
        return [clean(inner) for inner in value] if isinstance(value, list) else value

    return {key: clean(value) for key, value in raw.items() if value is not None}


def _decode_settings(raw: dict[str, Any]) -> NodeSettings:
    rules, limits = raw["rules"], raw.get("limits", {})
    goal, prices = raw.get("goal", {}), raw.get("prices", {})
    load_info = raw.get("load_info", {})
    classes = tuple(_decode_request_class(i, spec) for i, spec in enumerate(raw["classes"]))
    tenants = tuple(_decode_tenant(i, spec) for i, spec in enumerate(raw.get("realms", [])))
    return NodeSettings(
        node=int(raw.get("me", 0)),
        nodes=int(raw["balancers"]),
        zone=int(raw.get("my_zone", 0)),
        zones=max(1, len(raw.get("areas", []))),
        classes=classes,
        tenants=tenants,
        load_columns=tuple(load_info.get("columns", ())) if load_info.get("how") != OFF else (),
        poll=raw.get("registry_mode") == POLL_MODE,
        poll_within=int(rules.get("ask_within", DEFAULT_POLL_WITHIN_NS)),
        drain_grace=int(rules.get("drain_grace", 0)),
        cold_from=float(rules.get("cold_from", DEFAULT_COLD_FROM)),
        cold=int(rules.get("cold", 0)),
        fall_multiple=float(rules.get("fall_multiple", 1.0)),
        fall=int(rules.get("fall", DEFAULT_FALL_NS)),
        answer_slack=int(rules.get("grace_to_answer", 0)),
        max_attempts=int(limits.get("max_attempts", 1)),
        hedging=bool(limits.get("second_copies", False)),
        can_cancel=bool(limits.get("cancelling", False)),
        can_probe=bool(limits.get("probes", False)),
        marks_retry=bool(raw.get("clients", {}).get("marks_retry", False)),
        max_retry_after=int(limits.get("max_retry_after", 0)) if limits.get("retry_after") else 0,
        connect_timeout=int(limits.get("dial_timeout", DEFAULT_CONNECT_TIMEOUT_NS)),
        tick=int(raw.get("tick", DEFAULT_TICK_NS)),
        worst_class=float(goal.get("worst_class", 0.0)),
        cross_zone_price=float(prices.get("cross_zone", 0.0)),
        rated=raw.get("weights", OFF) in WEIGHT_KINDS,
    )


def _decode_request_class(number: int, spec: dict[str, Any]) -> RequestClass:
    return RequestClass(
        name=str(spec.get("name", number)),
        latency_objective=int(spec["target"]),
        deadline=int(spec["deadline"]),
        effect=EFFECTS[spec["effect"]],
        scope=SCOPES[spec.get("dedup_scope", "all")],
        repeat_window=int(spec.get("repeat_window", 0)),
        priority_weight=float(spec.get("credit", 1.0)),
        late_weight=float(spec.get("late_worth", 0.0)),
        stream=bool(spec.get("stream", False)),
        objective_stretch=float(spec.get("aim_stretch", 0.0)),
    )


def _decode_tenant(number: int, spec: dict[str, Any]) -> Tenant:
    return Tenant(
        name=str(spec.get("name", number)),
        portion=float(spec.get("portion", 1.0)),
        quota_per_s=float(spec.get("quota_per_s", 0.0)),
    )
