"""A client's request while it is being read."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.core.balancing.model import RequestClass
from loadbalancer.core.balancing.records import ClassState

if TYPE_CHECKING:
    from loadbalancer.core.http_framing import FramingExcess
    from loadbalancer.core.routes.table import Policy
    from loadbalancer.proxy.flow_control import Flow

NO_CLASS = ClassState(
    -1, RequestClass("", 1, 1), 0
)  # of a request that is not forwarded to a backend


class IncomingRequest:
    """A client's request, filled in while it is being read.

    Sizes are in bytes, times in nanoseconds.
    """

    __slots__ = (
        "body", "chunked", "client_request_id", "cls", "fields", "flow", "framing_excess",
        "has_idempotency_key", "head", "head_size", "hint", "http10", "is_readiness_check",
        "keep_alive", "key", "length", "lines", "method", "path", "pieces", "policy",
        "received_at", "retried", "size", "tenant", "timeout", "url",
    )  # fmt: skip

    def __init__(self) -> None:
        self.url = b""
        self.method = b""
        # The header field lines to forward. One object, as thousands of short fields that are an
        # object each take many times the memory of their bytes.
        self.lines = bytearray()
        self.fields: dict[bytes, bytes] = {}  # the header fields in INTERPRETED_FIELDS
        self.body: list[bytes] = []  # content read so far, unless `flow` has it
        self.size = 0  # of the content read so far
        self.length = 0  # of the content, as declared by the head
        self.chunked = False
        self.pieces = 0  # parts in which the content came, at least one for each chunk
        self.framing_excess: FramingExcess | None = None  # of chunked content
        self.flow: Flow | None = None  # set once the content is forwarded while it is read
        self.http10 = False
        self.head = b""  # the start of each attempt's head, up to the value of its timeout
        self.head_size = 0  # of the target and the field lines, counted in the memory account
        self.path = b""  # without the query
        self.policy: Policy | None = None  # the route's policy, if a routes file is in use
        self.client_request_id = b""  # the X-Request-ID
        self.keep_alive = True
        self.is_readiness_check = False
        self.cls: ClassState = NO_CLASS
        self.tenant = 0
        self.key = 0  # the CRC-32 of the path's last segment, 0 for none
        self.has_idempotency_key = False
        self.hint = 0  # the client's estimate of the cost (X-Cost), 0 for none
        self.retried = False  # the client has marked it as a retry (X-Retried)
        self.timeout = 0
        self.received_at = 0  # arrival of the last byte, on the monotonic clock
