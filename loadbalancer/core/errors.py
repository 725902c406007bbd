"""The root of every error that this program raises on purpose, and its four branches.

A branch says whose fault it is, which decides what may be done about it:

- `ConfigurationError`: a file or setting can't be used; an operator mends it.
- `ProtocolError`: bytes or a message from outside break the form; the message is dropped or
  answered with an error, and the sender's connection may be closed.
- `PeerError`: another process can't be reached or may not do what it asks.
- `StateError`: an operation does not fit the present state; the caller is at fault.

A class that stands for a value that does not fit inherits from `ValueError` as well.
"""

from __future__ import annotations


class LoadBalancerError(Exception):
    """Root of the program's own errors; its text says what was wrong, and where."""


class ConfigurationError(LoadBalancerError):
    """A file or setting that can't be used; the text names the place and the rule."""


class ProtocolError(LoadBalancerError):
    """Bytes or a message from outside that break the form."""


class PeerError(LoadBalancerError):
    """Another process can't be reached, or may not do what it asks."""


class StateError(LoadBalancerError):
    """An operation that does not fit the present state."""
