"""Reads typed values from parsed TOML and reports invalid ones with their line.

Absent and invalid values are both returned as None, so that a decoder continues with
the next key and one run finds all faults of a file.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping, Sequence
from difflib import get_close_matches
from typing import Any, TypeVar, cast

from loadbalancer.core.routes.faults import FaultLog

MAX_DURATION = 3600 * 1_000_000_000  # nanoseconds
MAX_QUOTED = 40  # characters of an invalid value quoted in a fault

KeyPath = tuple[str | int, ...]
T = TypeVar("T")

_UNITS = {"us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "m": 60_000_000_000}
_DURATION = re.compile(r"(\d{1,9}(?:\.\d{1,6})?)(us|ms|s|m)").fullmatch
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}").fullmatch
_NAME_RULE = "write letters, digits, '.', '_' and '-', 64 at most"
_TYPE_NAMES: dict[type, str] = {
    str: "a string",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    list: "an array",
    dict: "a table",
}


def suggestion(value: str, known: Iterable[str], otherwise: str) -> str:
    """Suggest the known word closest to `value`, or return `otherwise` if none is close."""
    near = get_close_matches(value, known, 1)
    return f"did you mean {near[0]!r}?" if near else otherwise


def is_name(text: str) -> bool:
    """Whether this is a valid name for a class, service or route."""
    return _NAME(text) is not None


def parse_duration(text: str) -> int | None:
    """Parse a duration such as "250ms" to nanoseconds; None if it is not a number and unit."""
    match = _DURATION(text)
    if match is None:
        return None
    # Integer arithmetic, as 0.1 s has no exact binary floating-point representation.
    integer, _, fraction = match[1].partition(".")
    unit = _UNITS[match[2]]
    return int(integer) * unit + int(fraction or "0") * unit // int(10 ** len(fraction))


class Lines:
    """Line of each key; a key that is not in the file gets the line of its table."""

    __slots__ = ("_at",)

    def __init__(self, at: Mapping[KeyPath, int]) -> None:
        self._at = at

    def of(self, path: KeyPath) -> int:
        """Return the line of a key, counted from 1."""
        while path:
            if path in self._at:
                return self._at[path]
            path = path[:-1]
        return 1


class TableReader:
    """Reads the keys of one table of the file."""

    __slots__ = ("faults", "lines", "path", "raw")

    def __init__(
        self, raw: Mapping[str, Any], path: KeyPath, lines: Lines, faults: FaultLog
    ) -> None:
        self.raw = raw
        self.path = path
        self.lines = lines
        self.faults = faults

    def line(self, *keys: str | int) -> int:
        """Return the line of a key of this table, or of the table itself."""
        return self.lines.of((*self.path, *keys))

    def fault(self, key: str, rule: str, wrong: str, right: str) -> None:
        """Report a fault at one of this table's keys."""
        self.faults.add(self.line(key), rule, wrong, right)

    def fault_here(self, rule: str, wrong: str, right: str) -> None:
        """Report a fault at the line of this table."""
        self.faults.add(self.line(), rule, wrong, right)

    def dotted(self, *keys: str) -> str:
        """Return the dotted name of this table or of a key in it, without array indexes."""
        return ".".join((*(part for part in self.path if isinstance(part, str)), *keys))

    def known(self, keys: Sequence[str]) -> None:
        """Report every key of this table that is not in `keys`."""
        for key in self.raw:
            if key not in keys:
                right = suggestion(key, keys, f"known keys are {', '.join(keys)}")
                where = self.dotted() or "the file"
                self.fault(key, "unknown-key", f"{where} has no key {key!r}", right)

    def child(self, key: str) -> TableReader | None:
        """Return a nested table, or None if it is absent."""
        raw = self.value(key, dict)
        return None if raw is None else self._at(raw, key)

    def section(self, key: str) -> TableReader:
        """Return a nested table, or an empty one if it is absent."""
        return self._at(self.value(key, dict) or {}, key)

    def children(self, key: str) -> list[TableReader]:
        """Return an array of tables, or an empty list if it is absent."""
        found = self.value(key, list) or []
        if all(isinstance(table, dict) for table in found):
            return [self._at(table, key, i) for i, table in enumerate(found)]
        right = f"write [[{self.dotted(key)}]]"
        self.fault(key, "wrong-type", f"{key} is not an array of tables", right)
        return []

    def _at(self, raw: Mapping[str, Any], *keys: str | int) -> TableReader:
        return TableReader(raw, (*self.path, *keys), self.lines, self.faults)

    def value(self, key: str, kind: type[T]) -> T | None:
        """Return a value of this type; an integer is accepted as a float."""
        value = self.raw.get(key)
        if value is None:
            return None
        if isinstance(value, bool) and kind is not bool:
            valid = False
        else:
            valid = isinstance(value, kind) or (kind is float and isinstance(value, int))
        if valid:
            return cast(T, value)
        wrong = f"{key} is {type(value).__name__} {str(value)[:MAX_QUOTED]!r}"
        self.fault(key, "wrong-type", wrong, f"write {_TYPE_NAMES[kind]}")
        return None

    def number(self, key: str, low: float, high: float) -> float | None:
        """Return a number from `low` to `high`, both inclusive."""
        value = self.value(key, float)
        if value is None or low <= value <= high:
            return value
        self.fault(
            key, "bad-value", f"{key} is {value}", f"write a number from {low:g} to {high:g}"
        )
        return None

    def duration(self, key: str) -> int | None:
        """Return a duration such as "250ms" in nanoseconds, above 0 and up to MAX_DURATION."""
        value = self.raw.get(key)
        if value is None:
            return None
        result = parse_duration(value) if isinstance(value, str) else None
        if result is None:
            right = 'write a string of a number and a unit (us, ms, s or m), such as "250ms"'
            self.fault(key, "bad-unit", f"{key} is {str(value)[:MAX_QUOTED]!r}", right)
            return None
        if not 0 < result <= MAX_DURATION:
            self.fault(key, "bad-value", f"{key} is {value}", "write more than 0 and at most 60m")
            return None
        return result

    def choice(self, key: str, choices: Mapping[str, T]) -> T | None:
        """Return the value that the word given for this key maps to."""
        value = self.value(key, str)
        if value is None:
            return None
        if value in choices:
            return choices[value]
        right = suggestion(value, choices, f"write one of {', '.join(choices)}")
        self.fault(key, "bad-value", f"{key} is {value!r}", right)
        return None

    def choices(self, key: str, known: Sequence[str], rule: str) -> list[str] | None:
        """Return an array of known words; others are reported under `rule` and left out."""
        values = self.value(key, list)
        if values is None:
            return None
        good = []
        for i, value in enumerate(values):
            if isinstance(value, str) and value in known:
                good.append(value)
                continue
            right = suggestion(str(value), known, f"known values are {', '.join(known)}")
            wrong = f"{key} contains {str(value)[:MAX_QUOTED]!r}"
            self.faults.add(self.line(key, i), rule, wrong, right)
        return good

    def name(self, others: dict[str, int], what: str) -> str:
        """Return the `name` of this table, which must not be in `others` (names with lines)."""
        name = self.value("name", str)
        if name is None:
            if "name" not in self.raw:
                self.fault("name", "missing-key", f"a {what} has no name", 'write name = "..."')
            return f"{what}-{self.path[-1]}"
        if not is_name(name):
            self.fault("name", "bad-value", f"a {what} is named {name[:70]!r}", _NAME_RULE)
        if name in others:
            wrong = f"{what} {name!r} is already used in line {others[name]}"
            self.fault("name", "duplicate-name", wrong, "give it another name")
        others.setdefault(name, self.line("name"))
        return name

    def check_own_name(self, name: str, what: str) -> None:
        """Report a table whose key is not a valid name."""
        if not is_name(name):
            self.fault_here("bad-value", f"{what} is named {name!r}", _NAME_RULE)
