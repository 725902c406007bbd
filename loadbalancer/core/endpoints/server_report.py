"""What a source reports of one server, and how much its reports count; times in nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

Address = tuple[str, int]


class Health(IntEnum):
    """The state of a server as a source reports it; the greater, the worse."""

    PASSING = 0
    WARNING = 1
    CRITICAL = 2
    MAINTENANCE = 3
    GONE = 4  # reported before, and missing from a complete list since

    @property
    def is_healthy(self) -> bool:
        """Whether a server in this state may take requests."""
        return self <= Health.WARNING


@dataclass(frozen=True, slots=True)
class Source:
    """A source of the endpoint list.

    Attributes:
        name: of the source.
        rank: of the sources with a fresh report, the one of highest rank decides.
        fresh_ns: how long a report counts as fresh; 0: until the next one.
        is_authoritative: its drains and removals are orders, carried out at once.
    """

    name: str
    rank: int
    fresh_ns: int = 0
    is_authoritative: bool = False


@dataclass(frozen=True, slots=True)
class ServerReport:
    """One server as one source reports it.

    Attributes:
        uid: the source's id of the server.
        host: of its address.
        port: of its address.
        zone: its zone's name, "" where not reported.
        health: its state.
        weight: its present one.
        boot: the start of its process, ns; 0 where not reported.
        cell: 0 where not reported.
        kind: 0 where not reported.
    """

    uid: str
    host: str
    port: int
    zone: str = ""
    health: Health = Health.PASSING
    weight: float = 1.0
    boot: int = 0
    cell: int = 0
    kind: int = 0

    @property
    def address(self) -> Address:
        """Where the server listens."""
        return self.host, self.port
