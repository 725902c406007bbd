"""What control machines say beside the log's own messages, and the codec of all of it."""

from __future__ import annotations

import typing
from dataclasses import dataclass

from flinthatch.scale.messages import Message
from flinthatch.scale.presence import PresenceUpdate
from flinthatch.scale.release import ReleaseGrant
from windrelay.scale.codec import Codec
from windrelay.scale.stream import Hello


@dataclass(frozen=True, slots=True)
class PresenceWanted:
    """A presence update was missed: the whole is needed."""


@dataclass(frozen=True, slots=True)
class NodeReport:
    """All the services that a node serves, as it told the machine that it asks."""

    node: str
    serving: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Reports:
    """Reports of some nodes."""

    reports: tuple[NodeReport, ...]


KINDS: tuple[type, ...] = (
    Hello, PresenceUpdate, PresenceWanted, Reports, *typing.get_args(Message), ReleaseGrant,
)  # fmt: skip


def codec() -> Codec:
    """The codec of a stream between control machines."""
    return Codec(KINDS)
