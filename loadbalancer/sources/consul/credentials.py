"""What each request to an agent carries: the token, and the authorities that are trusted."""

from __future__ import annotations

import os
import re
import ssl
import stat
from collections.abc import Mapping
from pathlib import Path

from loadbalancer.sources.consul.file import ConsulError, ConsulFile

MAX_TOKEN_BYTES = 4096
_TOKEN = re.compile(r"[!-~]+")


class Credentials:
    """Header fields and TLS of the requests to a file's agents.

    Args:
        token: "" for none.
        token_file: where the token is read again; None for never.
        tls: wraps each connection; None for plain TCP.
    """

    __slots__ = ("_headers", "_token_file", "tls")

    def __init__(
        self, token: str = "", token_file: Path | None = None, tls: ssl.SSLContext | None = None
    ) -> None:
        self._headers = {"User-Agent": "wharfspread"}
        self._token_file = token_file
        self.tls = tls
        self._use(token)

    @property
    def headers(self) -> Mapping[str, str]:
        """Header fields of each request."""
        return self._headers

    def renew_token(self) -> None:
        """Read the token again: one that is refused may have been replaced in its file.

        Raises:
            ConsulError: it can't be used; the present one stays.
        """
        if self._token_file is not None:
            self._use(read_token(self._token_file))

    def _use(self, token: str) -> None:
        if token:
            self._headers["X-Consul-Token"] = token


def open_credentials(file: ConsulFile) -> Credentials:
    """Read the token and certificates that a file names.

    Raises:
        ConsulError: they can't be used.
    """
    token = read_token(file.token_file) if file.token_file is not None else ""
    tls = None
    if file.ca_file is not None:
        try:
            tls = ssl.create_default_context(cafile=str(file.ca_file))
        except (OSError, ssl.SSLError) as err:
            raise ConsulError(f"{file.ca_file}: [ca-file] can't be used: {err}") from None
    return Credentials(token, file.token_file, tls)


def read_token(path: Path) -> str:
    """The token in a file that only its owner can read.

    Raises:
        ConsulError: it can't be used; the text names the path, never the token.
    """
    try:
        with open(path, "rb") as file:
            mode = os.fstat(file.fileno()).st_mode
            data = file.read(MAX_TOKEN_BYTES + 1)
    except OSError as err:
        raise ConsulError(f"{path}: [token-file] can't be read: {err.strerror}") from None
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise ConsulError(f"{path}: [token-file] others than its owner may use it; chmod 600")
    token = data.decode("latin-1").strip()
    if len(data) > MAX_TOKEN_BYTES or _TOKEN.fullmatch(token) is None:
        raise ConsulError(f"{path}: [token-file] holds no token of printable characters")
    return token
