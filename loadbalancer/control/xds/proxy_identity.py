"""Identifies the proxy at the other end of a stream by its node message and certificate."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import grpc

from loadbalancer.control.xds.file import TlsConfig
from loadbalancer.core.errors import PeerError
from loadbalancer.core.xds.target_proxies import ProxyKind, proxy_kind_of

MAX_ID_LENGTH = 256  # of a node id, and of a zone's name


class RejectedProxyError(PeerError, ValueError):
    """A proxy that is rejected; the text is logged and sent to the proxy."""

    def __init__(self, text: str, code: grpc.StatusCode = grpc.StatusCode.INVALID_ARGUMENT) -> None:
        super().__init__(text)
        self.code = code


@dataclass(frozen=True, slots=True)
class ProxyGroup:
    """Proxies that get the same snapshot: those of the same kind in the same zone."""

    kind: ProxyKind
    zone: str


@dataclass(frozen=True, slots=True)
class ProxyIdentity:
    """A proxy's node id, and the group that it belongs to."""

    node_id: str
    group: ProxyGroup


def identify(node: Any, context: Any, tls: TlsConfig | None) -> ProxyIdentity:
    """Identify a proxy by the node message of its first request.

    Raises:
        RejectedProxyError: the proxy is invalid, unauthorized or of an unsupported kind.
    """
    if not node.id or len(node.id) > MAX_ID_LENGTH:
        raise RejectedProxyError(f"the node id is empty or longer than {MAX_ID_LENGTH} characters")
    if tls is not None:
        names = certificate_names(context)
        if not tls.allows(names, node.id):
            text = f"certificate {', '.join(names)!r} may not be used by node id {node.id!r}"
            raise RejectedProxyError(text, grpc.StatusCode.PERMISSION_DENIED)
    version = node.user_agent_version
    if node.HasField("user_agent_build_version"):
        number = node.user_agent_build_version.version
        version = f"{number.major_number}.{number.minor_number}"
    kind = proxy_kind_of(node.user_agent_name, version)
    if kind is None:
        raise RejectedProxyError("the node's user_agent_name is neither Envoy's nor gRPC's")
    return ProxyIdentity(node.id, ProxyGroup(kind, node.locality.zone[:MAX_ID_LENGTH]))


def certificate_names(context: Any) -> list[str]:
    """Return the names in a client's certificate, subject alternative names first."""
    auth_context = context.auth_context()
    keys = ("x509_subject_alternative_name", "x509_common_name")
    names = [name.decode(errors="replace") for key in keys for name in auth_context.get(key, ())]
    return list(dict.fromkeys(names))
