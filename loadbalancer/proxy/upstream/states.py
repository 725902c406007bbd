"""The states of one connection to a backend.

    CONNECTING -> SENDING -> AWAITING_RESPONSE -> IDLE -> SENDING ...
                                |                  ^
                                +--> STREAMING ----+
    any of them -> CLOSING -> CLOSED

The names at the module's end are the same members: each request compares with several,
and a global is read faster than an enum's attribute.
"""

from __future__ import annotations

from enum import Enum


class ConnectionState(Enum):
    """Where a connection is in its life; exactly one of these at a time."""

    CONNECTING = "connecting"  # until the event loop has reported the connection as made
    IDLE = "idle"  # in the pool, without an attempt
    SENDING = "sending"  # a part of the request has certainly not left this process
    AWAITING_RESPONSE = "awaiting response"  # the response is buffered until it is complete
    STREAMING = "streaming"  # the client has a part of the response
    CLOSING = "closing"  # of no use any more; its descriptor is still open
    CLOSED = "closed"  # its descriptor is free


CONNECTING = ConnectionState.CONNECTING
IDLE = ConnectionState.IDLE
SENDING = ConnectionState.SENDING
AWAITING_RESPONSE = ConnectionState.AWAITING_RESPONSE
STREAMING = ConnectionState.STREAMING
CLOSING = ConnectionState.CLOSING
CLOSED = ConnectionState.CLOSED
