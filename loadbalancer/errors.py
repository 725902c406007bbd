"""Errors that cross modules."""

from __future__ import annotations


class BadRequest(Exception):
    """The request gets this status, with `text` as its body, and its connection is closed."""

    def __init__(self, status: int, text: bytes = b"") -> None:
        super().__init__(status, text)
        self.status = status
        self.text = text


class RoutesError(Exception):
    """A routes file that can't be used; the text names its first fault and how many there are."""


class SourceError(Exception):
    """A file that names a source of servers can't be used; the text says why, a fault a line."""
