"""A request as it is read, and the check of its head."""

from __future__ import annotations

import re
import time
from typing import TYPE_CHECKING
from zlib import crc32

from loadbalancer.core import Effect
from loadbalancer.core.balancing.model import MS, RequestClass
from loadbalancer.core.balancing.records import ClassState
from loadbalancer.errors import BadRequestError

if TYPE_CHECKING:
    from loadbalancer.core.routes.table import Policy
    from loadbalancer.proxy.flow_control import Flow
    from loadbalancer.proxy.ports import ClientHost

MAX_HEAD = 16 << 10  # bytes of a request's target and fields
MAX_ID = 128  # bytes of a request's id
MAX_DIGITS = 12  # of a number in a field

# Of one hop only, or written anew for each attempt.
NOT_PASSED_ON = frozenset(
    (
        b"connection", b"content-length", b"expect", b"keep-alive", b"proxy-connection",
        b"te", b"trailer", b"transfer-encoding", b"upgrade", b"x-timeout-ms",
    )
)  # fmt: skip
READ = frozenset(
    (
        b"connection", b"content-length", b"expect", b"host", b"transfer-encoding", b"x-cost",
        b"x-priority-class", b"x-request-id", b"x-retried", b"x-tenant-id", b"x-timeout-ms",
    )
)  # fmt: skip

ABSOLUTE = re.compile(rb"^[Hh][Tt][Tt][Pp]://[^/?#]*")

NO_CLASS = ClassState(-1, RequestClass("", 1, 1), 0)  # of what is no request for a backend


class IncomingRequest:
    """A request as it is read; `head` is what each attempt starts with."""

    __slots__ = (
        "body", "chunked", "cls", "fields", "flow", "head", "hint", "keep_alive", "key", "keyed",
        "label", "length", "lines", "method", "old", "path", "policy", "probe",
        "received", "retried", "size", "tenant", "timeout", "url",
    )  # fmt: skip

    def __init__(self) -> None:
        self.url = b""
        self.method = b""
        self.lines: list[bytes] = []
        self.fields: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.size = 0
        self.length = 0
        self.chunked = False
        self.flow: Flow | None = None  # once its bytes go on as they come
        self.old = False  # of a client that speaks HTTP/1.0
        self.head = b""
        self.path = b""  # without its query
        self.policy: Policy | None = None  # its route's, where there is a routes file
        self.label = b""  # the id the client gave it
        self.keep_alive = True
        self.probe = False
        self.cls: ClassState = NO_CLASS
        self.tenant = 0
        self.key = 0
        self.keyed = False  # it carries a key that backends drop its repeats by
        self.hint = 0
        self.retried = False
        self.timeout = 0
        self.received = 0


class HeadChecker:
    """Checks heads against the protocol, and finds each request's class and tenant."""

    __slots__ = ("_node", "_tenants")

    def __init__(self, node: ClientHost) -> None:
        self._node = node
        tenants = node.config.settings.tenants
        self._tenants = {tenant.name.encode(): i for i, tenant in enumerate(tenants)}

    def check(self, incoming: IncomingRequest) -> None:
        """Check a head and fill in what the Balancer needs; BadRequestError if it is unfit."""
        fields = incoming.fields
        if self._node.routing is None and not incoming.url.startswith(b"/"):
            incoming.url = ABSOLUTE.sub(b"", incoming.url, 1)  # RFC 9112, section 3.2.2
            if not incoming.url.startswith(b"/"):
                incoming.url = b"/" + incoming.url
        path = incoming.path = incoming.url.partition(b"?")[0]
        incoming.chunked = b"transfer-encoding" in fields
        if incoming.chunked and b"content-length" in fields:
            raise BadRequestError(400)  # one may hide a request from whoever goes by the other
        incoming.length = int(fields.get(b"content-length", b"0"))
        if path == b"/health/ready":
            incoming.probe = True
            if incoming.method != b"GET" or incoming.length or incoming.chunked:
                raise BadRequestError(400)
            return
        if b"host" not in fields:
            raise BadRequestError(400)
        cls = self._class_of(incoming)
        if incoming.method != (b"GET" if cls.effect == Effect.PURE else b"POST"):
            raise BadRequestError(405)
        if incoming.method == b"GET" and (incoming.length or incoming.chunked):
            raise BadRequestError(400)
        label = fields.get(b"x-request-id", b"")
        if not 0 < len(label) <= MAX_ID:
            raise BadRequestError(400)
        incoming.label = label
        if self._tenants:
            tenant = self._tenants.get(fields.get(b"x-tenant-id", b""))
            if tenant is None:
                raise BadRequestError(400)
            incoming.tenant = tenant
        timeout = fields.get(b"x-timeout-ms", b"")
        if not timeout.isdigit() or len(timeout) > MAX_DIGITS or not int(timeout):
            raise BadRequestError(400)
        incoming.cls = cls
        incoming.timeout = min(int(timeout) * MS, cls.spec.deadline)
        head, _, last = incoming.path.rpartition(b"/")
        if head and last:
            incoming.key = crc32(last) or 1
        cost = fields.get(b"x-cost", b"")
        if cost.isdigit() and len(cost) <= MAX_DIGITS:
            incoming.hint = int(cost) * 1000
        incoming.retried = fields.get(b"x-retried") == b"1"

    def _class_of(self, incoming: IncomingRequest) -> ClassState:
        """The class that a request falls under, by its route where there are routes."""
        routing = self._node.routing
        if routing is not None:
            incoming.policy = routing.place(incoming)
            return self._named(incoming, incoming.policy.cls)
        parts = incoming.path.split(b"/", 2)
        name = parts[1].decode("latin-1") if len(parts) > 1 and not parts[0] else ""
        cls = self._named(incoming, name)
        if incoming.fields.get(b"x-priority-class", parts[1]) != parts[1]:
            raise BadRequestError(400)
        return cls

    def _named(self, incoming: IncomingRequest, name: str) -> ClassState:
        """The class of this name that fits the method and key; BadRequestError for none."""
        safe, keyed = incoming.method == b"GET", incoming.keyed
        cls = self._node.balancer.find_class(time.monotonic_ns(), name, safe, keyed)
        if cls is None:
            raise BadRequestError(404)
        return cls
