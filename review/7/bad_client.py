"""One bad client: a chunked request whose trailer section does not end, at full speed.

    bad_client.py HOST:PORT NAME

It sends 60 MB at most, for 20 s at most. It reads what it is sent, and ends once it is answered.
"""

from __future__ import annotations

import select
import socket
import sys
import time

MOST_BYTES = 60_000_000
MOST_S = 20.0
PIECE = b"a" * (256 << 10)


def main(address: str, name: str) -> None:
    """Send, then print what came back."""
    host, _, port = address.partition(":")
    began = time.monotonic()
    sock = socket.create_connection((host, int(port)))
    sock.settimeout(5)
    sent, answer = 0, b""
    try:
        sock.sendall(
            b"POST /credit/1 HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: %s\r\n"
            b"X-Timeout-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Note: " % name.encode()
        )
        while sent < MOST_BYTES and time.monotonic() - began < MOST_S:
            readable, writable, _ = select.select([sock], [sock], [], 1.0)
            if readable:
                break
            if writable:
                sent += sock.send(PIECE, socket.MSG_DONTWAIT)
    except OSError:
        pass
    try:
        answer = sock.recv(4096)
    except OSError as err:
        answer = repr(err).encode()
    took = time.monotonic() - began
    first = answer.split(b"\r\n")[0]
    print(f"{name}: {sent} bytes sent, after {took:.1f} s: {first!r}")


main(*sys.argv[1:])
