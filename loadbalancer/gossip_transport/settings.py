"""What deploy/fleet.toml says, and the platform's terms where there is no such file."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FleetFile:
    """`datagram`: bytes; `messages`: a second; `slots`: requests that every server takes at once;
    `readers`: nodes that read the list for all, 0 where each does for itself."""

    tier: str = "nodes"
    datagram: int = 256
    messages: int = 20
    slots: int = 15
    readers: int = 0
