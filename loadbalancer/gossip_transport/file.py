"""deploy/fleet.toml, decoded in one place; without it a node goes by the platform's terms."""

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
LEAST_DATAGRAM, MOST_DATAGRAM = 128, 1400
LEAST_MESSAGES, MOST_MESSAGES = 5, 1000
MOST_SLOTS = 10_000
MOST_READERS = 16


class FleetError(SourceError):
    """A fleet file that can't be used; one fault a line."""


def read_fleet(path: str) -> FleetFile:
    """Read and decode it; FleetError with every fault and its line."""
    return section.read_file(path, decode, FleetError)


def decode(
    raw: dict[str, Any], lines: Mapping[Key, int], folder: Path = Path()
) -> tuple[FleetFile | None, list[Fault]]:
    """The decoded file, or its faults in the file's order."""
    top = section.top_of(raw, lines, folder, KEYS)
    usual = FleetFile()
    tier = top.text("tier", usual.tier)
    datagram = _within(top, "datagram", usual.datagram, LEAST_DATAGRAM, MOST_DATAGRAM)
    messages = _within(top, "words", usual.messages, LEAST_MESSAGES, MOST_MESSAGES)
    slots = _within(top, "seats", usual.slots, 1, MOST_SLOTS)
    readers = _within(top, "readers", usual.readers, 0, MOST_READERS)
    if top.faults:
        return None, sorted(top.faults)
    return FleetFile(tier, datagram, messages, slots, readers), []


def _within(top: Section, key: str, usual: int, least: int, most: int) -> int:
    value = top.raw.get(key, usual)
    if type(value) is int and least <= value <= most:
        return value
    top.fault(key, "bad-value", f"{key} is no whole number", f"write one from {least} to {most}")
    return usual
