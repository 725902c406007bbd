"""The subscribers of one control machine, indexed by node and by service."""

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
    """The state of one node's subscription to one region's log."""

    services: frozenset[str] = frozenset()
    position: Position = START  # of the last update that this machine sent
    sent: frozenset[str] = frozenset()  # services that are current at the node after that update
    waiting: bool = False  # whether the node's poll waits for a change


class Subscribers:
    """The subscribers by node and region, with an index by service.

    The index lists the nodes of a service in the order in which they subscribed to it.
    """

    def __init__(self) -> None:
        self._subscribers: dict[SubscriberKey, Subscriber] = {}
        self._by_service: dict[tuple[str, str], dict[str, None]] = {}  # region, service: nodes

    def __len__(self) -> int:
        """Return the number of subscribers."""
        return len(self._subscribers)

    def __iter__(self) -> Iterator[SubscriberKey]:
        """Iterate over the keys of all subscribers."""
        return iter(self._subscribers)

    def get(self, node: str, region: str) -> Subscriber | None:
        """Return a subscriber, or None if it has not subscribed at this machine."""
        return self._subscribers.get(SubscriberKey(node, region))

    def is_waiting(self, node: str, region: str) -> bool:
        """Return whether the node has subscribed, and its poll waits for a change."""
        subscriber = self._subscribers.get(SubscriberKey(node, region))
        return subscriber is not None and subscriber.waiting

    def waiting_for_service(self, region: str, service: str) -> tuple[str, ...]:
        """Return the waiting nodes that subscribe to a service."""
        nodes = self._by_service.get((region, service), ())
        return tuple(
            node for node in nodes if self._subscribers[SubscriberKey(node, region)].waiting
        )

    def waiting_for_region(self, region: str) -> tuple[str, ...]:
        """Return the waiting nodes that subscribe to a region's log."""
        return tuple(
            node
            for (node, its_region), subscriber in self._subscribers.items()
            if its_region == region and subscriber.waiting
        )

    def update(self, node: str, region: str, services: frozenset[str]) -> Subscriber:
        """Store a subscription that is about to be answered, and return its state."""
        subscriber = self._subscribers.setdefault(SubscriberKey(node, region), Subscriber())
        for name in services - subscriber.services:
            self._by_service.setdefault((region, name), {})[node] = None
        self._remove_from_index(node, region, subscriber.services - services)
        subscriber.services = services
        subscriber.waiting = False
        return subscriber

    def remove(self, node: str, region: str) -> None:
        """Remove a subscriber, which must exist."""
        subscriber = self._subscribers.pop(SubscriberKey(node, region))
        self._remove_from_index(node, region, subscriber.services)

    def _remove_from_index(self, node: str, region: str, services: frozenset[str]) -> None:
        for name in services:
            nodes = self._by_service[region, name]
            nodes.pop(node, None)
            if not nodes:
                del self._by_service[region, name]
