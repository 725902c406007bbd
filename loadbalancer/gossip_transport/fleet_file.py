"""Reads deploy/fleet.toml. The file's words are mapped to this program's terms here alone.

| key      | field of `FleetFile` | old key, still read |
|----------|----------------------|---------------------|
| tier     | name                 |                     |
| datagram | datagram             |                     |
| messages | messages             | words               |
| slots    | slots                | seats               |
| readers  | readers              |                     |
"""

from __future__ import annotations

import logging
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from loadbalancer.config import toml_section as section
from loadbalancer.config.toml_file import Key
from loadbalancer.config.toml_section import Section
from loadbalancer.core.routes.faults import Fault
from loadbalancer.errors import SourceError
from loadbalancer.gossip_transport.settings import FleetFile

NUMBERS = {  # key and field: minimum, maximum
    "datagram": (128, 1400),
    "messages": (5, 1000),
    "slots": (1, 10_000),
    "readers": (0, 16),
}
OLD_KEYS = {"words": "messages", "seats": "slots"}
KEYS = ("version", "tier", *NUMBERS)

logger = logging.getLogger(__name__)


class FleetError(SourceError):
    """A fleet file that can't be used; one fault a line."""


def read_fleet(path: str) -> FleetFile:
    """Read and decode the file; old keys are named in one warning in the log.

    Raises:
        FleetError: with every fault and its line.
    """

    def decode_and_warn(
        raw: dict[str, Any], lines: Mapping[Key, int], folder: Path
    ) -> tuple[FleetFile | None, list[Fault]]:
        renamed = warnings(raw, lines)
        if renamed:
            logger.warning("%s:%s", path, "; ".join(map(str, renamed)))
        return decode(raw, lines, folder)

    return section.read_file(path, decode_and_warn, FleetError)


def warnings(raw: dict[str, Any], lines: Mapping[Key, int]) -> list[Fault]:
    """The old keys in a file: each is read, and named with its new one."""
    return [
        Fault(lines.get((old,), 1), "old-key", f"{old} is an old key", f"write {new}")
        for old, new in OLD_KEYS.items()
        if old in raw
    ]


def decode(
    raw: dict[str, Any], lines: Mapping[Key, int], folder: Path = Path()
) -> tuple[FleetFile | None, list[Fault]]:
    """The decoded file, or None and its faults in the file's order."""
    top = section.top_of(raw, lines, folder, (*KEYS, *OLD_KEYS))
    defaults = FleetFile()
    name = top.text("tier", defaults.name)
    numbers = {field: _number(top, field, getattr(defaults, field)) for field in NUMBERS}
    if top.faults:
        return None, sorted(top.faults)
    return FleetFile(name, **numbers), []


def _number(top: Section, field: str, default: int) -> int:
    """A number of the file, under its key or its old one; a fault is at the key in use."""
    old = next((key for key, new in OLD_KEYS.items() if new == field and key in top.raw), None)
    if old is not None and field in top.raw:
        top.fault(old, "twice", f"{old} is the old key of {field}", f"write {field} alone")
        return default
    key = old or field
    minimum, maximum = NUMBERS[field]
    value = top.raw.get(key, default)
    if type(value) is int and minimum <= value <= maximum:
        return value
    top.fault(
        key, "bad-value", f"{key} is no whole number", f"write one from {minimum} to {maximum}"
    )
    return default
