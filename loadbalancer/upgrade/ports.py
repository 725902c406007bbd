"""The interface through which the upgrade code uses the process that it runs in."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from loadbalancer.proxy.downstream.listener import Listener
    from loadbalancer.proxy.host import Node
    from loadbalancer.proxy.lifecycle import Lifecycle


class Process(Protocol):
    """A running node with its listener and its lifecycle."""

    loop: asyncio.AbstractEventLoop
    node: Node
    listener: Listener
    lifecycle: Lifecycle

    def reload(self, forwarded: bool = False) -> None:
        """Read the configuration again.

        Args:
            forwarded: the request came from the other process, so it is not sent back.
        """

    def set_standby(self, on: bool) -> None:
        """Begin (True) or end (False) a standby."""
