"""Types shared by assignment, the replicated log, subscriptions and the control machine.

A region's control machines accept the changes of the services whose home it is; nobody else
does, so that each service has one writer. Accepted changes form one log a region, ordered by
`Position`. A node subscribes to the logs of all regions in which a service that it holds is at
home, and has one position in each.

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

    `epoch` grows by one with each new leader of the region (Raft's term), and
    `revision` by one with each change that the leader accepts. Revisions go on across epochs.
    """

    epoch: int
    revision: int


START = Position(0, 0)  # before any change: a subscriber at this position holds nothing


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
    """One backend of a service, in the form of the list service.

    `body` is the JSON object of one target (`uid`, `endpoint`, `az`, `state`, ...): it is passed
    on as it is. `draining` repeats what its state says, so that nobody has to parse it.
    """

    uid: str
    body: str
    draining: bool = False


@dataclass(frozen=True, slots=True)
class Change:
    """One accepted change of one service, applied completely or not at all."""

    position: Position
    service: str
    rows: tuple[Row, ...] = ()  # new or changed
    removed: tuple[str, ...] = ()  # uids of backends that were removed
    deleted: bool = False  # the service itself was deleted
    complete: bool = False  # `rows` are all there are, as in a service's first change at a node


@dataclass(frozen=True, slots=True)
class Delta:
    """What follows `base` in one region's log, less what the subscriber does not hold.

    It applies to a subscriber whose position is `base` exactly, and takes it to `position`.
    """

    region: str
    base: Position
    position: Position
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All backends of the services that a subscriber holds, as of `position`.

    It applies whatever the subscriber's position is, unless that is later. `services` names
    each service that it is to hold of this region, one with no backend included.
    """

    region: str
    position: Position
    services: Mapping[str, Mapping[str, Row]] = field(default_factory=dict)


Update = Delta | Snapshot
