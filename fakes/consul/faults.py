"""How the agent fails its readers."""

from __future__ import annotations

from typing import Any, NamedTuple


class Faults(NamedTuple):
    """The faults at present; without any, every query is answered as documented."""

    silent: bool = False  # never answers
    reset: bool = False  # resets the connection
    status: int = 0  # answers with this status
    leaderless: bool = False  # has lost its leader: only stale reads are answered
    token: str = ""  # reads need this token
    empty: bool = False  # lists no rows
    half: bool = False  # lists half of the rows
    body: Any = None  # sends this in place of an answer's body
    cut: int | None = None  # ends the connection after so many bytes of a body
    rate: int = 0  # sends so many bytes a second
    endless: bool = False  # sends a body that never ends
    contact_ms: Any = 0  # how long ago it heard from the leader, as the header gives it
    rewind: bool = False  # is restored from an old backup: indexes go back
