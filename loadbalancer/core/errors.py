"""Base classes of all errors that this program raises deliberately.

The four subclasses of `LoadBalancerError` tell who caused an error, and so how it is handled:

- `ConfigurationError`: a file or setting is invalid; an operator has to correct it.
- `ProtocolError`: received data is malformed; the message is dropped or answered with an error,
  and the sender's connection may be closed.
- `PeerError`: another process can't be reached, or its request is not permitted.
- `StateError`: an operation is not allowed in the current state; the caller is at fault.

A subclass that reports an invalid value also inherits from `ValueError`.
"""

from __future__ import annotations


class LoadBalancerError(Exception):
    """Base class of the program's own errors; the message says what is wrong and where."""


class ConfigurationError(LoadBalancerError):
    """An invalid file or setting; the message names the place and the violated rule."""


class ProtocolError(LoadBalancerError):
    """Malformed data or messages from another process."""


class PeerError(LoadBalancerError):
    """Another process can't be reached, or its request is not permitted."""


class StateError(LoadBalancerError):
    """An operation that is not allowed in the current state."""
