"""Socket addresses in the form used by settings and configuration files."""

from __future__ import annotations

from typing import NamedTuple

MAX_PORT = 65535


class Address(NamedTuple):
    """A host name or IP address, and a TCP or UDP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def parse_address(text: object) -> Address:
    """Parse "host:port"; port 0 lets the kernel choose a free port.

    Raises:
        ValueError: if the text has another form.
    """
    host, colon, port = str(text).rpartition(":")
    valid_port = port.isascii() and port.isdigit() and int(port) <= MAX_PORT
    if not colon or not host or not valid_port:
        raise ValueError(f"{text!r} is no host:port")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]  # bracketed IPv6 address (RFC 3986, section 3.2.2)
    return Address(host, int(port))
