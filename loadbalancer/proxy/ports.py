"""What the host's adapters use of it, and what it uses of them, as interfaces.

Below all of them: an adapter knows the host by one of these, and no adapter knows another.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from loadbalancer.config.address import Address
    from loadbalancer.config.node import Config
    from loadbalancer.core import Balancer, Outcome
    from loadbalancer.proxy.exchange import Attempt, Client, ReceivedRequest, Request
    from loadbalancer.proxy.flow_control import BufferBudget
    from loadbalancer.proxy.routing import Routing


# ---- the endpoint list -----------------------------------------------------


class Listed(Protocol):
    """The present endpoint list: the address of each backend, and the list's version."""

    endpoints: dict[int, Address]
    rev: int

    def boot_ms(self, backend: int) -> int:
        """When a backend was started, in milliseconds as its source counts them."""


class Source(Protocol):
    """Where the host's endpoint list comes from."""

    @property
    def endpoint_list(self) -> Listed:
        """The present list."""


class ListReaders(Protocol):
    """Nodes of which a few poll for the list and share it with all."""

    def may_poll(self) -> bool:
        """Whether this node is one that polls."""

    def unread(self) -> bool:
        """Whether no node has read a list yet: a complete one is needed."""

    def read(self, raw: dict[str, Any]) -> None:
        """This node has read an answer of the list's service."""

    def failed(self, older: bool) -> None:
        """This node's poll has failed; `older`: its answer was older than the present list."""


# ---- the host ----------------------------------------------------------------


class _Host(Protocol):
    config: Config
    loop: asyncio.AbstractEventLoop
    budget: BufferBudget
    on_descriptor_freed: Callable[[], None]  # a descriptor has been closed

    def log(self, text: str) -> None:
        """Write a line of the log."""


class ClientHost(_Host, Protocol):
    """What connections of clients and their listener use of the host.

    `clients`: descriptors of clients, counted by the listener and the connections.
    `open_request_ids` and `other_process_request_ids`: the ids of open requests, here and at
    the other process of this node.
    """

    clients: int
    open_request_ids: set[bytes]
    other_process_request_ids: set[bytes]
    balancer: Balancer
    routing: Routing | None

    def admit_request(
        self, client: Client, incoming: ReceivedRequest, waited_ns: int
    ) -> Request | None:
        """Admit a request; None where its client has to come again."""

    def client_disconnected(self, request: Request) -> None:
        """A request's client has disconnected."""

    def client_half_closed(self, request: Request) -> None:
        """A request's client sends nothing more, but may wait for its answer."""

    def on_body_received(self, request: Request) -> None:
        """A long body has been read to its end."""

    def upload_timed_out(self, request: Request) -> None:
        """A backend accepts no more of a long body."""

    def max_clients(self) -> int:
        """The most connections of clients."""

    def may_accept_client(self) -> bool:
        """Whether a further client may be accepted."""

    def close_surplus_upstream(self) -> None:
        """Close an idle connection to a backend for a client, if any may go."""


class BackendHost(_Host, Protocol):
    """What the pool and its connections to backends use of the host."""

    @property
    def discovery(self) -> Source:
        """Where the endpoint list comes from."""

    def record_outcome(
        self, attempt: Attempt, outcome: Outcome, load: Sequence[float] = ()
    ) -> None:
        """Settle an attempt, with the load that its backend reports."""

    def may_begin(self, attempt: Attempt) -> bool:
        """Whether an attempt may write its first byte, now that its connection is established."""

    def on_response_started(self, attempt: Attempt) -> None:
        """A long response has begun to go to the client."""

    def on_body_started(self, attempt: Attempt) -> None:
        """The first bytes of a long body are about to be written."""

    def on_body_sent(self, attempt: Attempt) -> None:
        """A long body has been written to its end, by this attempt."""

    def finish(self, request: Request, status: int, retry_after_ns: int = 0) -> None:
        """Give a request its final answer without service; `retry_after_ns` in nanoseconds."""

    def may_open_upstream(self) -> bool:
        """Whether one more connection to a backend may be opened."""


class Leaving(Protocol):
    """What a process that hands over is asked for."""

    balancer: Balancer

    @property
    def discovery(self) -> Source:
        """Where the endpoint list comes from."""
