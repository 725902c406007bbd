"""Reads deploy/fleet.toml.

| key      | field of `FleetFile` | deprecated key      |
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

NUMBER_RANGES = {  # key, which is also the field's name: minimum, maximum
    "datagram": (128, 1400),
    "messages": (5, 1000),
    "slots": (1, 10_000),
    "readers": (0, 16),
}
OLD_KEYS = {"words": "messages", "seats": "slots"}  # deprecated keys, which are still read
KEYS = ("version", "tier", *NUMBER_RANGES)

logger = logging.getLogger(__name__)


class FleetError(SourceError):
    """A fleet file that can't be used. The message has one fault per line."""


def read_fleet(path: str) -> FleetFile:
    """Read and decode the file. One warning in the log names all deprecated keys.

    Raises:
        FleetError: if the file has faults; the message has all of them with their lines.
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
    """One warning for each deprecated key in a file, with the key that replaces it."""
    return [
        Fault(lines.get((old,), 1), "old-key", f"{old} is an old key", f"write {new}")
        for old, new in OLD_KEYS.items()
        if old in raw
    ]


def decode(
    raw: dict[str, Any], lines: Mapping[Key, int], folder: Path = Path()
) -> tuple[FleetFile | None, list[Fault]]:
    """The decoded file and no faults, or None and its faults in the order of the file."""
    top = section.top_of(raw, lines, folder, (*KEYS, *OLD_KEYS))
    defaults = FleetFile()
    name = top.text("tier", defaults.name)
    numbers = {field: _number(top, field, getattr(defaults, field)) for field in NUMBER_RANGES}
    if top.faults:
        return None, sorted(top.faults)
    return FleetFile(name, **numbers), []


def _number(top: Section, field: str, default: int) -> int:
    """The number under a key or its deprecated key; a fault refers to the key in the file."""
    old = next((key for key, new in OLD_KEYS.items() if new == field and key in top.raw), None)
    if old is not None and field in top.raw:
        top.fault(old, "twice", f"{old} is the old key of {field}", f"write {field} alone")
        return default
    key = old or field
    minimum, maximum = NUMBER_RANGES[field]
    value = top.raw.get(key, default)
    if type(value) is int and minimum <= value <= maximum:
        return value
    top.fault(
        key,
        "bad-value",
        f"{key} is not an integer in range",
        f"write one from {minimum} to {maximum}",
    )
    return default
