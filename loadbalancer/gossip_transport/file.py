"""Reads deploy/fleet.toml. The file's words are mapped to this program's terms here alone.

| key      | field of `FleetFile` |
|----------|----------------------|
| tier     | name                 |
| datagram | datagram             |
| words    | messages             |
| seats    | slots                |
| readers  | readers              |
"""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any

from loadbalancer.config import toml_section as section
from loadbalancer.config.toml_file import Key
from loadbalancer.config.toml_section import Section
from loadbalancer.core.routes.faults import Fault
from loadbalancer.errors import SourceError
from loadbalancer.gossip_transport.settings import FleetFile

KEYS = ("version", "tier", "datagram", "words", "seats", "readers")
NUMBERS = {  # key: field, minimum, maximum
    "datagram": ("datagram", 128, 1400),
    "words": ("messages", 5, 1000),
    "seats": ("slots", 1, 10_000),
    "readers": ("readers", 0, 16),
}


class FleetError(SourceError):
    """A fleet file that can't be used; one fault a line."""


def read_fleet(path: str) -> FleetFile:
    """Read and decode the file.

    Raises:
        FleetError: with every fault and its line.
    """
    return section.read_file(path, decode, FleetError)


def decode(
    raw: dict[str, Any], lines: Mapping[Key, int], folder: Path = Path()
) -> tuple[FleetFile | None, list[Fault]]:
    """The decoded file, or None and its faults in the file's order."""
    top = section.top_of(raw, lines, folder, KEYS)
    defaults = FleetFile()
    name = top.text("tier", defaults.name)
    numbers = {
        field: _number(top, key, getattr(defaults, field), minimum, maximum)
        for key, (field, minimum, maximum) in NUMBERS.items()
    }
    if top.faults:
        return None, sorted(top.faults)
    return FleetFile(name, **numbers), []


def _number(top: Section, key: str, default: int, minimum: int, maximum: int) -> int:
    value = top.raw.get(key, default)
    if type(value) is int and minimum <= value <= maximum:
        return value
    top.fault(
        key, "bad-value", f"{key} is no whole number", f"write one from {minimum} to {maximum}"
    )
    return default
