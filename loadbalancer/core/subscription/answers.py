"""A control machine's answers to a subscriber."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from loadbalancer.core.assignment.model import Update


class Refusal(Enum):
    """Why a subscription can't be used; subscribing again in the same way is of no use."""

    UNKNOWN_NODE = "unknown node"
    UNKNOWN_REGION = "unknown region"
    INVALID_POSITION = "nonsense position"
    TOO_MANY_SERVICES = "too many services"


@dataclass(frozen=True, slots=True)
class SendUpdate:
    """An update to apply now, of about `size` bytes."""

    update: Update
    size: int


@dataclass(frozen=True, slots=True)
class Wait:
    """There is nothing to send yet: a long poll, until `on_change` or another event names the node.

    Then, and at the time `until_ns` where that is not None, `Publisher.subscribe` is called again.
    """

    until_ns: int | None = None


@dataclass(frozen=True, slots=True)
class Redirect:
    """The subscriber is to poll another machine."""

    machine: str


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """The subscriber is to poll again after `delay_ns`."""

    delay_ns: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The subscription can't be used."""

    reason: Refusal


Answer = SendUpdate | Wait | Redirect | RetryAfter | Refused
