"""Discovery answers from resources that are serialised already.

A generated message would parse and serialise every resource once more for every
proxy: servers times proxies. Here an answer is the joined bytes that all proxies
share and the few that differ, which protobuf's encoding allows: fields may come in
any order and a message's bytes are those of its fields.

Source: protobuf encoding; envoy.service.discovery.v3 DiscoveryResponse (version_info
1, resources 2, type_url 4, nonce 5), DeltaDiscoveryResponse (system_version_info 1,
resources 2, type_url 4, nonce 5, removed_resources 6) and its Resource (version 1,
resource 2, name 3).
"""

from __future__ import annotations

from collections import OrderedDict

from loadbalancer.control.xds.encode import TYPES
from loadbalancer.core.xds.messages import DiscoveryResponse
from loadbalancer.core.xds.snapshot import Resource, ResourceType

MAX_SHARED = 256  # joined answers kept for the next proxy
VERSION, RESOURCES, TYPE, NONCE, REMOVED = 1, 2, 4, 5, 6
ROW_VERSION, ROW_BODY, ROW_NAME = 1, 2, 3

_Key = tuple[ResourceType, str, tuple[tuple[str, str], ...]]


def varint(number: int) -> bytes:
    """Base 128, least significant group first."""
    out = bytearray()
    while number > 0x7F:
        out.append(number & 0x7F | 0x80)
        number >>= 7
    out.append(number)
    return bytes(out)


def field(number: int, body: bytes) -> bytes:
    """A length-delimited field."""
    return varint(number << 3 | 2) + varint(len(body)) + body


class Answers:
    """Answers of one variant as bytes; the part that proxies share is joined once."""

    __slots__ = ("_incremental", "_shared", "joined")

    def __init__(self, incremental: bool) -> None:
        self._incremental = incremental
        self._shared: OrderedDict[_Key, bytes] = OrderedDict()
        self.joined = 0  # answers that were not yet in hand

    def encode(self, reply: DiscoveryResponse) -> bytes:
        """One DiscoveryResponse or DeltaDiscoveryResponse."""
        key = (
            reply.resource_type,
            reply.version_info,
            tuple((r.name, r.version) for r in reply.resources),
        )
        body = self._shared.get(key)
        if body is None:
            self.joined += 1
            body = self._shared[key] = self._join(reply)
            if len(self._shared) > MAX_SHARED:
                self._shared.popitem(last=False)
        else:
            self._shared.move_to_end(key)
        gone = b"".join(field(REMOVED, name.encode()) for name in reply.removed_resources)
        return body + field(NONCE, reply.nonce.encode()) + gone

    def _join(self, reply: DiscoveryResponse) -> bytes:
        parts = [
            field(VERSION, reply.version_info.encode()),
            field(TYPE, TYPES[reply.resource_type].encode()),
        ]
        row = _row if self._incremental else _any
        parts += [field(RESOURCES, row(r)) for r in reply.resources]
        return b"".join(parts)


def _any(r: Resource) -> bytes:
    return r.body


def _row(r: Resource) -> bytes:
    version = field(ROW_VERSION, r.version.encode())
    return version + field(ROW_NAME, r.name.encode()) + field(ROW_BODY, r.body)
