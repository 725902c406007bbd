"""Which proxy is at the other end of a stream: its node message and its certificate."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import grpc

from loadbalancer.control.xds.file import TlsConfig
from loadbalancer.core.errors import PeerError
from loadbalancer.core.xds.target_proxies import ProxyKind, proxy_kind_of

MAX_ID_LENGTH = 256  # of a node's id and of its zone


class RejectedProxyError(PeerError, ValueError):
    """A proxy that is not served; the text goes to it and to the log."""

    def __init__(self, text: str, code: grpc.StatusCode = grpc.StatusCode.INVALID_ARGUMENT) -> None:
        super().__init__(text)
        self.code = code


@dataclass(frozen=True, slots=True)
class ProxyGroup:
    """Proxies that get the same snapshot: of one kind, in a zone by its name."""

    kind: ProxyKind
    zone: str


@dataclass(frozen=True, slots=True)
class ProxyIdentity:
    """A proxy by its node id, and the group it belongs to."""

    node_id: str
    group: ProxyGroup


def identify(node: Any, context: Any, tls: TlsConfig | None) -> ProxyIdentity:
    """Identify a proxy by the node message of its first request.

    Raises:
        RejectedProxyError: it can't be served.
    """
    if not node.id or len(node.id) > MAX_ID_LENGTH:
        raise RejectedProxyError(f"the node's id is empty or over {MAX_ID_LENGTH} bytes")
    if tls is not None:
        names = certificate_names(context)
        if not tls.allows(names, node.id):
            text = f"certificate {', '.join(names)!r} may not speak for {node.id!r}"
            raise RejectedProxyError(text, grpc.StatusCode.PERMISSION_DENIED)
    version = node.user_agent_version
    if node.HasField("user_agent_build_version"):
        number = node.user_agent_build_version.version
        version = f"{number.major_number}.{number.minor_number}"
    kind = proxy_kind_of(node.user_agent_name, version)
    if kind is None:
        raise RejectedProxyError("the node's user_agent_name is neither envoy nor gRPC's")
    return ProxyIdentity(node.id, ProxyGroup(kind, node.locality.zone[:MAX_ID_LENGTH]))


def certificate_names(context: Any) -> list[str]:
    """The names in a client's certificate: subject alternative names first."""
    found = context.auth_context()
    keys = ("x509_subject_alternative_name", "x509_common_name")
    names = [name.decode(errors="replace") for key in keys for name in found.get(key, ())]
    return list(dict.fromkeys(names))
