"""The heads of the answers that a node writes of its own."""

from __future__ import annotations

REASONS = {
    400: b"Bad Request",
    403: b"Forbidden",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
EMPTY = {
    status: b"HTTP/1.1 %d %s\r\nContent-Length: 0\r\n" % (status, reason)
    for status, reason in REASONS.items()
}
TEXT = b"HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n"
READY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
