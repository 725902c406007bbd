"""Reads deploy/consul.toml. The file's words are mapped to this program's terms here alone.

| key           | field of `ConsulFile`                    |
|---------------|------------------------------------------|
| datacentres   | zones_by_datacentre                      |
| lines/readers | lines_per_second, one reader's part      |
| fresh         | max_age_s                                |
| read          | api                                      |
| platform      | merges_platform_list                     |

All other keys are fields by the same name.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any, TypeVar

from loadbalancer.config import toml_section as section
from loadbalancer.config.address import Address
from loadbalancer.config.toml_file import Key
from loadbalancer.config.toml_section import Section
from loadbalancer.core.routes.faults import Fault
from loadbalancer.errors import SourceError

KEYS = (
    "version", "agents", "service", "datacentres", "token_file", "ca_file", "lines", "readers",
    "consistency", "fresh", "tags", "read", "shard_by", "zone_meta", "cell_meta",
    "platform",
)  # fmt: skip
SHARD_BY = ("id", "node", "address")
META_PREFIX = "meta."  # before a key of a server's meta in `shard_by`
DEFAULT_LINES = 200  # a second, of all readers
MAX_COUNT = 1_000_000
MAX_AGENTS = 16
MARGIN = 0.95  # part of the lines that is shared out: clocks of two services never agree
_META = re.compile(r"meta\.[A-Za-z0-9_-]{1,128}")
_SECONDS = re.compile(r"(\d{1,5})s")
_TAG = re.compile(r"[A-Za-z0-9._:=/-]{1,255}")


class ConsulError(SourceError):
    """A consul file, or the token it names, that can't be used; one fault a line."""


class Consistency(Enum):
    """Which of Consul's servers may answer. Source: Consul HTTP API, "Consistency modes"."""

    STALE = "stale"
    DEFAULT = "default"
    CONSISTENT = "consistent"


class ServiceApi(Enum):
    """The API that servers are read from; the catalogue has no health checks."""

    HEALTH = "health"
    CATALOG = "catalog"


Choice = TypeVar("Choice", Consistency, ServiceApi)


@dataclass(frozen=True, slots=True)
class ConsulFile:
    """The contents of a consul file.

    Attributes:
        agents: tried in turn.
        service: its name in Consul.
        zones_by_datacentre: the datacentres to read, and the zone of each one's servers.
        token_file: has the token that requests carry.
        ca_file: certificates of the authorities to trust; None for plain TCP.
        lines_per_second: lines that this reader may request.
        consistency: of each request.
        max_age_s: how old Consul's answer may be.
        tags: a server has all of them.
        api: where servers are read from.
        shard_by: the field whose last characters tell servers apart: id, node, address or
            meta.NAME.
        zone_meta: of a server's meta, the key that names its zone; "" for none.
        cell_meta: of a server's meta, the key that has the number of its cell; "" for none.
        merges_platform_list: whether the platform's list is one more source.
    """

    agents: tuple[Address, ...]
    service: str
    zones_by_datacentre: Mapping[str, str]
    token_file: Path | None
    ca_file: Path | None
    lines_per_second: int
    consistency: Consistency
    max_age_s: int
    tags: tuple[str, ...] = ()
    api: ServiceApi = ServiceApi.HEALTH
    shard_by: str = "id"
    zone_meta: str = ""
    cell_meta: str = ""
    merges_platform_list: bool = False


def source_name(datacentre: str) -> str:
    """The name of a datacentre as a source of the merged list."""
    return f"consul:{datacentre}"


def read_consul(path: str) -> ConsulFile:
    """Read and decode a file.

    Raises:
        ConsulError: with every fault and its line.
    """
    return section.read_file(path, decode, ConsulError)


