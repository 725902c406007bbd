"""Decides which datagrams are decoded, by source address and rate.

This limits the cost of a flood: a datagram from an unknown address, or above the rate limits, costs
a dict look-up and a token bucket operation at most.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from loadbalancer.core.gossip.messages import Message
from loadbalancer.core.gossip.token_bucket import TokenBucket
from loadbalancer.gossip_transport.codec import BadMessageError, decode

# Datagrams per second that are decoded from one node. CATCH_UP_MESSAGES and the pieces of the list
# (PIECES_PER_S of `delta_sender`) must fit.
MAX_DATAGRAMS_PER_NODE = 300
MAX_DATAGRAMS = 1500  # datagrams per second that are decoded from all nodes together


class Sender(NamedTuple):
    """A node number, and the rate limit for its datagrams."""

    node: int
    rate: TokenBucket


class DatagramFilter:
    """Accepts messages from the nodes of the fleet, and counts other datagrams by cause."""

    def __init__(
        self,
        addresses: Sequence[tuple[str, int]],
        me: int,
        fleet: int,
        counters: Counter[str],
        now: int,
    ) -> None:
        """Accept datagrams from `addresses` (by node number), except that of node `me`."""
        self._fleet = fleet
        self._counters = counters
        self._total = TokenBucket(MAX_DATAGRAMS, MAX_DATAGRAMS, now)
        self._senders: dict[tuple[str, int], Sender] = {}
        for node, address in enumerate(addresses):
            if node != me:
                rate = TokenBucket(MAX_DATAGRAMS_PER_NODE, MAX_DATAGRAMS_PER_NODE, now)
                self._senders[address] = Sender(node, rate)

    def accept(self, now: int, data: bytes, source: tuple[str, int]) -> Message | None:
        """Decode a datagram; returns None and counts the cause if it is to be ignored."""
        sender = self._senders.get(source)
        if sender is None:
            self._counters["unlisted"] += 1
            return None
        if not (sender.rate.take(now) and self._total.take(now)):
            self._counters["too many"] += 1
            return None
        try:
            message = decode(data, self._fleet)
        except BadMessageError as err:
            self._counters[str(err)] += 1
            return None
        if message is None:
            self._counters["unknown kind"] += 1
            return None
        if message.origin != sender.node:
            # The sender uses the number of another node, or its list of nodes has another order.
            self._counters["misnamed"] += 1
            return None
        self._counters["heard"] += 1
        return message
