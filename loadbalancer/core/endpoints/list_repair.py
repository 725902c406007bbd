"""Requests pieces from other nodes when a known later version of the list does not arrive."""

from __future__ import annotations

from collections import Counter
from random import Random

from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.endpoints.delta_sender import MAX_REQUESTED_PIECES, DeltaSender
from loadbalancer.core.endpoints.list_pieces import PieceAssembler, PieceRequest
from loadbalancer.core.endpoints.list_readers import ListReaders
from loadbalancer.core.endpoints.list_versions import NO_VERSION, ListVersion
from loadbalancer.core.gossip.membership import Membership
from loadbalancer.core.gossip.messages import MessageKind, Outgoing

# Missing pieces are requested once no new piece has arrived for REQUEST_AFTER_NS. After GIVE_UP_NS
# without a new piece, it is assumed that no node has the version.
REQUEST_AFTER_NS = 200 * MS
GIVE_UP_NS = 5 * SECOND
ARRIVAL_NS = 2 * SECOND  # how long a node waits for a known later version before it may poll itself
# A request goes to a node drawn from this number of random nodes and one reader.
RANDOM_CANDIDATES = 3


class ListRepair:
    """Detects that this node lacks a version that a reader has, and requests it."""

    def __init__(
        self,
        members: Membership,
        readers: ListReaders,
        sender: DeltaSender,
        assembler: PieceAssembler,
        random: Random,
        counters: Counter[str],
        now: int,
    ) -> None:
        self._members = members
        self._readers = readers
        self._sender = sender
        self._assembler = assembler
        self._random = random
        self._counters = counters
        self._behind_since: int | None = None  # since when a later version has been known
        self._last_piece_at = now

    def on_piece(self, now: int) -> None:
        """A new and valid piece has arrived."""
        self._last_piece_at = now

    def reset(self) -> None:
        """Stop waiting for a later version."""
        self._behind_since = None

    def may_arrive(self, now: int) -> bool:
        """Whether a later version is known and may still arrive without a poll."""
        return self._behind_since is not None and now - self._behind_since < ARRIVAL_NS

    def requests(self, now: int, version: ListVersion, need_full_list: bool) -> list[Outgoing]:
        """The request to send now, if any, where this node has `version` of the list.

        With `need_full_list` it requests all rows instead of the changes since `version`.
        """
        latest = self._readers.latest_version()
        if latest <= version:
            self.reset()
            return []
        if self._behind_since is None:
            self._behind_since = now
        waited_ns = now - max(self._behind_since, self._last_piece_at)
        if waited_ns > GIVE_UP_NS:
            self._counters["versions that nobody has"] += 1
            self._readers.distrust(now, latest)
            self.reset()
        if not REQUEST_AFTER_NS <= waited_ns <= GIVE_UP_NS or not self._sender.take_send_token(now):
            return []
        request = self._piece_request(latest, NO_VERSION if need_full_list else version)
        # Mostly nodes that are not readers, as the few readers would get the requests of all nodes.
        reader = self._random.choice(self._readers.readers_with(latest))
        candidates = [*self._members.sample(RANDOM_CANDIDATES), reader]
        self._counters["asked for what is missing"] += 1
        message = self._members.message(MessageKind.WANT, digest=request.numbers())
        return [Outgoing(self._random.choice(candidates), message)]

    def _piece_request(self, latest: ListVersion, version: ListVersion) -> PieceRequest:
        """A request with this node's version and the missing pieces of the latest delta."""
        partial = self._assembler.latest_partial()
        if partial is None or partial.first.target < latest:
            return PieceRequest(version)
        missing = partial.missing()
        numbers = self._random.sample(missing, min(len(missing), MAX_REQUESTED_PIECES))
        return PieceRequest(version, partial.first.delta_checksum, tuple(numbers))