def decode(
    raw: dict[str, Any], lines: Mapping[Key, int], folder: Path = Path()
) -> tuple[ConsulFile | None, list[Fault]]:
    """The decoded file, or None and its faults in the file's order."""
    top = section.top_of(raw, lines, folder, KEYS)
    found = ConsulFile(
        agents=_agents(top),
        service=top.text("service"),
        zones_by_datacentre=_zones(top),
        token_file=_path(top, "token_file"),
        ca_file=_path(top, "ca_file"),
        lines_per_second=_lines_per_second(top),
        consistency=_choice(top, "consistency", Consistency.STALE),
        max_age_s=_max_age_s(top),
        tags=_tags(top),
        api=_choice(top, "read", ServiceApi.HEALTH),
        shard_by=_shard_by(top),
        zone_meta=top.text("zone_meta") if "zone_meta" in raw else "",
        cell_meta=top.text("cell_meta") if "cell_meta" in raw else "",
        merges_platform_list=_flag(top, "platform"),
    )
    # Failure: a value that is no string is found only after the faults have been looked at, `check`
    # calls the file good, and a node would read the file's folder as its token. So every key is
    # read before this line.
    if top.faults:
        return None, sorted(top.faults)
    return found, []


def _path(top: Section, key: str) -> Path | None:
    """A path that may be absent; a fault where the key's value is no string."""
    return top.path(key) if key in top.raw else None


def _agents(top: Section) -> tuple[Address, ...]:
    rows = top.raw.get("agents")
    if not isinstance(rows, list) or not 1 <= len(rows) <= MAX_AGENTS:
        top.fault(
            "agents", "missing-key", f"not 1 to {MAX_AGENTS} agents", 'write ["127.0.0.1:8500"]'
        )
        return ()
    found = (top.sub({"agents": row}).address("agents") for row in rows)
    return tuple(address for address in found if address is not None)


def _zones(top: Section) -> Mapping[str, str]:
    zones = top.raw.get("datacentres", {"dc1": ""})
    if isinstance(zones, dict) and zones and all(isinstance(z, str) for z in zones.values()):
        return zones
    top.fault("datacentres", "bad-value", "no zones by datacentre", 'write { dc1 = "east" }')
    return {}


def _lines_per_second(top: Section) -> int:
    """One reader's part of the lines, less a margin."""
    lines, readers = _count(top, "lines", DEFAULT_LINES), _count(top, "readers", 1)
    part = int(lines * MARGIN) // max(readers, 1)
    if lines and readers and part < 1:
        wrong = f"{readers} readers of {lines} lines a second have less than one each"
        top.fault("readers", "thin-share", wrong, "let fewer read, and pass the list on")
    return part


def _count(top: Section, key: str, default: int) -> int:
    """A number from 1 on; a fault and 0 otherwise."""
    value = top.raw.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int) or not 1 <= value <= MAX_COUNT:
        top.fault(key, "bad-value", f"{key} is no number from 1 on", f"write {default}")
        return 0
    return int(value)


def _choice(top: Section, key: str, default: Choice) -> Choice:
    """One of an enumeration's values, which the file names as they are."""
    text = top.text(key, default.value)
    choices = {str(choice.value): choice for choice in type(default)}
    if text and text not in choices:
        top.fault(key, "bad-value", f"{key} is {text!r}", f"write one of {', '.join(choices)}")
    return choices.get(text, default)


def _max_age_s(top: Section) -> int:
    seconds = _SECONDS.fullmatch(top.text("fresh", "60s"))
    if seconds is None:
        top.fault("fresh", "bad-value", "no whole seconds", 'write "60s"')
        return 0
    return int(seconds[1])


def _tags(top: Section) -> tuple[str, ...]:
    tags = top.raw.get("tags", [])
    if isinstance(tags, list) and all(isinstance(t, str) and _TAG.fullmatch(t) for t in tags):
        return tuple(tags)
    top.fault("tags", "bad-value", "no list of plain tags", 'write ["retail"]')
    return ()


def _shard_by(top: Section) -> str:
    field = top.text("shard_by", "id")
    if field not in SHARD_BY and not _META.fullmatch(field):
        right = f"write one of {', '.join(SHARD_BY)} or {META_PREFIX}NAME"
        top.fault("shard_by", "bad-value", f"{field!r} is no field", right)
    return field


def _flag(top: Section, key: str) -> bool:
    value = top.raw.get(key, False)
    if not isinstance(value, bool):
        top.fault(key, "bad-value", f"{key} is no boolean", "write true or false")
        return False
    return value
