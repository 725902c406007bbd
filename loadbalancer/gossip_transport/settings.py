"""The contents of deploy/fleet.toml, and the platform's values where there is no such file."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FleetFile:
    """The fleet's terms.

    Attributes:
        name: of the fleet; nodes ignore the messages of another fleet.
        datagram: bytes of a message at most.
        messages: of one node, a second.
        slots: concurrent requests of one server, from all nodes together.
        readers: nodes that read the list for all, 0 where each reads for itself.
    """

    name: str = "nodes"
    datagram: int = 256
    messages: int = 20
    slots: int = 15
    readers: int = 0
