"""Messages between control machines apart from the replicated log's, and the codec of them all."""

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
    """Requests a complete presence update, because an incremental one was missed."""


@dataclass(frozen=True, slots=True)
class NodeReport:
    """All services that a node serves, as it reported them to the machine that it polls."""

    node: str
    serving: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NodeReports:
    """A batch of nodes' reports."""

    reports: tuple[NodeReport, ...]


# The order is part of the wire format: a message begins with the index of its type in this tuple.
MESSAGE_TYPES: tuple[type, ...] = (
    Hello, PresenceUpdate, PresenceRequest, NodeReports, *typing.get_args(Message), ReleaseGrant,
)  # fmt: skip


def message_codec() -> Codec:
    """Return the codec for streams between control machines."""
    return Codec(MESSAGE_TYPES)
