"""The states of one connection to a backend.

    CONNECTING -> SENDING -> AWAITING_RESPONSE -> IDLE -> SENDING ...
                                |                  ^
                                +--> STREAMING ----+
    any of them -> CLOSING -> CLOSED

The members are also module globals: several are compared with for each request, and reading
a global is faster than reading an attribute of the enum.
"""

from __future__ import annotations

from enum import Enum


class ConnectionState(Enum):
    """The state of a connection to a backend."""

    CONNECTING = "connecting"  # until the event loop has reported the connection as made
    IDLE = "idle"  # in the pool, without an attempt
    SENDING = "sending"  # at least a part of the request has certainly not left this process
    AWAITING_RESPONSE = "awaiting response"  # the response is buffered until it is complete
    STREAMING = "streaming"  # the response is forwarded to the client as it arrives
    CLOSING = "closing"  # no longer usable, but its descriptor is still open
    CLOSED = "closed"  # its descriptor has been closed


CONNECTING = ConnectionState.CONNECTING
IDLE = ConnectionState.IDLE
SENDING = ConnectionState.SENDING
AWAITING_RESPONSE = ConnectionState.AWAITING_RESPONSE
STREAMING = ConnectionState.STREAMING
CLOSING = ConnectionState.CLOSING
CLOSED = ConnectionState.CLOSED
