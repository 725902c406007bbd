"""Who is at the other end of a stream: its node message and its certificate."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import grpc

from loadbalancer.control.xds.file import TlsFile
from loadbalancer.core.errors import PeerError
from loadbalancer.core.xds.target_proxies import ProxyKind, proxy_kind_of

MAX_ID = 256  # bytes of a node's id
FIRST_S = 10.0  # for a stream's first request
REQUESTS = 200  # a second and stream; a proxy that asks for everything sends some ten


class RejectedProxyError(PeerError, ValueError):
    """A proxy that is not served; the text goes to it and to the log."""

    def __init__(self, text: str, code: grpc.StatusCode = grpc.StatusCode.INVALID_ARGUMENT) -> None:
        super().__init__(text)
        self.code = code


@dataclass(frozen=True, slots=True)
class Group:
    """Proxies that are handed the same: a kind, in a zone by its name."""

    kind: ProxyKind
    zone: str


@dataclass(frozen=True, slots=True)
class Peer:
    node: str
    group: Group


class Rate:
    """Counts a stream's requests by the second."""

    __slots__ = ("_count", "_second")

    def __init__(self) -> None:
        self._second = 0
        self._count = 0

    def exceeded(self) -> bool:
        """Count one more; whether it is beyond the bound."""
        now = int(asyncio.get_running_loop().time())
        self._second, self._count = now, self._count + 1 if now == self._second else 1
        return self._count > REQUESTS


async def first_request(requests: AsyncIterator[Any], context: Any) -> Any:
    """The first request; a stream that says nothing holds its place only so long."""
    try:
        return await asyncio.wait_for(anext(aiter(requests), None), FIRST_S)
    except TimeoutError:
        text = f"no request within {FIRST_S:g} s"
        await context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, text)


def identify(node: Any, context: Any, tls: TlsFile | None) -> Peer:
    """The peer by its first message; RejectedProxyError where it can't be served."""
    if not node.id or len(node.id) > MAX_ID:
        raise RejectedProxyError(f"the node's id is empty or over {MAX_ID} bytes")
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
    return Peer(node.id, Group(kind, node.locality.zone[:MAX_ID]))


def certificate_names(context: Any) -> list[str]:
    """The names a client's certificate holds: those of its subject's alternatives first."""
    found = context.auth_context()
    keys = ("x509_subject_alternative_name", "x509_common_name")
    names = [n.decode(errors="replace") for key in keys for n in found.get(key, ())]
    return list(dict.fromkeys(names))
