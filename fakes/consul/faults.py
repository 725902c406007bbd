"""The faults that a test may give the agent."""

from __future__ import annotations

from typing import Any, NamedTuple


class Faults(NamedTuple):
    """The faults at present; without any, every query is answered as documented."""

    silent: bool = False  # sends no response
    reset: bool = False  # resets the connection
    status: int = 0  # responds with this status
    leaderless: bool = False  # has lost its leader: only stale reads are answered
    token: str = ""  # reads need this token
    empty: bool = False  # lists no rows
    half: bool = False  # lists half of the rows
    body: Any = None  # sends this in place of a response's body
    cut: int | None = None  # ends the connection after so many bytes of a body
    rate: int = 0  # sends so many bytes of a body a second, 0 for no limit
    endless: bool = False  # sends a body that never ends
    contact_ms: Any = 0  # the header X-Consul-LastContact: since the leader was last reached
    rewind: bool = False  # is restored from an old backup: indexes go back
