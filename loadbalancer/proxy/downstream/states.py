"""The states of a client's connection, and of the request being read on it.

    OPENING -> AWAITING_REQUEST -> AWAITING_RESPONSE -> AWAITING_REQUEST ...
                                          |                  ^
                                          +--> STREAMING ----+
    AWAITING_REQUEST, AWAITING_RESPONSE or STREAMING -> LINGERING -> CLOSING -> CLOSED
    any state -> CLOSING -> CLOSED

A client may send further requests while one awaits its response (pipelining), so the request
being read has a state of its own:

    NO_REQUEST -> HEAD -> CONTENT -> NO_REQUEST ...
                             |            ^
                             +--> UPLOAD -+

The globals after each enum are its members: each request is compared with several, and a global
is read faster than an enum's attribute.
"""

from __future__ import annotations

from enum import Enum


class ConnectionState(Enum):
    """The state of a client's connection."""

    OPENING = "opening"  # accepted, not yet set up by the event loop
    AWAITING_REQUEST = "awaiting request"  # no request is open, though one may be partly read
    AWAITING_RESPONSE = "awaiting response"  # a request is open, none of its response sent
    STREAMING = "streaming"  # the open request's response is being sent
    LINGERING = "lingering"  # sending is shut down; further input is discarded
    CLOSING = "closing"  # closed or aborted, not yet reported by the event loop
    CLOSED = "closed"  # the event loop has reported the close


OPENING = ConnectionState.OPENING
AWAITING_REQUEST = ConnectionState.AWAITING_REQUEST
AWAITING_RESPONSE = ConnectionState.AWAITING_RESPONSE
STREAMING = ConnectionState.STREAMING
LINGERING = ConnectionState.LINGERING
CLOSING = ConnectionState.CLOSING
CLOSED = ConnectionState.CLOSED


class ReadState(Enum):
    """Which part of a request is being read."""

    NO_REQUEST = "no request"  # the last request is complete
    HEAD = "head"
    CONTENT = "content"  # buffered until it is complete
    UPLOAD = "upload"  # its content is forwarded while it is read


NO_REQUEST = ReadState.NO_REQUEST
HEAD = ReadState.HEAD
CONTENT = ReadState.CONTENT
UPLOAD = ReadState.UPLOAD


class ResponseFraming(Enum):
    """How the client detects the end of a streamed response (RFC 9112, section 6.3)."""

    LENGTH = "length"  # by the Content-Length
    CHUNKED = "chunked"  # by the last chunk
    CLOSE = "close"  # by the close of the connection, as HTTP/1.0 has no chunks


LENGTH = ResponseFraming.LENGTH
CHUNKED = ResponseFraming.CHUNKED
CLOSE = ResponseFraming.CLOSE
