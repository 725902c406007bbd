"""The control service's file (deploy/control.toml), decoded in one place; free of grpc."""

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
class PoolConfig:
    """One pool, which is one Balancer.

    Attributes:
        name: unique among the pools.
        config: a node's JSON configuration.
        routes: the routes file.
        members: a file with the list of servers; None: not from a file.
        consul: a file that says which Consul agents have the list; None: not from Consul.
    """

    name: str
    config: Path
    routes: Path
    members: Path | None
    consul: Path | None = None

    def fixed_part(self) -> tuple[str, Path | None, Path | None]:
        """Its name and where its servers come from: what a reload can't change."""
        return self.name, self.members, self.consul


@dataclass(frozen=True, slots=True)
class TlsConfig:
    """Certificates, which both sides show.

    Attributes:
        certificate: the service's.
        key: of that certificate.
        clients: the authority that signs the proxies' certificates.
        nodes: patterns of the node ids that a certificate's name may use.
    """

    certificate: Path
    key: Path
    clients: Path
    nodes: Mapping[str, tuple[str, ...]]

    def allows(self, names: list[str], node_id: str) -> bool:
        """Whether a certificate of these names may be used by this node id."""
        patterns = (pattern for name in names for pattern in self.nodes.get(name, ()))
        return any(fnmatchcase(node_id, pattern) for pattern in patterns)


@dataclass(frozen=True, slots=True)
class ControlConfig:
    """The decoded file. Relative paths start at the file's own folder.

    Attributes:
        listen: where the service listens.
        envoy_listener: where Envoys are to listen.
        proxy_slow_start: proxies that can are to warm servers up themselves.
        report_interval_s: seconds between a proxy's load reports, 0 for none.
        pools: at least one.
        tls: None: without TLS, which only a loopback address may do.
    """

    listen: Address
    envoy_listener: Address
    proxy_slow_start: bool
    report_interval_s: int
    pools: tuple[PoolConfig, ...]
    tls: TlsConfig | None


class ControlFileError(ConfigurationError):
    """A control file that can't be used; one fault a line."""


def read_file(path: str) -> ControlConfig:
    """Read and decode a control file.

    Raises:
        ControlFileError: the file can't be used; the text has every fault with its line.
    """
    return section.read_file(path, decode, ControlFileError)


def decode(
    raw: dict[str, Any], lines: Mapping[Key, int], folder: Path = Path()
) -> tuple[ControlConfig | None, list[Fault]]:
    """The decoded file, or its faults in the file's order."""
    top = section.top_of(raw, lines, folder, SECTIONS[""])
    listen = top.address("listen")
    envoy_listener = top.address("envoy_listener", "127.0.0.1:10000")
    slow_start = top.text("slow_start", "weights")
    if slow_start not in ("weights", "proxy"):
        wrong = f"slow_start is {slow_start!r}"
        top.fault("slow_start", "bad-value", wrong, "weights or proxy")
    interval = _SECONDS.fullmatch(top.text("report_every", "10s"))
    if interval is None:
        top.fault("report_every", "bad-value", "no whole seconds", 'write "10s", "0s" for never')
    pools = _pools(top)
    tls = _tls(top) if "tls" in raw else None
    if listen is not None and tls is None and not ip_address(listen.host).is_loopback:
        right = "listen on 127.0.0.1 or set [tls]: without it anybody could read and take streams"
        top.fault("listen", "wide-listener", f"{listen} is no loopback", right)
    if top.faults or listen is None or envoy_listener is None or interval is None:
        return None, sorted(top.faults)
    config = ControlConfig(
        listen, envoy_listener, slow_start == "proxy", int(interval[1]), pools, tls
    )
    return config, []


def _pools(top: Section) -> tuple[PoolConfig, ...]:
    """The unnamed pool of the file's head, or those of its [[pool]] tables."""
    tables = top.raw.get("pool", [])
    if not isinstance(tables, list) or not all(isinstance(table, dict) for table in tables):
        top.fault("pool", "bad-value", "pool is no array of tables", "write [[pool]]")
        return ()
    if not tables:
        return (_pool(top, "main"),)
    for key in ("config", "routes", "members", "consul"):
        if key in top.raw:
            top.fault(key, "twice", f"{key} beside [[pool]]", "write it in the pool it is for")
    if len(tables) > MAX_POOLS:
        top.fault("pool", "too-many", f"over {MAX_POOLS} pools", "start another control service")
    out = []
    names: set[str] = set()
    for number, table in enumerate(tables):
        pool = top.sub(table, "pool", number)
        pool.known(SECTIONS["pool"])
        name = pool.text("name")
        if name in names:
            pool.fault("name", "twice", f"a second pool {name!r}", "give each its own name")
        names.add(name)
        out.append(_pool(pool, name))
    return tuple(out)


def _pool(table: Section, name: str) -> PoolConfig:
    members = table.path("members") if "members" in table.raw else None
    consul = table.path("consul") if "consul" in table.raw else None
    if members is not None and consul is not None:
        table.fault("consul", "twice", "consul beside members", "name one source of servers")
    return PoolConfig(name, table.path("config"), table.path("routes"), members, consul)


def _tls(top: Section) -> TlsConfig | None:
    raw = top.raw["tls"]
    if not isinstance(raw, dict):
        top.fault("tls", "bad-value", "tls is no table", "write [tls]")
        return None
    table = top.sub(raw, "tls")
    table.known(SECTIONS["tls"])
    nodes = raw.get("nodes")
    if not isinstance(nodes, dict) or not nodes:
        right = 'write nodes = { "proxy.example" = ["p-*"] }: who may speak for which proxy'
        table.fault("nodes", "missing-key", "no certificate is bound to node ids", right)
        return None
    node_ids: dict[str, tuple[str, ...]] = {}
    for name, patterns in nodes.items():
        valid = isinstance(patterns, list) and all(
            isinstance(pattern, str) and pattern for pattern in patterns
        )
        if not valid or not patterns:
            wrong = f"{name!r} has no list of node ids"
            table.sub(nodes, "nodes").fault(name, "bad-value", wrong, 'write ["p-*"]')
            continue
        node_ids[name] = tuple(patterns)
    certificate, key = table.path("certificate"), table.path("key")
    return TlsConfig(certificate, key, table.path("clients"), node_ids)
