"""Validates a request's head, and extracts from it what the Balancer needs."""

from __future__ import annotations

import re
import time
from typing import TYPE_CHECKING
from zlib import crc32

from loadbalancer.core import Effect
from loadbalancer.core.balancing.model import MS
from loadbalancer.errors import BadRequestError

if TYPE_CHECKING:
    from loadbalancer.core.balancing.records import ClassState
    from loadbalancer.proxy.downstream.request import IncomingRequest
    from loadbalancer.proxy.ports import ClientHost

READINESS_PATH = b"/health/ready"
MAX_REQUEST_ID_BYTES = 128  # of the client's request id
MAX_DIGITS = 12  # of a number in a header field
NS_PER_COST_UNIT = 1000  # X-Cost is in microseconds

SCHEME_AND_AUTHORITY = re.compile(rb"^[Hh][Tt][Tt][Pp]://[^/?#]*")

# Header fields that the proxy interprets; each may occur once.
INTERPRETED_FIELDS = frozenset(
    (
        b"connection", b"content-length", b"expect", b"host", b"transfer-encoding", b"x-cost",
        b"x-priority-class", b"x-request-id", b"x-retried", b"x-tenant-id", b"x-timeout-ms",
    )
)  # fmt: skip


class HeadChecker:
    """Validates heads, and determines each request's class and tenant."""

    __slots__ = ("_host", "_tenants")

    def __init__(self, host: ClientHost) -> None:
        self._host = host
        tenants = host.config.settings.tenants
        self._tenants = {tenant.name.encode(): i for i, tenant in enumerate(tenants)}

    def check(self, incoming: IncomingRequest) -> None:
        """Validate a head and set the parameters that the Balancer needs.

        Raises:
            BadRequestError: the request is invalid; holds the status to reject it with.
        """
        fields = incoming.fields
        if self._host.routing is None and not incoming.url.startswith(b"/"):
            incoming.url = _origin_form(incoming.url)
        incoming.path = incoming.url.partition(b"?")[0]
        incoming.chunked = b"transfer-encoding" in fields
        if incoming.chunked and b"content-length" in fields:
            # Prevents request smuggling: a recipient that goes by the other field would see the
            # request end elsewhere, and take a part of its content for a request (RFC 9112,
            # section 11.2).
            raise BadRequestError(400)
        incoming.length = int(fields.get(b"content-length", b"0"))
        if incoming.path == READINESS_PATH:
            _validate_readiness_check(incoming)
            return
        if b"host" not in fields:
            raise BadRequestError(400)
        cls = incoming.cls = self._find_class(incoming)
        if incoming.method != (b"GET" if cls.effect == Effect.PURE else b"POST"):
            raise BadRequestError(405)
        if incoming.method == b"GET" and (incoming.length or incoming.chunked):
            raise BadRequestError(400)
        self._read_parameters(incoming, cls)

    def _find_class(self, incoming: IncomingRequest) -> ClassState:
        """Return the request's class: its route's, or without routes the path's first segment."""
        routing = self._host.routing
        if routing is None:
            segment = incoming.path.split(b"/", 2)[1]
            name = segment.decode("latin-1")
        else:
            incoming.policy = routing.place(incoming)
            name = incoming.policy.cls
        cls = self._host.balancer.find_class(
            time.monotonic_ns(), name, incoming.method == b"GET", incoming.has_idempotency_key
        )
        if cls is None:
            raise BadRequestError(404)
        if routing is None and incoming.fields.get(b"x-priority-class", segment) != segment:
            raise BadRequestError(400)
        return cls

    def _read_parameters(self, incoming: IncomingRequest, cls: ClassState) -> None:
        """Set the request's id, tenant, timeout, key, cost and retry mark from its fields."""
        fields = incoming.fields
        client_request_id = incoming.client_request_id = fields.get(b"x-request-id", b"")
        if not 0 < len(client_request_id) <= MAX_REQUEST_ID_BYTES:
            raise BadRequestError(400)
        if self._tenants:
            tenant = self._tenants.get(fields.get(b"x-tenant-id", b""))
            if tenant is None:
                raise BadRequestError(400)
            incoming.tenant = tenant
        timeout_ms = fields.get(b"x-timeout-ms", b"")
        if not timeout_ms.isdigit() or len(timeout_ms) > MAX_DIGITS or not int(timeout_ms):
            raise BadRequestError(400)
        incoming.timeout = min(int(timeout_ms) * MS, cls.spec.deadline)
        parent, _, last = incoming.path.rpartition(b"/")
        if parent and last:
            incoming.key = crc32(last) or 1
        cost = fields.get(b"x-cost", b"")
        if cost.isdigit() and len(cost) <= MAX_DIGITS:
            incoming.hint = int(cost) * NS_PER_COST_UNIT
        incoming.retried = fields.get(b"x-retried") == b"1"


def _origin_form(url: bytes) -> bytes:
    """Strip scheme and authority from a target in absolute form (RFC 9112, section 3.2.2)."""
    target = SCHEME_AND_AUTHORITY.sub(b"", url, 1)
    return target if target.startswith(b"/") else b"/" + target


def _validate_readiness_check(incoming: IncomingRequest) -> None:
    incoming.is_readiness_check = True
    if incoming.method != b"GET" or incoming.length or incoming.chunked:
        raise BadRequestError(400)
