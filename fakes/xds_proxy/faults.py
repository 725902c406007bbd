"""How a scripted proxy breaks the protocol."""

from __future__ import annotations

from typing import NamedTuple


class Faults(NamedTuple):
    """The faults of one proxy; without any it keeps to the protocol."""

    silent: str = ""  # no answer to this type, or to "all"
    nack: str = ""  # rejects this type, or the resource of this name
    stale_nonce: bool = False  # answers with the nonce before the last one, too
    invented_nonce: bool = False  # answers with a nonce that was never sent, too
    unknown_type: bool = False  # subscribes to a type that does not exist
    flood: int = 0  # sends so many requests at once
    stops_reading: bool = False  # reads nothing after the next message

    def rejected(self, kind: str, names: set[str]) -> bool:
        """Whether a response of this type with these resources is rejected."""
        return bool(self.nack) and (self.nack == kind or self.nack in names)

    def unanswered(self, kind: str) -> bool:
        """Whether an accepted response of this type gets no answer."""
        return self.silent in (kind, "all")
