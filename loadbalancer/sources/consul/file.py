"""deploy/consul.toml, decoded in one place."""

from __future__ import annotations

import os
import re
import stat
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from loadbalancer.config import toml_section as section
from loadbalancer.config.address import Address
from loadbalancer.config.toml_file import Key
from loadbalancer.config.toml_section import Section
from loadbalancer.core.routes.faults import Fault
from loadbalancer.errors import SourceError

KEYS = (
    "version", "agents", "service", "datacentres", "token_file", "ca_file", "lines", "readers",
    "consistency", "fresh", "tags", "read", "shard_by", "zone_meta", "platform",
)  # fmt: skip
CONSISTENCY = ("stale", "default", "consistent")
READS = ("health", "catalog")
SHARD_BY = ("id", "node", "address")
_META = re.compile(r"meta\.[A-Za-z0-9_-]{1,128}")
_TAG = re.compile(r"[A-Za-z0-9._:=/-]{1,255}")
MARGIN = 0.95  # of the ceiling, shared out: clocks of two services never agree
MAX_AGENTS = 16
MAX_TOKEN = 4096  # bytes
_SECONDS = re.compile(r"(\d{1,5})s")
_TOKEN = re.compile(r"[!-~]+")


class ConsulError(SourceError):
    """A consul file, or the token it names, that can't be used; one fault a line."""


@dataclass(frozen=True, slots=True)
class ConsulFile:
    """`datacentres`: zones by datacentre; `share`: lines a second of this reader.

    `read`: health, or catalog where no checks are wanted. `shard_by`: the field whose last
    characters tell servers apart. `platform`: the platform's list is one more source.
    """

    agents: tuple[Address, ...]
    service: str
    datacentres: Mapping[str, str]
    token_file: Path | None
    ca_file: Path | None
    share: int
    consistency: str
    fresh: int  # seconds
    tags: tuple[str, ...] = ()  # a server has all of them
    read: str = "health"
    shard_by: str = "id"
    zone_meta: str = ""  # of a server's meta, the key that names its zone
    platform: bool = False


def read_consul(path: str) -> ConsulFile:
    """Read and decode it; ConsulError with every fault and its line."""
    return section.read_file(path, decode, ConsulError)


def decode(
    raw: dict[str, Any], lines: Mapping[Key, int], folder: Path = Path()
) -> tuple[ConsulFile | None, list[Fault]]:
    """The decoded file, or its faults in the file's order."""
    top = section.top_of(raw, lines, folder, KEYS)
    agents = _agents(top)
    service = top.text("service")
    fresh = _SECONDS.fullmatch(top.text("fresh", "60s"))
    if fresh is None:
        top.fault("fresh", "bad-value", "no whole seconds", 'write "60s"')
    ceiling, readers = _count(top, "lines", 200), _count(top, "readers", 1)
    share = int(ceiling * MARGIN) // max(readers, 1)
    if ceiling and readers and share < 1:
        wrong = f"{readers} readers of {ceiling} lines a second have less than one each"
        top.fault("readers", "thin-share", wrong, "let fewer read, and pass the list on")
    zones = raw.get("datacentres", {"dc1": ""})
    good = isinstance(zones, dict) and zones and all(isinstance(z, str) for z in zones.values())
    if not good:
        top.fault("datacentres", "bad-value", "no zones by datacentre", 'write { dc1 = "east" }')
    consistency = _one_of(top, "consistency", CONSISTENCY)
    read_from = _one_of(top, "read", READS)
    shard_by = top.text("shard_by", "id")
    if shard_by not in SHARD_BY and not _META.fullmatch(shard_by):
        top.fault("shard_by", "bad-value", f"{shard_by!r} is no field", _fields())
    tags = raw.get("tags", [])
    if not isinstance(tags, list) or not all(
        isinstance(t, str) and _TAG.fullmatch(t) for t in tags
    ):
        top.fault("tags", "bad-value", "no list of plain tags", 'write ["retail"]')
    zone_meta = top.text("zone_meta") if "zone_meta" in raw else ""
    platform = raw.get("platform", False)
    if not isinstance(platform, bool):
        top.fault("platform", "bad-value", "platform is no boolean", "write true or false")
    if top.faults or fresh is None:
        return None, sorted(top.faults)
    token = top.path("token_file") if "token_file" in raw else None
    ca = top.path("ca_file") if "ca_file" in raw else None
    found = ConsulFile(
        agents, service, zones, token, ca, share, consistency, int(fresh[1]),
        tuple(tags), read_from, shard_by, zone_meta, platform,
    )  # fmt: skip
    return found, []


def _fields() -> str:
    return f"write one of {', '.join(SHARD_BY)} or meta.NAME"


def _one_of(top: Section, key: str, words: tuple[str, ...]) -> str:
    value = top.text(key, words[0])
    if value and value not in words:
        top.fault(key, "bad-value", f"{key} is {value!r}", f"write one of {', '.join(words)}")
    return value


def _agents(top: Section) -> tuple[Address, ...]:
    rows = top.raw.get("agents")
    if not isinstance(rows, list) or not 1 <= len(rows) <= MAX_AGENTS:
        top.fault(
            "agents", "missing-key", f"not 1 to {MAX_AGENTS} agents", 'write ["127.0.0.1:8500"]'
        )
        return ()
    found = (top.sub({"agents": row}).address("agents") for row in rows)
    return tuple(a for a in found if a is not None)


def _count(top: Section, key: str, default: int) -> int:
    value = top.raw.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int) or not 1 <= value <= 1_000_000:
        top.fault(key, "bad-value", f"{key} is no number from 1 on", f"write {default}")
        return 0
    return int(value)


def source_name(datacentre: str) -> str:
    """What a datacentre is called as a source of the merged list."""
    return f"consul:{datacentre}"


def read_token(path: Path) -> str:
    """The token in a file that only its owner can read; ConsulError names the path, never it."""
    try:
        with open(path, "rb") as file:
            mode = os.fstat(file.fileno()).st_mode
            data = file.read(MAX_TOKEN + 1)
    except OSError as err:
        raise ConsulError(f"{path}: [token-file] can't be read: {err.strerror}") from None
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise ConsulError(f"{path}: [token-file] others than its owner may use it; chmod 600")
    token = data.decode("latin-1").strip()
    if len(data) > MAX_TOKEN or _TOKEN.fullmatch(token) is None:
        raise ConsulError(f"{path}: [token-file] holds no token of printable characters")
    return token
