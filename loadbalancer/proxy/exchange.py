"""One request and its attempts, as the host and its adapters share them, and the
connections that these are on."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from loadbalancer.core.balancing.records import ClassState
    from loadbalancer.core.routes.table import Policy
    from loadbalancer.proxy.flow_control import Flow


class Client(Protocol):
    """The connection that a request came on."""

    def answer(self, content_type: bytes, chunks: list[bytes], size: int) -> None: ...
    def answer_empty(self, status: int, retry_after: int) -> None: ...
    def begin_long(self, content_type: bytes, length: int, flow: Flow) -> None: ...
    def cut(self) -> None: ...
    def has_left(self) -> bool: ...


class Link(Protocol):
    """The connection that an attempt is out on."""

    written: bool

    def abandon(self) -> bool: ...


class Taken(Protocol):
    """A request as its adapter has read it; the host changes nothing of it."""

    head: bytes
    label: bytes
    method: bytes
    body: list[bytes]
    size: int
    flow: Flow | None
    chunked: bool
    cls: ClassState
    timeout: int
    tenant: int
    key: int
    hint: int
    retried: bool
    policy: Policy | None


class Request:
    __slots__ = (
        "allowed", "arrived", "attempts", "body", "chunked", "client", "deadline", "ended", "flow",
        "head", "id", "label", "last", "live", "once", "size", "started", "timeout",
    )  # fmt: skip

    def __init__(
        self,
        rid: int,
        client: Client,
        incoming: Taken,
        now: int,
        left: int,
        allowed: int,
    ) -> None:
        self.id = rid
        self.client: Client | None = client
        self.head = incoming.head
        self.label = incoming.label
        self.once = incoming.method != b"GET"
        self.body = incoming.body
        self.size = incoming.size
        self.arrived = now
        self.deadline = now + left
        self.timeout = left
        self.allowed = allowed  # attempts, by the settings of its admission
        self.flow: Flow | None = incoming.flow  # of a body too long to hold
        self.chunked = incoming.chunked  # and of a length that nobody knows yet
        self.started = False  # an answer has begun to go to the client
        self.attempts: list[Attempt] = []
        self.live = 0
        self.ended = False
        self.last = False  # its client sends no more: nothing begins for it any more

    @property
    def coming(self) -> bool:
        """Whether its body is still being read: its time has not begun."""
        return self.flow is not None and not self.flow.whole


class Attempt:
    """One send, or a probe where `request` is None. It has exactly one outcome."""

    __slots__ = (
        "backend", "closed", "connected", "connection", "limit", "number", "request", "sent",
    )  # fmt: skip

    def __init__(self, request: Request | None, number: int, backend: int, sent: int) -> None:
        self.request = request
        self.number = number
        self.backend = backend
        self.sent = sent
        self.limit = 0
        self.closed = False
        self.connected = False  # whether its connection has ever been up
        self.connection: Link | None = None
