"""What control machines say beside the log's own messages, and the codec of all of it."""

from __future__ import annotations

import typing
from dataclasses import dataclass

from loadbalancer.control.machine.codec import Codec
from loadbalancer.control.machine.stream import Hello
from loadbalancer.core.assignment.presence import PresenceUpdate
from loadbalancer.core.assignment.release import ReleaseGrant
from loadbalancer.core.replicated_log.messages import Message


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
