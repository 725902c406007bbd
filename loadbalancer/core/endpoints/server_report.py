"""A source's report of one server, and the precedence of sources; times in nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from loadbalancer.core.balancing.model import UNKNOWN

Address = tuple[str, int]


class Health(IntEnum):
    """The health of a server as a source reports it; a greater value is worse."""

    PASSING = 0
    WARNING = 1
    CRITICAL = 2
    MAINTENANCE = 3
    GONE = 4  # was reported before, but is missing from a later complete list

    @property
    def is_healthy(self) -> bool:
        """Whether a server with this health may get requests."""
        return self <= Health.WARNING


@dataclass(frozen=True, slots=True)
class Source:
    """A source of the endpoint list.

    Attributes:
        name: identifies the source.
        rank: among the sources with a fresh report, the one of highest rank decides.
        fresh_ns: how long a report stays fresh; 0 if it does so until the next one.
        is_authoritative: whether its drains and removals are orders, which are carried out at once.
    """

    name: str
    rank: int
    fresh_ns: int = 0
    is_authoritative: bool = False


@dataclass(frozen=True, slots=True)
class ServerReport:
    """One source's report of one server.

    Attributes:
        uid: the source's id of the server.
        host: the host of its address.
        port: the port of its address.
        zone: the name of its zone, "" if not reported.
        health: its reported health.
        weight: its present load balancing weight.
        boot: the start time of its process, ns; 0 if not reported.
        cell: the number of its cell, UNKNOWN if not reported.
        kind: the number of its kind, 0 if not reported.
    """

    uid: str
    host: str
    port: int
    zone: str = ""
    health: Health = Health.PASSING
    weight: float = 1.0
    boot: int = 0
    cell: int = UNKNOWN
    kind: int = 0

    @property
    def address(self) -> Address:
        """The address at which the server listens."""
        return self.host, self.port
