"""The message connection between the two processes of one node, after the greeting."""

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
    """Sends and receives messages over a connected socket.

    `on_message` is called with each message; `on_closed` is called once, whichever side closes.

    If the peer sends bytes that can't be decoded, because it is of another version or another
    program, the link is closed as if the peer had exited, and this process goes on alone.

    An exception in `on_message`, such as a bug in a reload, is logged, and the link continues
    with the next message. If the exception reached the event loop, the loop would close the
    link: each process would assume that the other had exited although both serve, and both
    would use each endpoint's whole limit.
    """

    def __init__(
        self, on_message: Callable[[Message], None], on_closed: Callable[[], None]
    ) -> None:
        self._on_message = on_message
        self._on_closed: Callable[[], None] | None = on_closed
        self._frames = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._unsent: list[Message] = []  # messages queued until the transport is connected

    @property
    def is_open(self) -> bool:
        """Whether the link has not been closed yet, by either side."""
        return self._on_closed is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop."""
        self._transport = cast(asyncio.Transport, transport)
        unsent, self._unsent = self._unsent, []
        for message in unsent:
            self.send(message)

    def send(self, message: Message) -> None:
        """Send a message; on a closed link it is dropped.

        Messages sent before the transport is connected are queued. An operator's call may
        arrive that early, and if it were dropped, only one of the two processes would obey it.
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
            logger.info(
                "upgrade: received an invalid message from the other process; closing the link: %s",
                err,
            )
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop."""
        del exc
        self.close()

    def close(self) -> None:
        """Close the connection at once, discarding unsent data."""
        on_closed, self._on_closed = self._on_closed, None
        if on_closed is None:
            return
        if self._transport is not None:
            with contextlib.suppress(OSError):
                self._transport.abort()
        on_closed()
