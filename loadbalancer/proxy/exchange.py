"""A client's request and its attempts at backends, shared by the host and its adapters.

The protocols here describe the connections on both sides as far as the host uses them:
the host knows no adapter's class, and no adapter knows another's.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from loadbalancer.core.balancing.records import ClassState
    from loadbalancer.core.routes.table import Policy
    from loadbalancer.proxy.flow_control import Flow


class Client(Protocol):
    """The connection that a request came on."""

    def respond(self, content_type: bytes, chunks: list[bytes], size: int) -> None:
        """Send a complete 200 response."""

    def respond_empty(self, status: int, retry_after_ns: int) -> None:
        """Send a response without content; `retry_after_ns` in nanoseconds, 0 for none."""

    def begin_streaming(self, content_type: bytes, length: int, flow: Flow) -> None:
        """Send the head of a 200 response whose content follows through `flow`.

        A negative `length` means that the length is not known.
        """

    def abort_response(self) -> None:
        """End the connection so that the client sees its response as incomplete."""

    def has_half_closed(self) -> bool:
        """Whether the client has ended its sending, read from the socket itself."""


class AttemptConnection(Protocol):
    """The connection that an attempt is sent on."""

    request_written: bool

    def abandon(self) -> bool:
        """Close; False where the request's last byte certainly never left this process."""


class ReceivedRequest(Protocol):
    """A request as its adapter has read it; the host does not modify it."""

    head: bytes
    client_request_id: bytes
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
    """One open request of a client, with all attempts made for it. Times in nanoseconds."""

    __slots__ = (
        "arrived", "attempts", "body", "chunked", "client", "client_request_id", "deadline",
        "ended", "flow", "half_closed", "head", "id", "max_attempts", "open_attempts", "size",
        "started", "timeout", "unsafe",
    )  # fmt: skip

    def __init__(
        self,
        rid: int,
        client: Client,
        incoming: ReceivedRequest,
        now: int,
        remaining: int,
        max_attempts: int,
    ) -> None:
        self.id = rid
        self.client: Client | None = client  # None once the request has ended
        self.head = incoming.head
        self.client_request_id = incoming.client_request_id
        # No safe method (RFC 9110, section 9.2.1): a second run may have a second effect.
        self.unsafe = incoming.method != b"GET"
        self.body = incoming.body
        self.size = incoming.size
        self.arrived = now
        self.deadline = now + remaining
        self.timeout = remaining
        self.max_attempts = max_attempts  # by the settings in force at its admission
        self.flow: Flow | None = incoming.flow  # of a body that is forwarded as it comes
        self.chunked = incoming.chunked  # that body's length is not known
        self.started = False  # a response has begun to go to the client
        self.attempts: list[Attempt] = []
        self.open_attempts = 0
        self.ended = False
        self.half_closed = False  # its client has ended its sending: no attempt begins any more

    @property
    def receiving(self) -> bool:
        """Whether its body is still being read; its timeout runs only from the end of it."""
        return self.flow is not None and not self.flow.complete


class Attempt:
    """One send of a request. It has exactly one outcome.

    `sent` and `limit` in nanoseconds: when it was sent, and how long it may take.
    """

    __slots__ = (
        "backend", "closed", "connected", "connection", "limit", "number", "request", "sent",
    )  # fmt: skip

    def __init__(self, request: Request, number: int, backend: int, sent: int) -> None:
        self.request = request
        self.number = number
        self.backend = backend
        self.sent = sent
        self.limit = 0
        self.closed = False  # its outcome is settled
        self.connected = False  # whether its connection has ever been established
        self.connection: AttemptConnection | None = None
