"""Messages that the two processes of one node exchange during an upgrade.

`codec` defines their JSON form, `link` sends and receives them.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple


class HandedState(NamedTuple):
    """Sent once by the predecessor: its state, as returned by `handed_state.export`."""

    state: Any


class Serving:
    """Sent once by the successor: from now on it accepts the clients' connections."""

    __slots__ = ()


class RetainedCapacity(NamedTuple):
    """Sent by the predecessor in answer to Serving and then at every drain tick: what it uses."""

    slots: Mapping[int, int]  # by endpoint id; only changed ones, 0 for released
    descriptors: int  # upper bound of the open descriptors
    request_ids: tuple[bytes, ...]  # those in use
    drained: bool  # no client is connected any more


class RequestIdsChanged(NamedTuple):
    """Sent by either process while both serve, as soon as it begins or ceases to use ids."""

    begun: tuple[bytes, ...]
    released: tuple[bytes, ...]


class ListUpdate(NamedTuple):
    """Sent by the successor: an answer of the discovery service, which only it polls."""

    body: bytes


class Reload:
    """Sent by either process after SIGHUP: read the configuration again."""

    __slots__ = ()


class SetStandby(NamedTuple):
    """Sent by either process after an operator's call: begin or end the standby."""

    on: bool


Message = (
    HandedState | Serving | RetainedCapacity | RequestIdsChanged | ListUpdate | Reload | SetStandby
)
