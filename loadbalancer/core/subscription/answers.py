"""The answers of a control machine to a subscriber."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from loadbalancer.core.assignment.model import Update


class Refusal(Enum):
    """Why a subscription is invalid; repeating it unchanged would fail again."""

    UNKNOWN_NODE = "unknown node"
    UNKNOWN_REGION = "unknown region"
    INVALID_POSITION = "nonsense position"
    TOO_MANY_SERVICES = "too many services"


@dataclass(frozen=True, slots=True)
class SendUpdate:
    """An update for the subscriber to apply, of about `size` bytes."""

    update: Update
    size: int


@dataclass(frozen=True, slots=True)
class Wait:
    """There is nothing to send yet, so the poll stays open (a long poll).

    `Publisher.subscribe` is to be called again when an event of the publisher, such as `on_change`,
    returns the node, and at the time `until_ns` unless that is None.
    """

    until_ns: int | None = None


@dataclass(frozen=True, slots=True)
class Redirect:
    """The subscriber has to poll another control machine."""

    machine: str


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """The subscriber has to poll again after a delay."""

    delay_ns: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The subscription is invalid."""

    reason: Refusal


Answer = SendUpdate | Wait | Redirect | RetryAfter | Refused
