"""The heads of responses that the proxy generates itself.

KEEP_ALIVE_END or CLOSE_END completes each, except CONTINUE.
"""

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
EMPTY_HEADS = {
    status: b"HTTP/1.1 %d %s\r\nContent-Length: 0\r\n" % (status, reason)
    for status, reason in REASONS.items()
}
TEXT_HEAD = b"HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n"
READY_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
KEEP_ALIVE_END = b"\r\n"
CLOSE_END = b"Connection: close\r\n\r\n"
