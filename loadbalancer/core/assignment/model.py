"""Types shared by assignment, the replicated log, subscriptions and the control machine.

Each service has a home region. Only the control machines of that region accept changes of the
service, so each service has a single writer. The accepted changes of a region form one log, ordered
by `Position`. A node subscribes to the logs of all home regions of the services that it holds, and
has one position in each of these logs.

Times are integer nanoseconds, rates are per second, sizes are in bytes.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from loadbalancer.core.errors import ConfigurationError


class InvalidInputError(ConfigurationError, ValueError):
    """An invalid input; the message says where the input is invalid, and which rule it breaks."""


class Position(NamedTuple):
    """A position in one region's log. Positions are ordered, and a log's position never decreases.

    `epoch` is the Raft term, which increases with each new leader of the region. `revision` is the
    log index, which increases by one with each change. It continues across epochs.
    """

    epoch: int
    revision: int


START = Position(0, 0)  # before the first change; a subscriber at this position has no data


@dataclass(frozen=True, slots=True)
class NodeSpec:
    """A registered node, whether alive or not."""

    name: str
    region: str
    zone: str
    capacity: int  # maximum number of services that the node can hold
    rate: float = 0.0  # maximum requests a second; 0 if not stated


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service, and the properties that determine how many nodes hold it."""

    name: str
    region: str  # home region, whose control machines accept the service's changes
    zones: tuple[str, ...]  # zones whose nodes receive the requests for this service
    rate: float  # peak requests a second, over all zones
    backends: int


@dataclass(frozen=True, slots=True)
class MachineSpec:
    """A control machine."""

    name: str
    region: str
    zone: str


class Row(NamedTuple):
    """One backend of a service, in the format of the list service.

    `body` is the JSON object of one target (`uid`, `endpoint`, `az`, `state`, ...), which is passed
    on unchanged. `draining` duplicates what its `state` says, so that `body` need not be parsed.
    """

    uid: str
    body: str
    draining: bool = False


@dataclass(frozen=True, slots=True)
class Change:
    """One change of one service, which is applied completely or not at all."""

    position: Position
    service: str
    rows: tuple[Row, ...] = ()  # new or changed
    removed: tuple[str, ...] = ()  # uids of backends that were removed
    deleted: bool = False  # the service itself was deleted
    complete: bool = False  # `rows` are all rows of the service; earlier ones are replaced


@dataclass(frozen=True, slots=True)
class Delta:
    """The changes after `base` in one region's log, for the services that a subscriber holds.

    A subscriber can apply it only if its position is exactly `base`. Its position is then
    `position`.
    """

    region: str
    base: Position
    position: Position
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All backends of the services that a subscriber holds, as of `position`.

    A subscriber can apply it at any position that is not later. `services` has an entry for each
    service of this region that the subscriber has to hold, including those without backends.
    """

    region: str
    position: Position
    services: Mapping[str, Mapping[str, Row]] = field(default_factory=dict)


Update = Delta | Snapshot
