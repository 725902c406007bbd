"""The contents of deploy/fleet.toml. The defaults apply if there is no such file."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FleetFile:
    """The settings that all nodes of a fleet share.

    Attributes:
        name: of the fleet; nodes ignore messages of other fleets.
        datagram: maximum size of a message in bytes.
        messages: messages per second that one node may send on average.
        slots: concurrent requests to one server, from all nodes together.
        readers: number of nodes that poll the list service for all; 0 if every node polls it.
    """

    name: str = "nodes"
    datagram: int = 256
    messages: int = 20
    slots: int = 15
    readers: int = 0
