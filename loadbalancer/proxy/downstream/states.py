"""The states of one client's connection, and of the request that is being read on it.

    OPENING -> AWAITING_REQUEST -> AWAITING_RESPONSE -> AWAITING_REQUEST ...
                                          |                  ^
                                          +--> STREAMING ----+
    the three in the middle -> LINGERING -> CLOSING -> CLOSED
    any of them -> CLOSING -> CLOSED

A client may send further requests while one awaits its response (pipelining), so what is
being read has a state of its own:

    NO_REQUEST -> HEAD -> CONTENT -> NO_REQUEST ...
                             |            ^
                             +--> UPLOAD -+

The names at each enum's end are the same members: each request compares with several,
and a global is read faster than an enum's attribute.
"""

from __future__ import annotations

from enum import Enum


class ConnectionState(Enum):
    """Where a connection is in its life; exactly one of these at a time."""

    OPENING = "opening"  # accepted; the event loop has not reported it yet
    AWAITING_REQUEST = "awaiting request"  # no request is open, though one may be half read
    AWAITING_RESPONSE = "awaiting response"  # a request is open, its client has got nothing
    STREAMING = "streaming"  # the client has a part of the open request's response
    LINGERING = "lingering"  # our sending has ended; what still comes is discarded
    CLOSING = "closing"  # closed or aborted; its descriptor is still open
    CLOSED = "closed"  # the event loop has reported its end


OPENING = ConnectionState.OPENING
AWAITING_REQUEST = ConnectionState.AWAITING_REQUEST
AWAITING_RESPONSE = ConnectionState.AWAITING_RESPONSE
STREAMING = ConnectionState.STREAMING
LINGERING = ConnectionState.LINGERING
CLOSING = ConnectionState.CLOSING
CLOSED = ConnectionState.CLOSED


class ReadState(Enum):
    """How far the request that is being read has come."""

    NO_REQUEST = "no request"  # the last one has been read to its end
    HEAD = "head"
    CONTENT = "content"  # buffered until it is complete
    UPLOAD = "upload"  # its content is forwarded as it comes


NO_REQUEST = ReadState.NO_REQUEST
HEAD = ReadState.HEAD
CONTENT = ReadState.CONTENT
UPLOAD = ReadState.UPLOAD


class ResponseFraming(Enum):
    """How the client finds the end of a streamed response (RFC 9112, section 6.3)."""

    LENGTH = "length"  # by its Content-Length
    CHUNKED = "chunked"  # by its last chunk
    CLOSE = "close"  # by the end of the connection: an HTTP/1.0 client knows no chunks


LENGTH = ResponseFraming.LENGTH
CHUNKED = ResponseFraming.CHUNKED
CLOSE = ResponseFraming.CLOSE
