"""Interfaces between the host and its adapters for clients, backends and endpoint lists.

At run time this module imports neither side. An adapter uses the host only through one of these
protocols, and adapters don't use each other.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from loadbalancer.config.address import Address
    from loadbalancer.config.node import Config
    from loadbalancer.core import Balancer, Outcome
    from loadbalancer.core.buffer_budget import BufferBudget
    from loadbalancer.core.request_ids import RequestIdTable
    from loadbalancer.proxy.exchange import Attempt, Client, ReceivedRequest, Request
    from loadbalancer.proxy.routing import Routing
    from loadbalancer.sources.handed_list import InheritedSources


class EndpointListView(Protocol):
    """The current endpoint list: the address of each backend, and the list's version."""

    endpoints: dict[int, Address]
    rev: int

    def boot_ms(self, backend: int) -> int:
        """When a backend was started, in milliseconds on the clock of the list's source."""


class Source(Protocol):
    """Where the host's endpoint list comes from."""

    @property
    def endpoint_list(self) -> EndpointListView:
        """The current list."""

    def handed_sources(self) -> InheritedSources | None:
        """What a successor is handed of the sources of a merged list; None for a single source."""


class ListReaders(Protocol):
    """The fleet's list readers, as one node sees them: a few poll and share the list with all."""

    def may_poll(self) -> bool:
        """Whether this node is a list reader."""

    def needs_first_list(self) -> bool:
        """Whether no node has read a list yet, so that a complete one has to be requested."""

    def read(self, raw: dict[str, Any]) -> None:
        """This node has received a response of the list service."""

    def failed(self, older: bool) -> None:
        """This node's poll has failed; `older`: its response was older than the current list."""


class _Host(Protocol):
    config: Config
    loop: asyncio.AbstractEventLoop
    budget: BufferBudget
    on_descriptor_freed: Callable[[], None]  # called when a connection has closed its descriptor

    def log(self, text: str) -> None:
        """Log a message."""


class ClientHost(_Host, Protocol):
    """What client connections and their listener use of the host.

    `clients`: the number of client descriptors, which the listener and the connections update.
    `request_ids`: the ids that no further request may use.
    """

    clients: int
    request_ids: RequestIdTable
    balancer: Balancer
    routing: Routing | None

    def admit_request(
        self, client: Client, incoming: ReceivedRequest, waited_ns: int
    ) -> Request | None:
        """Admit a request, or return None if its client has to retry."""

    def client_disconnected(self, request: Request) -> None:
        """A request's client has disconnected."""

    def response_delivered(self, request: Request) -> None:
        """A long response has been sent completely."""

    def client_half_closed(self, request: Request) -> None:
        """A request's client has shut down its sending side, but may wait for the response."""

    def on_body_received(self, request: Request, received_at: int) -> None:
        """A streamed request body has been received completely, at this time in ns."""

    def upload_backlog(self, request: Request) -> int:
        """The bytes of a streamed request body that no backend has accepted yet."""

    def upload_timed_out(self, request: Request) -> None:
        """A backend has stopped accepting a streamed request body."""

    def max_clients(self) -> int:
        """The maximum number of client connections."""

    def may_accept_client(self) -> bool:
        """Whether one more client connection may be accepted."""

    def close_surplus_upstream(self) -> None:
        """Close an idle backend connection for a client, if backends exceed their fraction."""


class BackendHost(_Host, Protocol):
    """What the connection pool and the backend connections use of the host."""

    @property
    def discovery(self) -> Source:
        """Where the endpoint list comes from."""

    def record_outcome(
        self, attempt: Attempt, outcome: Outcome, load: Sequence[float] = ()
    ) -> None:
        """Record the outcome of an attempt, with the load that its backend reports."""

    def may_begin(self, attempt: Attempt) -> bool:
        """Whether an attempt may write its first byte, now that its connection is established."""

    def on_response_started(self, attempt: Attempt) -> None:
        """A streamed response has begun to be sent to the client."""

    def on_body_started(self, attempt: Attempt) -> None:
        """The first bytes of a streamed request body are about to be written."""

    def on_body_sent(self, attempt: Attempt) -> None:
        """This attempt has written a streamed request body completely."""

    def finish(self, request: Request, status: int, retry_after_ns: int = 0) -> None:
        """Answer a request with an error status; `retry_after_ns` 0 for no Retry-After."""

    def may_open_upstream(self) -> bool:
        """Whether one more backend connection may be opened."""


class PredecessorNode(Protocol):
    """The host of a process that hands over: what its successor's initial state is made from."""

    balancer: Balancer

    @property
    def discovery(self) -> Source:
        """Where the endpoint list comes from."""
