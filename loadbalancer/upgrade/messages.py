"""What the two processes of one node say to each other while one succeeds the other.

Way of each: `codec` gives its JSON form, `link` carries it.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple


class HandedState(NamedTuple):
    """Predecessor, once: all that it hands over, in the form of `handed_state.export`."""

    state: Any


class Serving:
    """Successor, once: it accepts the clients' connections from now on."""

    __slots__ = ()


class RetainedCapacity(NamedTuple):
    """Predecessor, in answer to Serving and then with every tick: what it still uses."""

    slots: Mapping[int, int]  # by endpoint; only those that have changed, 0 where released
    descriptors: int  # the most that it has open
    request_ids: tuple[bytes, ...]  # of its clients' open requests
    drained: bool  # no client's connection is left


class ListUpdate(NamedTuple):
    """Successor: an answer of discovery's, which only the successor polls."""

    body: bytes


class Reload:
    """Either: it was asked to read its configuration again."""

    __slots__ = ()


class SetStandby(NamedTuple):
    """Either: an operator began a standby or ended it."""

    on: bool


Message = HandedState | Serving | RetainedCapacity | ListUpdate | Reload | SetStandby
