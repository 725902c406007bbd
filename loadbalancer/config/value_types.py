"""The types that a configuration's values must have, by their keys' paths.

Checked before anything is decoded, so that a wrong value is named by its key and not by whatever
fails on it first. Null is absent everywhere.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import isfinite
from typing import Any

OBJECTS = (
    "limits",
    "known",
    "settings",
    "settings.rules",
    "settings.limits",
    "settings.load_info",
    "settings.clients",
    "settings.goal",
    "settings.prices",
)
LISTS = ("peers", "settings.classes", "settings.areas", "settings.skus", "settings.realms")
# Keys whose value is a number, by the object that they stand in.
NUMBERS = {
    "limits": ("memory_mb", "sockets"),
    "settings": ("me", "my_zone", "balancers", "tick"),
    "settings.rules": (
        "ask_within",
        "drain_grace",
        "cold",
        "cold_from",
        "fall",
        "fall_multiple",
        "grace_to_answer",
    ),
    "settings.limits": (
        "max_attempts",
        "dial_timeout",
        "idle_close",
        "open_cap",
        "max_retry_after",
    ),
}
CLASS_NUMBERS = ("target", "deadline", "repeat_window", "credit", "late_worth", "aim_stretch")


def check_types(raw: dict[str, Any]) -> None:
    """Check every key's value.

    Raises:
        TypeError, ValueError: names the first key whose value is not what it must be.
    """
    for paths, kind, what in ((OBJECTS, dict, "an object"), (LISTS, list, "a list")):
        for path in paths:
            value = _value_at(raw, path)
            if value is not None and not isinstance(value, kind):
                raise TypeError(f"{path} must be {what}, not {value!r:.40}")
    for path, value in _numbers(raw):
        _check_number(path, value)


def _numbers(raw: dict[str, Any]) -> Iterator[tuple[str, object]]:
    """The paths and values of all keys that hold numbers."""
    for path, keys in NUMBERS.items():
        for key in keys:
            yield f"{path}.{key}", _value_at(raw, f"{path}.{key}")
    for number, spec in enumerate(_value_at(raw, "settings.classes") or ()):
        path = f"settings.classes[{number}]"
        if not isinstance(spec, dict):
            raise TypeError(f"{path} must be an object, not {spec!r:.40}")
        for key in CLASS_NUMBERS:
            yield f"{path}.{key}", spec.get(key)


def _value_at(raw: dict[str, Any], path: str) -> Any:
    """The value at a dotted path, None where there is none."""
    value: Any = raw
    for key in path.split("."):
        value = value.get(key) if isinstance(value, dict) else None
    return value


def _check_number(path: str, value: object) -> None:
    if value is not None and (isinstance(value, bool) or not isinstance(value, int | float)):
        raise TypeError(f"{path} must be a number, not {value!r:.40}")
    if isinstance(value, float) and not isfinite(value):
        raise ValueError(f"{path} must be a number that ends, not {value}")
