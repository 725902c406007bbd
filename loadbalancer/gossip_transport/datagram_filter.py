"""Which datagrams are decoded and passed on: by their source address, and within rates.

Bounds what a flood of datagrams costs: a node that sends too many, or a stranger, takes no more
time than a look-up and a token.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from loadbalancer.core.gossip.messages import Message
from loadbalancer.core.gossip.token_bucket import TokenBucket
from loadbalancer.gossip_transport.codec import BadMessageError, decode

MAX_DATAGRAMS_PER_NODE = 300  # a second of one node: CATCH_UP_MESSAGES and pieces of the list fit
MAX_DATAGRAMS = 1500  # a second decoded in all


class Sender(NamedTuple):
    """A node's number, and how many of its datagrams are decoded."""

    node: int
    rate: TokenBucket


class DatagramFilter:
    """Accepts the messages of the fleet's nodes; the others add to a counter each."""

    def __init__(
        self,
        addresses: Sequence[tuple[str, int]],
        me: int,
        fleet: int,
        counters: Counter[str],
        now: int,
    ) -> None:
        """Accept from the `addresses`, by node number, of the nodes other than `me`."""
        self._fleet = fleet
        self._counters = counters
        self._total = TokenBucket(MAX_DATAGRAMS, MAX_DATAGRAMS, now)
        self._senders: dict[tuple[str, int], Sender] = {}
        for node, address in enumerate(addresses):
            if node != me:
                rate = TokenBucket(MAX_DATAGRAMS_PER_NODE, MAX_DATAGRAMS_PER_NODE, now)
                self._senders[address] = Sender(node, rate)

    def accept(self, now: int, data: bytes, source: tuple[str, int]) -> Message | None:
        """The message of a datagram; None, counted by the cause, for one to ignore."""
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
            # It uses another node's number, or has a list of nodes in another order.
            self._counters["misnamed"] += 1
            return None
        self._counters["heard"] += 1
        return message
