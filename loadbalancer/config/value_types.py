"""Checks the types of a configuration's values by the paths of their keys.

The check runs before decoding, so that the error names the key of a wrong value and not whatever
code fails on it first. A null value counts as absent.
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
# Keys with numeric values, by the path of the object that contains them.
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
    """Check the type of each listed key's value.

    Raises:
        TypeError, ValueError: names the first key with an invalid value.
    """
    for paths, kind, expected in ((OBJECTS, dict, "an object"), (LISTS, list, "a list")):
        for path in paths:
            value = _value_at(raw, path)
            if value is not None and not isinstance(value, kind):
                raise TypeError(f"{path} must be {expected}, not {value!r:.40}")
    for path, value in _numeric_values(raw):
        _check_number(path, value)


def _numeric_values(raw: dict[str, Any]) -> Iterator[tuple[str, object]]:
    """Yield the path and value of each key that must be numeric."""
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
    """Return the value at a dotted path, or None if there is none."""
    value: Any = raw
    for key in path.split("."):
        value = value.get(key) if isinstance(value, dict) else None
    return value


def _check_number(path: str, value: object) -> None:
    if value is not None and (isinstance(value, bool) or not isinstance(value, int | float)):
        raise TypeError(f"{path} must be a number, not {value!r:.40}")
    if isinstance(value, float) and not isfinite(value):
        raise ValueError(f"{path} must be a finite number, not {value}")
