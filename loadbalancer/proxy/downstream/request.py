"""A request as it is read from a client."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.core.balancing.model import RequestClass
from loadbalancer.core.balancing.records import ClassState

if TYPE_CHECKING:
    from loadbalancer.core.routes.table import Policy
    from loadbalancer.proxy.flow_control import Flow

NO_CLASS = ClassState(-1, RequestClass("", 1, 1), 0)  # of a request that no backend is to get


class IncomingRequest:
    """A request as it is read; `head` is what each attempt's request starts with.

    Sizes in bytes, times in nanoseconds.
    """

    __slots__ = (
        "body", "chunked", "client_request_id", "cls", "fields", "flow", "has_idempotency_key",
        "head", "hint", "http10", "is_readiness_check", "keep_alive", "key", "length", "lines",
        "method", "path", "policy", "received_at", "retried", "size", "tenant", "timeout", "url",
    )  # fmt: skip

    def __init__(self) -> None:
        self.url = b""
        self.method = b""
        self.lines: list[bytes] = []  # of the head, as they are forwarded
        self.fields: dict[bytes, bytes] = {}  # those that this process goes by
        self.body: list[bytes] = []
        self.size = 0  # of the content read so far
        self.length = 0  # of the content, as the head states it
        self.chunked = False
        self.flow: Flow | None = None  # once its content is forwarded as it comes
        self.http10 = False
        self.head = b""
        self.path = b""  # without its query
        self.policy: Policy | None = None  # its route's, where there is a routes file
        self.client_request_id = b""  # the id that its client gave it
        self.keep_alive = True
        self.is_readiness_check = False
        self.cls: ClassState = NO_CLASS
        self.tenant = 0
        self.key = 0
        self.has_idempotency_key = False
        self.hint = 0  # its client's estimate of the work
        self.retried = False  # its client marks it as a further try
        self.timeout = 0
        self.received_at = 0  # when its last byte came, on the monotonic clock
