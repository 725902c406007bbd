"""The control service's file, decoded in one place; free of grpc."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from fnmatch import fnmatchcase
from ipaddress import ip_address
from pathlib import Path
from typing import Any

from loadbalancer.config import toml_section as section
from loadbalancer.config.address import Address
from loadbalancer.config.toml_file import Key
from loadbalancer.config.toml_section import Section
from loadbalancer.core.errors import ConfigurationError
from loadbalancer.core.routes.faults import Fault

SECTIONS: Mapping[str, tuple[str, ...]] = {
    "": ("version", "listen", "envoy_listener", "slow_start", "report_every", "config", "routes",
         "members", "consul", "pool", "tls"),
    "pool": ("name", "config", "routes", "members", "consul"),
    "tls": ("certificate", "key", "clients", "nodes"),
}  # fmt: skip
MAX_POOLS = 64
_SECONDS = re.compile(r"(\d{1,4})s")


@dataclass(frozen=True, slots=True)
class PoolFile:
    """One Balancer: a node's JSON configuration, its routes, and its list if not discovery's."""

    name: str
    config: Path
    routes: Path
    members: Path | None
    consul: Path | None = None

    def sources(self) -> tuple[str, Path | None, Path | None]:
        """Its name and where its servers come from: what no reload changes."""
        return self.name, self.members, self.consul


@dataclass(frozen=True, slots=True)
class TlsFile:
    """Both sides show a certificate; `nodes` are patterns of node ids by certificate name."""

    certificate: Path
    key: Path
    clients: Path  # who signs the proxies' certificates
    nodes: Mapping[str, tuple[str, ...]]

    def allows(self, names: list[str], node: str) -> bool:
        """Whether a certificate of these names may speak for this node id."""
        return any(fnmatchcase(node, p) for name in names for p in self.nodes.get(name, ()))


@dataclass(frozen=True, slots=True)
class ControlFile:
    """Paths are told from the file's own folder on; `report_every` in seconds, 0 for never."""

    listen: Address
    envoy_listener: Address
    own_ramp: bool
    report_every: int
    pools: tuple[PoolFile, ...]
    tls: TlsFile | None


class ControlError(ConfigurationError):
    """A control file that can't be used; one fault a line."""


def read_file(path: str) -> ControlFile:
    """Read and decode deploy/control.toml; ControlError with every fault and its line."""
    return section.read_file(path, decode, ControlError)


def decode(
    raw: dict[str, Any], lines: Mapping[Key, int], folder: Path = Path()
) -> tuple[ControlFile | None, list[Fault]]:
    """The decoded file, or its faults in the file's order."""
    top = section.top_of(raw, lines, folder, SECTIONS[""])
    listen = top.address("listen")
    envoy = top.address("envoy_listener", "127.0.0.1:10000")
    ramp = top.text("slow_start", "weights")
    if ramp not in ("weights", "proxy"):
        top.fault("slow_start", "bad-value", f"slow_start is {ramp!r}", "weights or proxy")
    every = _SECONDS.fullmatch(top.text("report_every", "10s"))
    if every is None:
        top.fault("report_every", "bad-value", "no whole seconds", 'write "10s", "0s" for never')
    pools = _pools(top)
    tls = _tls(top) if "tls" in raw else None
    if listen is not None and tls is None and not ip_address(listen.host).is_loopback:
        right = "listen on 127.0.0.1 or set [tls]: without it anybody could read and take streams"
        top.fault("listen", "wide-listener", f"{listen} is no loopback", right)
    if top.faults or listen is None or envoy is None or every is None:
        return None, sorted(top.faults)
    return ControlFile(listen, envoy, ramp == "proxy", int(every[1]), pools, tls), []


def _pools(top: Section) -> tuple[PoolFile, ...]:
    """The unnamed pool of the file's head, or those of its [[pool]] tables."""
    rows = top.raw.get("pool", [])
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        top.fault("pool", "bad-value", "pool is no array of tables", "write [[pool]]")
        return ()
    if not rows:
        return (_pool(top, "main"),)
    for key in ("config", "routes", "members", "consul"):
        if key in top.raw:
            top.fault(key, "twice", f"{key} beside [[pool]]", "write it in the pool it is for")
    if len(rows) > MAX_POOLS:
        top.fault("pool", "too-many", f"over {MAX_POOLS} pools", "start another control service")
    out = []
    names: set[str] = set()
    for i, row in enumerate(rows):
        one = top.sub(row, "pool", i)
        one.known(SECTIONS["pool"])
        name = one.text("name")
        if name in names:
            one.fault("name", "twice", f"a second pool {name!r}", "give each its own name")
        names.add(name)
        out.append(_pool(one, name))
    return tuple(out)


def _pool(one: Section, name: str) -> PoolFile:
    members = one.path("members") if "members" in one.raw else None
    consul = one.path("consul") if "consul" in one.raw else None
    if members is not None and consul is not None:
        one.fault("consul", "twice", "consul beside members", "name one source of servers")
    return PoolFile(name, one.path("config"), one.path("routes"), members, consul)


def _tls(top: Section) -> TlsFile | None:
    raw = top.raw["tls"]
    if not isinstance(raw, dict):
        top.fault("tls", "bad-value", "tls is no table", "write [tls]")
        return None
    one = top.sub(raw, "tls")
    one.known(SECTIONS["tls"])
    nodes = raw.get("nodes")
    if not isinstance(nodes, dict) or not nodes:
        right = 'write nodes = { "proxy.example" = ["p-*"] }: who may speak for which proxy'
        one.fault("nodes", "missing-key", "no certificate is bound to node ids", right)
        return None
    bound: dict[str, tuple[str, ...]] = {}
    for name, patterns in nodes.items():
        good = isinstance(patterns, list) and all(isinstance(p, str) and p for p in patterns)
        if not good or not patterns:
            wrong = f"{name!r} has no list of node ids"
            one.sub(nodes, "nodes").fault(name, "bad-value", wrong, 'write ["p-*"]')
            continue
        bound[name] = tuple(patterns)
    return TlsFile(one.path("certificate"), one.path("key"), one.path("clients"), bound)
