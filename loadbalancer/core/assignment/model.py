"""Types shared by assignment, replication, distribution and the node's side.

A region's control machines accept the changes of the services whose home it is; nobody else
does, so that each service has one writer. Accepted changes form one log a region, ordered by
`Position`. A node subscribes to the logs of all regions in which a service that it holds is at
home, and keeps one position for each.

Times are integer nanoseconds, rates are per second, sizes are bytes.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from loadbalancer.core.errors import ConfigurationError


class InvalidInputError(ConfigurationError, ValueError):
    """An input that can't be used; the message names the place and the rule."""


class Position(NamedTuple):
    """A place in one region's log. Positions are ordered; a log's never go back.

    `epoch` grows by one with each new leader of the region (a term, in Raft's words), and
    `revision` by one with each change that the leader accepts. Revisions go on across epochs.
    """

    epoch: int
    revision: int


START = Position(0, 0)  # before any change: whoever is here holds nothing


@dataclass(frozen=True, slots=True)
class NodeSpec:
    """A registered node, whether it is alive or not."""

    name: str
    region: str
    zone: str
    capacity: int  # services that it may hold at most
    rate: float = 0.0  # requests a second that it may take, 0 where none is stated


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service and what decides how many nodes hold it."""

    name: str
    region: str  # its home: the region whose control machines accept its changes
    zones: tuple[str, ...]  # where its clients come in
    rate: float  # requests a second at the peak, over all zones
    backends: int


@dataclass(frozen=True, slots=True)
class MachineSpec:
    """A control machine."""

    name: str
    region: str
    zone: str


class Row(NamedTuple):
    """One backend of a service, as the list service words it.

    `body` is the JSON object of one target (`uid`, `endpoint`, `az`, `state`, ...): it is passed
    on as it is. `draining` repeats what its state says, so that nobody has to parse it.
    """

    uid: str
    body: str
    draining: bool = False


@dataclass(frozen=True, slots=True)
class Change:
    """One accepted change of one service, applied whole or not at all."""

    position: Position
    service: str
    rows: tuple[Row, ...] = ()  # new or changed
    removed: tuple[str, ...] = ()  # uids that have gone
    deleted: bool = False  # the service itself has gone
    complete: bool = False  # `rows` is all there is: a service's first change at a holder is whole


@dataclass(frozen=True, slots=True)
class Delta:
    """What follows `base` in one region's log, less what the subscriber does not hold.

    May be taken by a subscriber whose position is `base` exactly; takes it to `position`.
    """

    region: str
    base: Position
    position: Position
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The services that a subscriber holds, whole, as of `position`.

    May be taken whatever the subscriber's position is, unless that is later. `services` names
    each service that it is to hold of this region, one with no backend included.
    """

    region: str
    position: Position
    services: Mapping[str, Mapping[str, Row]] = field(default_factory=dict)


Update = Delta | Snapshot
