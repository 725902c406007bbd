"""Addresses of sockets, as settings and files write them."""

from __future__ import annotations

from typing import NamedTuple

MAX_PORT = 65535


class Address(NamedTuple):
    """A host, by name or number, and a TCP or UDP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def parse_address(text: object) -> Address:
    """Split "host:port"; port 0 lets the kernel choose.

    Raises:
        ValueError: on anything else.
    """
    host, colon, port = str(text).rpartition(":")
    valid_port = port.isascii() and port.isdigit() and int(port) <= MAX_PORT
    if not colon or not host or not valid_port:
        raise ValueError(f"{text!r} is no host:port")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]  # an IPv6 address, as RFC 3986, section 3.2.2, writes it
    return Address(host, int(port))
