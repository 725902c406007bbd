"""What the host's adapters ask of it, and what it asks of them.

Below them all: an adapter knows the host by one of these and no adapter knows another.
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


class Listed(Protocol):
    """The list in hand."""

    endpoints: dict[int, Address]
    rev: int

    def boot_ms(self, backend: int) -> int: ...


class Source(Protocol):
    """Where the host's list of backends comes from."""

    @property
    def endpoint_list(self) -> Listed: ...


class ListReaders(Protocol):
    """Nodes that read the list for one another: what the one that asks the service tells them."""

    def may_poll(self) -> bool: ...
    def unread(self) -> bool: ...
    def read(self, raw: dict[str, Any]) -> None: ...
    def failed(self, older: bool) -> None: ...


class _Host(Protocol):
    config: Config
    loop: asyncio.AbstractEventLoop
    budget: BufferBudget
    freed: Callable[[], None]

    def log(self, text: str) -> None: ...


class ClientHost(_Host, Protocol):
    """What adapters to clients ask of the host."""

    clients: int
    labels: set[bytes]
    others: set[bytes]
    balancer: Balancer
    routing: Routing | None

    def request(self, client: Client, incoming: ReceivedRequest, waited: int) -> Request | None: ...
    def client_gone(self, r: Request) -> None: ...
    def client_ended(self, r: Request) -> None: ...
    def uploaded(self, r: Request, a: Attempt | None) -> None: ...
    def stalled(self, r: Request) -> None: ...
    def most_clients(self) -> int: ...
    def room_for_client(self) -> bool: ...
    def drop_beyond_part(self) -> None: ...


class BackendHost(_Host, Protocol):
    """What adapters to backends ask of the host."""

    @property
    def discovery(self) -> Source: ...

    def conclude(self, a: Attempt, outcome: Outcome, load: Sequence[float] = ()) -> None: ...
    def may_begin(self, a: Attempt) -> bool: ...
    def started(self, a: Attempt) -> None: ...
    def uploading(self, a: Attempt) -> None: ...
    def uploaded(self, r: Request, a: Attempt | None) -> None: ...
    def finish(self, r: Request, status: int, retry_after: int = 0) -> None: ...
    def may_open_upstream(self) -> bool: ...


class Leaving(Protocol):
    """What a process that hands over is asked for."""

    balancer: Balancer

    @property
    def discovery(self) -> Source: ...
