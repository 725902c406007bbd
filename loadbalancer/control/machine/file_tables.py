"""Reading values and tables of the control machines' file; `file` knows what they mean.

A value that can't be used becomes a fault of its table, which names the line and the rule, and is
read as its default or as empty, so that all faults of a file are found at once.
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
MAX_LINES_FILE_BYTES = 64 << 20  # of a file of JSON lines
MAX_FAULTS = 20  # reported of one file of JSON lines
MAX_NAMED = 8  # names that a fault lists where none is near

T = TypeVar("T")
ReadTable = Callable[[Section], T]


def is_name_list(value: Any) -> bool:
    """Whether a value is an array of names."""
    return isinstance(value, list) and all(isinstance(name, str) and name for name in value)


def integer(table: Section, key: str, default: int, minimum: int, maximum: int) -> int:
    """An integer within these bounds."""
    value = table.raw.get(key, default)
    if type(value) is int and minimum <= value <= maximum:
        return value
    right = f"write a whole number from {minimum} to {maximum}"
    table.fault(key, "bad-value", f"{key} is {value!r}", right)
    return default


def rate(table: Section, key: str) -> float:
    """Requests a second, 0 where none is stated."""
    value = table.raw.get(key, 0.0)
    if type(value) in (int, float) and math.isfinite(value) and 0 <= value <= MAX_RATE:
        return float(value)
    table.fault(key, "bad-value", f"{key} is {value!r}", f"write 0 to {MAX_RATE:g} a second")
    return 0.0


def nearest(value: str, names: list[str]) -> str:
    """What to write instead: the nearest of these names, or the first of them."""
    near = get_close_matches(value, names, 1)
    if near:
        return f"did you mean {near[0]!r}?"
    return f"write one of {', '.join(names[:MAX_NAMED])}"


def check_known(table: Section, key: str, names: Iterable[str], value: str) -> None:
    """Add a fault where the value is none of these names."""
    known = list(names)
    if value and value not in known:
        table.fault(key, f"unknown-{key}", f"no {key} {value!r}", nearest(value, known))


def sub_table(top: Section, name: str, keys: tuple[str, ...]) -> Section:
    """One table of the file, with its keys checked; empty where there is none."""
    raw = top.raw.get(name, {})
    if not isinstance(raw, dict):
        top.fault(name, "bad-value", f"{name} is no table", f"write [{name}]")
        raw = {}
    table = top.sub(raw, name)
    table.known(keys)
    return table


def read_array(
    top: Section, kind: str, keys: tuple[str, ...], max_tables: int, read: ReadTable[T]
) -> list[T]:
    """The file's own array of tables of one kind."""
    rows = top.raw.get(kind, [])
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        top.fault(kind, "bad-value", f"{kind} is no array of tables", f"write [[{kind}]]")
        return []
    if len(rows) > max_tables:
        top.fault(kind, "too-many", f"over {max_tables} of {kind}", "divide the fleet")
        return []
    found = []
    for number, row in enumerate(rows):
        table = top.sub(row, kind, number)
        table.known(keys)
        found.append(read(table))
    return found


def read_json_lines(
    top: Section, file_key: str, keys: tuple[str, ...], max_lines: int, read: ReadTable[T]
) -> list[T]:
    """The objects of the file that `file_key` names, one a line."""
    lines = _json_lines(top, file_key, max_lines)
    found: list[T] = []
    faults: list[Fault] = []
    for number, line in enumerate(lines, 1):
        table = Section(_json_object(line), (), {(): number}, top.folder, faults)
        if not table.raw:
            table.fault("", "syntax", "is no JSON object", "write one a line")
        else:
            table.known(keys)
            found.append(read(table))
        if len(faults) >= MAX_FAULTS:
            break
    for fault in faults:
        wrong = f"{top.path(file_key).name}:{fault.line}: {fault.wrong}"
        top.fault(file_key, fault.rule, wrong, fault.right)
    return found


def _json_lines(top: Section, file_key: str, max_lines: int) -> list[bytes]:
    """The lines of the file that `file_key` names; none where there is no such key."""
    if file_key not in top.raw:
        return []
    path = top.path(file_key)
    try:
        with path.open("rb") as file:
            data = file.read(MAX_LINES_FILE_BYTES + 1)
    except OSError as err:
        top.fault(file_key, "unreadable", f"{path.name} can't be read: {err.strerror}", "see it")
        return []
    lines = data.splitlines()
    if len(data) > MAX_LINES_FILE_BYTES or len(lines) > max_lines:
        wrong = f"{path.name} has over {MAX_LINES_FILE_BYTES} bytes or {max_lines} lines"
        top.fault(file_key, "too-large", wrong, "divide the fleet")
        return []
    return lines


def _json_object(line: bytes) -> dict[str, Any]:
    """The line's object; an empty one where it is none."""
    try:
        raw = json.loads(line)
    except (ValueError, RecursionError):
        return {}
    return raw if isinstance(raw, dict) else {}
