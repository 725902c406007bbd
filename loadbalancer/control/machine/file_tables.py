"""Helpers that read values and tables of the control machines' file; used by `file`.

An invalid value is recorded as a fault of its table, with the line and the rule, and replaced by
its default or an empty value. Reading continues, so that all faults are reported at once.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Iterable
from difflib import get_close_matches
from typing import Any, TypeVar

from loadbalancer.config.toml_section import Section
from loadbalancer.core.routes.faults import Fault

MAX_RATE = 1e9  # requests a second
MAX_LINES_FILE_BYTES = 64 << 20  # size of a JSON Lines file
MAX_FAULTS = 20  # reported for one JSON Lines file
MAX_LISTED_NAMES = 8  # in a fault, if no similar name can be suggested

T = TypeVar("T")
ReadTable = Callable[[Section], T]


def is_name_list(value: Any) -> bool:
    """Return whether a value is a list of non-empty strings."""
    return isinstance(value, list) and all(isinstance(name, str) and name for name in value)


def integer(table: Section, key: str, default: int, minimum: int, maximum: int) -> int:
    """Read an integer from `minimum` to `maximum`."""
    value = table.raw.get(key, default)
    if type(value) is int and minimum <= value <= maximum:
        return value
    remedy = f"write an integer from {minimum} to {maximum}"
    table.fault(key, "bad-value", f"{key} is {value!r}", remedy)
    return default


def rate(table: Section, key: str) -> float:
    """Read a rate in requests a second, 0 by default."""
    value = table.raw.get(key, 0.0)
    if type(value) in (int, float) and math.isfinite(value) and 0 <= value <= MAX_RATE:
        return float(value)
    table.fault(key, "bad-value", f"{key} is {value!r}", f"write 0 to {MAX_RATE:g} a second")
    return 0.0


def suggestion(value: str, names: list[str]) -> str:
    """Suggest the entry of `names` that is most similar to `value`, or list some of them."""
    similar = get_close_matches(value, names, 1)
    if similar:
        return f"did you mean {similar[0]!r}?"
    return f"write one of {', '.join(names[:MAX_LISTED_NAMES])}"


def check_known(table: Section, key: str, names: Iterable[str], value: str) -> None:
    """Record a fault if `value` is not one of `names`."""
    known = list(names)
    if value and value not in known:
        table.fault(key, f"unknown-{key}", f"no {key} {value!r}", suggestion(value, known))


def sub_table(top: Section, name: str, keys: tuple[str, ...]) -> Section:
    """Return a table of the file with its keys checked; an empty one if the file has none."""
    raw = top.raw.get(name, {})
    if not isinstance(raw, dict):
        top.fault(name, "bad-value", f"{name} is not a table", f"write [{name}]")
        raw = {}
    table = top.sub(raw, name)
    table.known(keys)
    return table


def read_array(
    top: Section, kind: str, keys: tuple[str, ...], max_tables: int, read: ReadTable[T]
) -> list[T]:
    """Read the file's array of tables of one kind."""
    rows = top.raw.get(kind, [])
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        top.fault(kind, "bad-value", f"{kind} is not an array of tables", f"write [[{kind}]]")
        return []
    if len(rows) > max_tables:
        top.fault(kind, "too-many", f"more than {max_tables} of {kind}", "split the fleet")
        return []
    entries = []
    for number, row in enumerate(rows):
        table = top.sub(row, kind, number)
        table.known(keys)
        entries.append(read(table))
    return entries


def read_json_lines(
    top: Section, file_key: str, keys: tuple[str, ...], max_lines: int, read: ReadTable[T]
) -> list[T]:
    """Read the JSON Lines file that `file_key` names: one object per line."""
    lines = _json_lines(top, file_key, max_lines)
    entries: list[T] = []
    faults: list[Fault] = []
    for number, line in enumerate(lines, 1):
        table = Section(_json_object(line), (), {(): number}, top.folder, faults)
        if not table.raw:
            table.fault("", "syntax", "not a JSON object", "write one object per line")
        else:
            table.known(keys)
            entries.append(read(table))
        if len(faults) >= MAX_FAULTS:
            break
    for fault in faults:
        problem = f"{top.path(file_key).name}:{fault.line}: {fault.wrong}"
        top.fault(file_key, fault.rule, problem, fault.right)
    return entries


def _json_lines(top: Section, file_key: str, max_lines: int) -> list[bytes]:
    """Return the lines of the file that `file_key` names; none if the key is absent."""
    if file_key not in top.raw:
        return []
    path = top.path(file_key)
    try:
        with path.open("rb") as file:
            data = file.read(MAX_LINES_FILE_BYTES + 1)
    except OSError as err:
        top.fault(
            file_key,
            "unreadable",
            f"{path.name} can't be read: {err.strerror}",
            "check the path and its permissions",
        )
        return []
    lines = data.splitlines()
    if len(data) > MAX_LINES_FILE_BYTES or len(lines) > max_lines:
        problem = f"{path.name} has more than {MAX_LINES_FILE_BYTES} bytes or {max_lines} lines"
        top.fault(file_key, "too-large", problem, "split the fleet")
        return []
    return lines


def _json_object(line: bytes) -> dict[str, Any]:
    """Parse a line's JSON object; return an empty one if it is not an object."""
    try:
        raw = json.loads(line)
    except (ValueError, RecursionError):
        return {}
    return raw if isinstance(raw, dict) else {}
