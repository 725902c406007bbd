"""Decodes the control service's file, such as deploy/control.toml.

It imports no grpc, so that the file can be checked without it.
"""

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
    """One pool of servers, for which one Balancer decides.

    Attributes:
        name: unique among the pools.
        config: path of a node's JSON configuration.
        routes: path of the routes file.
        members: path of a file with the list of servers; None: the list is not read from a file.
        consul: path of a file that names the Consul agents to query; None: the list does not come
            from Consul. With neither, it comes from the platform's discovery.
    """

    name: str
    config: Path
    routes: Path
    members: Path | None
    consul: Path | None = None

    def fixed_part(self) -> tuple[str, Path | None, Path | None]:
        """Return what a reload can't change: the name, and where the servers come from."""
        return self.name, self.members, self.consul


@dataclass(frozen=True, slots=True)
class TlsConfig:
    """Settings of mutual TLS between the service and the proxies.

    Attributes:
        certificate: path of the service's certificate.
        key: path of its private key.
        clients: path of the certificate of the authority that signs the proxies' certificates.
        nodes: for each name in a proxy's certificate, patterns of the node ids that it may use.
    """

    certificate: Path
    key: Path
    clients: Path
    nodes: Mapping[str, tuple[str, ...]]

    def allows(self, names: list[str], node_id: str) -> bool:
        """Return whether a certificate with any of `names` may be used with `node_id`."""
        patterns = (pattern for name in names for pattern in self.nodes.get(name, ()))
        return any(fnmatchcase(node_id, pattern) for pattern in patterns)


@dataclass(frozen=True, slots=True)
class ControlConfig:
    """The decoded file. Relative paths in it are relative to its own directory.

    Attributes:
        listen: address on which the service listens.
        envoy_listener: address on which Envoys are told to listen.
        proxy_slow_start: whether proxies that support slow start warm up servers themselves.
        report_interval_s: seconds between a proxy's load reports, 0 for no reports.
        pools: at least one pool.
        tls: None for no TLS, which is allowed only on a loopback address.
    """

    listen: Address
    envoy_listener: Address
    proxy_slow_start: bool
    report_interval_s: int
    pools: tuple[PoolConfig, ...]
    tls: TlsConfig | None


class ControlFileError(ConfigurationError):
    """A control file that can't be used; the text has one line for each fault."""


def read_file(path: str) -> ControlConfig:
    """Read and decode a control file.

    Raises:
        ControlFileError: the file can't be used; the text lists every fault with its line.
    """
    return section.read_file(path, decode, ControlFileError)


def decode(
    raw: dict[str, Any], lines: Mapping[Key, int], folder: Path = Path()
) -> tuple[ControlConfig | None, list[Fault]]:
    """Return the decoded file, or else all its faults ordered by line."""
    top = section.top_of(raw, lines, folder, SECTIONS[""])
    listen = top.address("listen")
    envoy_listener = top.address("envoy_listener", "127.0.0.1:10000")
    slow_start = top.text("slow_start", "weights")
    if slow_start not in ("weights", "proxy"):
        problem = f"slow_start is {slow_start!r}"
        top.fault("slow_start", "bad-value", problem, 'write "weights" or "proxy"')
    interval = _SECONDS.fullmatch(top.text("report_every", "10s"))
    if interval is None:
        top.fault(
            "report_every",
            "bad-value",
            "report_every is not a whole number of seconds",
            'write "10s", or "0s" for no reports',
        )
    pools = _pools(top)
    tls = _tls(top) if "tls" in raw else None
    if listen is not None and tls is None and not ip_address(listen.host).is_loopback:
        remedy = "listen on 127.0.0.1 or configure [tls], without which any host could connect"
        top.fault("listen", "wide-listener", f"{listen} is not a loopback address", remedy)
    if top.faults or listen is None or envoy_listener is None or interval is None:
        return None, sorted(top.faults)
    config = ControlConfig(
        listen, envoy_listener, slow_start == "proxy", int(interval[1]), pools, tls
    )
    return config, []


def _pools(top: Section) -> tuple[PoolConfig, ...]:
    """Read the [[pool]] tables, or without any the single pool of the top-level keys."""
    tables = top.raw.get("pool", [])
    if not isinstance(tables, list) or not all(isinstance(table, dict) for table in tables):
        top.fault("pool", "bad-value", "pool is not an array of tables", "write [[pool]]")
        return ()
    if not tables:
        return (_pool(top, "main"),)
    for key in ("config", "routes", "members", "consul"):
        if key in top.raw:
            top.fault(key, "twice", f"{key} outside of [[pool]]", "move it to the pool's table")
    if len(tables) > MAX_POOLS:
        top.fault(
            "pool", "too-many", f"more than {MAX_POOLS} pools", "start another control service"
        )
    pools = []
    names: set[str] = set()
    for number, table in enumerate(tables):
        pool = top.sub(table, "pool", number)
        pool.known(SECTIONS["pool"])
        name = pool.text("name")
        if name in names:
            pool.fault(
                "name", "twice", f"there is already a pool {name!r}", "give each its own name"
            )
        names.add(name)
        pools.append(_pool(pool, name))
    return tuple(pools)


def _pool(table: Section, name: str) -> PoolConfig:
    members = table.path("members") if "members" in table.raw else None
    consul = table.path("consul") if "consul" in table.raw else None
    if members is not None and consul is not None:
        table.fault("consul", "twice", "both consul and members are set", "set only one of them")
    return PoolConfig(name, table.path("config"), table.path("routes"), members, consul)


def _tls(top: Section) -> TlsConfig | None:
    raw = top.raw["tls"]
    if not isinstance(raw, dict):
        top.fault("tls", "bad-value", "tls is not a table", "write [tls]")
        return None
    table = top.sub(raw, "tls")
    table.known(SECTIONS["tls"])
    nodes = raw.get("nodes")
    if not isinstance(nodes, dict) or not nodes:
        remedy = 'write nodes = { "proxy.example" = ["p-*"] }: node ids by certificate name'
        table.fault("nodes", "missing-key", "no certificate name is mapped to node ids", remedy)
        return None
    node_ids: dict[str, tuple[str, ...]] = {}
    for name, patterns in nodes.items():
        valid = isinstance(patterns, list) and all(
            isinstance(pattern, str) and pattern for pattern in patterns
        )
        if not valid or not patterns:
            problem = f"{name!r} has no list of node ids"
            table.sub(nodes, "nodes").fault(name, "bad-value", problem, 'write ["p-*"]')
            continue
        node_ids[name] = tuple(patterns)
    certificate, key = table.path("certificate"), table.path("key")
    return TlsConfig(certificate, key, table.path("clients"), node_ids)
