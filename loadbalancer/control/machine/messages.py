"""Messages between control machines beside the replicated log's, and the codec of all of them."""

from __future__ import annotations

import typing
from dataclasses import dataclass

from loadbalancer.control.machine.codec import Codec
from loadbalancer.control.machine.stream import Hello
from loadbalancer.core.assignment.presence import PresenceUpdate
from loadbalancer.core.assignment.release import ReleaseGrant
from loadbalancer.core.replicated_log.messages import Message


@dataclass(frozen=True, slots=True)
class PresenceRequest:
    """A presence update was missed: asks for one that has all nodes present."""


@dataclass(frozen=True, slots=True)
class NodeReport:
    """All the services that a node serves, as it reported to the machine that it polls."""

    node: str
    serving: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NodeReports:
    """Reports of some nodes."""

    reports: tuple[NodeReport, ...]


# The order is part of the wire format: a message begins with its type's number here.
MESSAGE_TYPES: tuple[type, ...] = (
    Hello, PresenceUpdate, PresenceRequest, NodeReports, *typing.get_args(Message), ReleaseGrant,
)  # fmt: skip


def message_codec() -> Codec:
    """The codec of a stream between control machines."""
    return Codec(MESSAGE_TYPES)
