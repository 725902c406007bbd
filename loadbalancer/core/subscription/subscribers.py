"""The subscribers of one control machine, found by node and by service."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from loadbalancer.core.assignment.model import START, Position


class SubscriberKey(NamedTuple):
    """One node's subscription to one region's log."""

    node: str
    region: str


@dataclass(slots=True)
class Subscriber:
    """What is known here of one node's subscription to one region's log."""

    services: frozenset[str] = frozenset()
    position: Position = START  # after the last update that was sent from here
    sent: frozenset[str] = frozenset()  # the services that are current there after that
    waiting: bool = False


class Subscribers:
    """Subscribers by node and region, and an index by service.

    The nodes of a service are in the order in which they subscribed to it.
    """

    def __init__(self) -> None:
        self._subscribers: dict[SubscriberKey, Subscriber] = {}
        self._by_service: dict[tuple[str, str], dict[str, None]] = {}  # region, service: nodes

    def __len__(self) -> int:
        """How many there are."""
        return len(self._subscribers)

    def __iter__(self) -> Iterator[SubscriberKey]:
        """Each one's node and region."""
        return iter(self._subscribers)

    def get(self, node: str, region: str) -> Subscriber | None:
        """One subscriber; None where it has not subscribed here."""
        return self._subscribers.get(SubscriberKey(node, region))

    def waiting(self, node: str, region: str) -> bool:
        """Whether this subscriber is here and waits."""
        subscriber = self._subscribers.get(SubscriberKey(node, region))
        return subscriber is not None and subscriber.waiting

    def waiting_for_service(self, region: str, service: str) -> tuple[str, ...]:
        """The waiting nodes that subscribe to a service."""
        nodes = self._by_service.get((region, service), ())
        return tuple(
            node for node in nodes if self._subscribers[SubscriberKey(node, region)].waiting
        )

    def waiting_for_region(self, region: str) -> tuple[str, ...]:
        """The waiting nodes of a region's log."""
        return tuple(
            node
            for (node, where), subscriber in self._subscribers.items()
            if where == region and subscriber.waiting
        )

    def update(self, node: str, region: str, services: frozenset[str]) -> Subscriber:
        """Take note of a subscription to these services, which is to be answered now."""
        subscriber = self._subscribers.setdefault(SubscriberKey(node, region), Subscriber())
        for name in services - subscriber.services:
            self._by_service.setdefault((region, name), {})[node] = None
        self._remove_from_index(node, region, subscriber.services - services)
        subscriber.services = services
        subscriber.waiting = False
        return subscriber

    def remove(self, node: str, region: str) -> None:
        """Forget one subscriber, which is here."""
        subscriber = self._subscribers.pop(SubscriberKey(node, region))
        self._remove_from_index(node, region, subscriber.services)

    def _remove_from_index(self, node: str, region: str, services: frozenset[str]) -> None:
        for name in services:
            nodes = self._by_service[region, name]
            nodes.pop(node, None)
            if not nodes:
                del self._by_service[region, name]
