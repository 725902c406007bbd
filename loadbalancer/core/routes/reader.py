"""Typed values out of parsed TOML; what can't be read is a fault at its line.

A value that is absent and one that is a fault both read as None, so that a
decoder goes on to the next key and a file's faults are all found in one run.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping, Sequence
from difflib import get_close_matches
from typing import Any, TypeVar, cast

from loadbalancer.core.routes.faults import FaultLog

MAX_DURATION = 3600 * 1_000_000_000  # nanoseconds
MAX_QUOTED = 40  # characters of a wrong value that a fault quotes

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
    """The known word nearest to a wrong one, or `otherwise` where none is near."""
    near = get_close_matches(value, known, 1)
    return f"did you mean {near[0]!r}?" if near else otherwise


def is_name(text: str) -> bool:
    """Whether a class, service or route may be named so."""
    return _NAME(text) is not None


def parse_duration(text: str) -> int | None:
    """Nanoseconds of a text such as "250ms", None where it is no number with a unit."""
    match = _DURATION(text)
    if match is None:
        return None
    # Scaled in whole numbers: 0.1 s is not a sum of binary fractions.
    integer, _, fraction = match[1].partition(".")
    unit = _UNITS[match[2]]
    return int(integer) * unit + int(fraction or "0") * unit // int(10 ** len(fraction))


class Lines:
    """Where each key stands; a key that is not in the file stands where its table does."""

    __slots__ = ("_at",)

    def __init__(self, at: Mapping[KeyPath, int]) -> None:
        self._at = at

    def of(self, path: KeyPath) -> int:
        """The line of a key, from 1."""
        while path:
            if path in self._at:
                return self._at[path]
            path = path[:-1]
        return 1


class TableReader:
    """One table of the file, read key by key."""

    __slots__ = ("faults", "lines", "path", "raw")

    def __init__(
        self, raw: Mapping[str, Any], path: KeyPath, lines: Lines, faults: FaultLog
    ) -> None:
        self.raw = raw
        self.path = path
        self.lines = lines
        self.faults = faults

    def line(self, *keys: str | int) -> int:
        """The line of a key of this table, or of the table itself."""
        return self.lines.of((*self.path, *keys))

    def fault(self, key: str, rule: str, wrong: str, right: str) -> None:
        """Report a fault at one of this table's keys."""
        self.faults.add(self.line(key), rule, wrong, right)

    def fault_here(self, rule: str, wrong: str, right: str) -> None:
        """Report a fault of the table as a whole."""
        self.faults.add(self.line(), rule, wrong, right)

    def dotted(self, *keys: str) -> str:
        """The name of this table, or of a key in it, without positions in arrays."""
        return ".".join((*(part for part in self.path if isinstance(part, str)), *keys))

    # ---- whole tables -------------------------------------------------

    def known(self, keys: Sequence[str]) -> None:
        """Report every key that is not one of these."""
        for key in self.raw:
            if key not in keys:
                right = suggestion(key, keys, f"known are {', '.join(keys)}")
                where = self.dotted() or "the file"
                self.fault(key, "unknown-key", f"{where} has no key {key!r}", right)

    def child(self, key: str) -> TableReader | None:
        """A table in this one, None where it is absent."""
        raw = self.value(key, dict)
        return None if raw is None else self._at(raw, key)

    def section(self, key: str) -> TableReader:
        """As child, empty where it is absent."""
        return self._at(self.value(key, dict) or {}, key)

    def children(self, key: str) -> list[TableReader]:
        """An array of tables, empty where it is absent."""
        found = self.value(key, list) or []
        if all(isinstance(table, dict) for table in found):
            return [self._at(table, key, i) for i, table in enumerate(found)]
        right = f"write [[{self.dotted(key)}]]"
        self.fault(key, "wrong-type", f"{key} is no array of tables", right)
        return []

    def _at(self, raw: Mapping[str, Any], *keys: str | int) -> TableReader:
        return TableReader(raw, (*self.path, *keys), self.lines, self.faults)

    # ---- single values ------------------------------------------------

    def value(self, key: str, kind: type[T]) -> T | None:
        """A value of this type; a whole number will do for a float."""
        value = self.raw.get(key)
        if value is None:
            return None
        if isinstance(value, bool) and kind is not bool:
            good = False
        else:
            good = isinstance(value, kind) or (kind is float and isinstance(value, int))
        if good:
            return cast(T, value)
        wrong = f"{key} is {type(value).__name__} {str(value)[:MAX_QUOTED]!r}"
        self.fault(key, "wrong-type", wrong, f"write {_TYPE_NAMES[kind]}")
        return None

    def number(self, key: str, low: float, high: float) -> float | None:
        """A number from `low` to `high`."""
        value = self.value(key, float)
        if value is None or low <= value <= high:
            return value
        self.fault(key, "bad-value", f"{key} is {value}", f"write {low:g} to {high:g}")
        return None

    def duration(self, key: str) -> int | None:
        """Nanoseconds of a string such as "250ms", above 0 and up to MAX_DURATION."""
        value = self.raw.get(key)
        if value is None:
            return None
        result = parse_duration(value) if isinstance(value, str) else None
        if result is None:
            right = 'write a number and us, ms, s or m as a string, such as "250ms"'
            self.fault(key, "bad-unit", f"{key} is {str(value)[:MAX_QUOTED]!r}", right)
            return None
        if not 0 < result <= MAX_DURATION:
            self.fault(key, "bad-value", f"{key} is {value}", "write more than 0, 60m at most")
            return None
        return result

    def choice(self, key: str, choices: Mapping[str, T]) -> T | None:
        """What one of these words stands for."""
        value = self.value(key, str)
        if value is None:
            return None
        if value in choices:
            return choices[value]
        right = suggestion(value, choices, f"write one of {', '.join(choices)}")
        self.fault(key, "bad-value", f"{key} is {value!r}", right)
        return None

    def choices(self, key: str, known: Sequence[str], rule: str) -> list[str] | None:
        """An array of some of these words; any other breaks `rule` and is left out."""
        values = self.value(key, list)
        if values is None:
            return None
        good = []
        for i, value in enumerate(values):
            if isinstance(value, str) and value in known:
                good.append(value)
                continue
            right = suggestion(str(value), known, f"known are {', '.join(known)}")
            wrong = f"{key} names {str(value)[:MAX_QUOTED]!r}"
            self.faults.add(self.line(key, i), rule, wrong, right)
        return good

    def name(self, others: dict[str, int], what: str) -> str:
        """This table's own name, which `others` (names and their lines) must not have yet."""
        name = self.value("name", str)
        if name is None:
            if "name" not in self.raw:
                self.fault("name", "missing-key", f"a {what} has no name", 'write name = "..."')
            return f"{what}-{self.path[-1]}"
        if not is_name(name):
            self.fault("name", "bad-value", f"a {what} is named {name[:70]!r}", _NAME_RULE)
        if name in others:
            wrong = f"{what} {name!r} is there already, in line {others[name]}"
            self.fault("name", "duplicate-name", wrong, "give it another name")
        others.setdefault(name, self.line("name"))
        return name

    def check_own_name(self, name: str, what: str) -> None:
        """Report a table whose key, its name, is not one that may be given."""
        if not is_name(name):
            self.fault_here("bad-value", f"{what} is named {name!r}", _NAME_RULE)
