"""Errors that several packages raise and catch; the tree's root is `core.errors`."""

from __future__ import annotations

from loadbalancer.core.errors import ConfigurationError, LoadBalancerError


class BadRequestError(LoadBalancerError):
    """The request gets this status, with `text` as its body, and its connection is closed."""

    def __init__(self, status: int, text: bytes = b"") -> None:
        super().__init__(status, text)
        self.status = status
        self.text = text


class RoutesError(ConfigurationError):
    """A routes file that can't be used; the text names its first fault and how many there are."""


class SourceError(ConfigurationError):
    """A file that names a source of servers can't be used; the text says why, a fault a line."""
