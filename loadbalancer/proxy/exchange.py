"""A client's request and its attempts, shared by the host and its connection classes.

The protocols here declare what the host uses of client and backend connections, so that the host
does not depend on the connection classes, nor they on each other.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from loadbalancer.core.balancing.records import ClassState
    from loadbalancer.core.routes.table import Policy
    from loadbalancer.proxy.flow_control import Flow


class Client(Protocol):
    """The client connection on which a request was received."""

    def respond(self, content_type: bytes, chunks: list[bytes], size: int) -> None:
        """Send a complete 200 response."""

    def respond_empty(self, status: int, retry_after_ns: int) -> None:
        """Send a response without content, with Retry-After unless `retry_after_ns` is 0."""

    def begin_streaming(self, content_type: bytes, length: int, flow: Flow) -> None:
        """Send the head of a 200 response and forward its content from `flow`.

        A negative `length` means that the content's length is unknown.
        """

    def abort_response(self) -> None:
        """Close the connection in such a way that the client detects a truncated response."""

    def has_half_closed(self) -> bool:
        """Whether the client has shut down its side of the connection, read from the socket."""


class AttemptConnection(Protocol):
    """The backend connection on which an attempt is sent."""

    request_written: bool

    def abandon(self) -> bool:
        """Close the connection.

        Returns False if the request's last byte certainly never left this process.
        """

    def unaccepted_bytes(self) -> int:
        """The bytes written to the connection that the backend's kernel has not accepted."""


class ReceivedRequest(Protocol):
    """A request as read from its client connection; the host does not modify it."""

    head: bytes
    head_size: int  # as counted in the memory account
    client_request_id: bytes
    method: bytes
    body: list[bytes]
    size: int  # of the body
    flow: Flow | None  # of a long body, forwarded while it is received
    chunked: bool
    cls: ClassState  # the class of the request
    timeout: int  # in nanoseconds
    tenant: int
    key: int
    hint: int  # the client's estimate of the work
    retried: bool  # whether the client marked the request as a retry
    policy: Policy | None  # that of its route, if there is a routes file


class Request:
    """One open request of a client, with all attempts made for it.

    Times are in nanoseconds, points in time by the monotonic clock.
    """

    __slots__ = (
        "attempts", "body", "chunked", "client", "client_request_id", "deadline",
        "delivering", "ended", "flow", "half_closed", "head", "head_size", "id", "id_in_use_until",
        "max_attempts", "open_attempts", "received_at", "size", "started", "timeout", "unsafe",
    )  # fmt: skip

    def __init__(
        self,
        number: int,
        client: Client,
        incoming: ReceivedRequest,
        now: int,
        waited_ns: int,
        max_attempts: int,
    ) -> None:
        remaining = incoming.timeout - waited_ns
        self.id = number  # unique in this process; `client_request_id` is the client's
        self.client: Client | None = client  # None once the request has ended
        self.head = incoming.head
        self.head_size = incoming.head_size
        self.client_request_id = incoming.client_request_id
        # Not a safe method (RFC 9110, section 9.2.1): executing it twice may have two effects.
        self.unsafe = incoming.method != b"GET"
        # A long body is in its flow alone. The list that it is read into would keep its first read.
        self.body = incoming.body if incoming.flow is None else []
        self.size = incoming.size
        self.received_at = now - waited_ns  # when its last byte arrived in the kernel
        self.deadline = now + remaining
        self.timeout = remaining
        self.max_attempts = max_attempts  # from the settings in force when it was admitted
        self.flow: Flow | None = incoming.flow  # a long body, forwarded while it is received
        self.chunked = incoming.chunked  # whether that body's length is unknown
        self.started = False  # whether the client has been sent a part of a response
        self.delivering = False  # whether its client's connection still sends a long response
        # Until when its id stays in use once its client has left; 0 if it has not.
        self.id_in_use_until = 0
        self.attempts: list[Attempt] = []
        self.open_attempts = 0
        self.ended = False
        self.half_closed = False  # its client has shut down its sending side: no new attempt begins

    @property
    def receiving(self) -> bool:
        """Whether the body is still being received; the timeout starts only after its end."""
        return self.flow is not None and not self.flow.complete


class Attempt:
    """One attempt to send a request to a backend. It has exactly one outcome.

    `sent_at` is by the monotonic clock; `timeout` counts from then. Both are in nanoseconds.
    """

    __slots__ = (
        "backend", "connected", "connection", "number", "request", "sent_at", "settled", "timeout",
    )  # fmt: skip

    def __init__(self, request: Request, number: int, backend: int, sent_at: int) -> None:
        self.request = request
        self.number = number
        self.backend = backend
        self.sent_at = sent_at
        self.timeout = 0
        self.settled = False  # whether its outcome is settled
        self.connected = False  # whether its connection was ever established
        self.connection: AttemptConnection | None = None
