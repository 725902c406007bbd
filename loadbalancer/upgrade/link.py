"""The connection between the two processes of one node, once they have greeted each other."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from typing import cast

from loadbalancer.faults import run_logged
from loadbalancer.upgrade.codec import FrameReader, MessageError, decode, encode
from loadbalancer.upgrade.messages import Message

logger = logging.getLogger(__name__)


class Link(asyncio.Protocol):
    """Messages over a connected socket.

    `on_message` is called with each message; `on_closed` is called once, whichever side closes.

    Failure: the peer is another version, or another program, and sends what is no message.
    The link is closed then, as if the peer had ended, and the process goes on alone.

    Failure: `on_message` raises, as where a reload has a fault. An exception that reached the
    event loop would end the link: each process would take the other for dead while both serve,
    and use the whole of every cap. It is logged, and the link goes on with the next message.
    """

    def __init__(
        self, on_message: Callable[[Message], None], on_closed: Callable[[], None]
    ) -> None:
        self._on_message = on_message
        self._on_closed: Callable[[], None] | None = on_closed
        self._frames = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._unsent: list[Message] = []  # of the time before the transport

    @property
    def is_open(self) -> bool:
        """Whether `on_closed` is still to be called."""
        return self._on_closed is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop."""
        self._transport = cast(asyncio.Transport, transport)
        unsent, self._unsent = self._unsent, []
        for message in unsent:
            self.send(message)

    def send(self, message: Message) -> None:
        """Send a message; it is lost where the link is closed.

        Failure: an operator's call comes in the turns of the loop before the transport is made.
        Dropped, it would hold for one of the two processes. It is sent with the transport.
        """
        if self._transport is None:
            self._unsent.append(message)
        elif self.is_open:
            self._transport.write(encode(message))

    def data_received(self, data: bytes) -> None:
        """Called by the event loop."""
        self._frames.feed(data)
        try:
            while self.is_open and (fields := self._frames.next_frame()) is not None:
                message = decode(fields)
                if message is not None:
                    run_logged(self._on_message, message)
        except MessageError as err:
            logger.info("upgrade: the other process sent what can't be used: %s", err)
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop."""
        del exc
        self.close()

    def close(self) -> None:
        """Close the connection, without waiting for what is still to be written."""
        on_closed, self._on_closed = self._on_closed, None
        if on_closed is None:
            return
        if self._transport is not None:
            with contextlib.suppress(OSError):
                self._transport.abort()
        on_closed()
