"""Kinds of proxy by what they carry out, and the group of proxies that a plan is for."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import StrEnum

NODE_JS_AGENT = "grpc node"
# gRPC's proxyless clients by the version that first bounds requests in flight (gRFC A32,
# circuit breaking). The client for Node.js has version numbers of its own.
CIRCUIT_BREAKING_SINCE = {NODE_JS_AGENT: (1, 3), "grpc": (1, 37)}
_VERSION = re.compile(r"(\d{1,6})\.(\d{1,6})")


class ProxyKind(StrEnum):
    """Kinds of proxy by what they carry out."""

    ENVOY = "envoy"
    GRPC = "grpc"
    GRPC_NODE = "grpc-node"  # Node.js: ends its process on a route that forwards nothing
    GRPC_UNBOUNDED = "grpc-unbounded"  # no circuit breaking, or reports no version

    @property
    def proxyless(self) -> bool:
        """Whether it is a gRPC client that balances its own calls."""
        return self is not ProxyKind.ENVOY


def proxy_kind_of(agent: str, version: str) -> ProxyKind | None:
    """A proxy's kind by the agent name and version in its node message; None if unsupported."""
    agent = agent.lower()
    if agent.startswith("envoy"):
        return ProxyKind.ENVOY
    for prefix, since in CIRCUIT_BREAKING_SINCE.items():
        if agent.startswith(prefix):
            found = _VERSION.search(version)
            reported = (int(found[1]), int(found[2])) if found else (0, 0)
            if reported < since:
                return ProxyKind.GRPC_UNBOUNDED
            return ProxyKind.GRPC_NODE if prefix == NODE_JS_AGENT else ProxyKind.GRPC
    return None


@dataclass(frozen=True, slots=True)
class TargetProxies:
    """Proxies of one kind and zone, for which a plan is made.

    Attributes:
        kind: what they carry out.
        zone: theirs, as an index into `zones`.
        zones: names of all zones.
        connected: how many proxies are connected, of all kinds and zones.
        proxy_slow_start: proxies that can are to warm servers up themselves.
    """

    kind: ProxyKind
    zone: int
    zones: tuple[str, ...]
    connected: int
    proxy_slow_start: bool = False

    @property
    def use_slow_start(self) -> bool:
        """Whether these proxies warm servers up themselves."""
        return self.proxy_slow_start and self.kind is ProxyKind.ENVOY
