"""Errors shared by several packages; their base classes are in `loadbalancer.core.errors`."""

from __future__ import annotations

from loadbalancer.core.errors import ConfigurationError, LoadBalancerError


class BadRequestError(LoadBalancerError):
    """A request is to be answered with this status and body, and its connection closed."""

    def __init__(self, status: int, text: bytes = b"") -> None:
        super().__init__(status, text)
        self.status = status
        self.text = text


class RoutesError(ConfigurationError):
    """A routes file can't be used; the message has its first fault and the number of faults."""


class SourceError(ConfigurationError):
    """A file that configures a source of servers can't be used; the message lists its faults."""
