"""Requests missing pieces from other nodes, for a version of the list that does not arrive."""

from __future__ import annotations

from collections import Counter
from random import Random

from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.endpoints.delta_sender import MAX_REQUESTED, DeltaSender
from loadbalancer.core.endpoints.list_pieces import PieceAssembler, PieceRequest
from loadbalancer.core.endpoints.list_readers import ListReaders
from loadbalancer.core.endpoints.list_versions import NO_VERSION, ListVersion
from loadbalancer.core.gossip.membership import Membership
from loadbalancer.core.gossip.messages import MessageKind, Outgoing

REQUEST_AFTER_NS = 200 * MS  # without a new piece, until the missing ones are requested
GIVE_UP_NS = 5 * SECOND  # without a new piece: no node seems to have the version
ARRIVAL_NS = 2 * SECOND  # how long a node waits for a known version before it polls itself
OTHER_CANDIDATES = 3  # random nodes among which, and one reader, a request's target is drawn


class ListRepair:
    """Whether this node lacks a version that a reader has, and what it requests."""

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
        self._behind_since: int | None = None  # since when a later version is known
        self._last_piece_at = now

    def on_piece(self, now: int) -> None:
        """A usable piece has arrived."""
        self._last_piece_at = now

    def reset(self) -> None:
        """Nothing is missing."""
        self._behind_since = None

    def may_arrive(self, now: int) -> bool:
        """Whether a later version may still arrive by itself."""
        return self._behind_since is not None and now - self._behind_since < ARRIVAL_NS

    def requests(self, now: int, version: ListVersion, need_full_list: bool) -> list[Outgoing]:
        """The request to send now, for a node that has `version` of the list."""
        latest = self._readers.latest_version()
        if latest <= version:
            self.reset()
            return []
        if self._behind_since is None:
            self._behind_since = now
        waited = now - max(self._behind_since, self._last_piece_at)
        if waited > GIVE_UP_NS:
            self._counters["versions that nobody has"] += 1
            self._readers.distrust(now, latest)
            self.reset()
        if not REQUEST_AFTER_NS <= waited <= GIVE_UP_NS or not self._sender.may_send(now):
            return []
        request = self._request(latest, NO_VERSION if need_full_list else version)
        # Mostly nodes that are not readers: those are few, and would get all nodes' requests.
        reader = self._random.choice(self._readers.nodes_with(latest))
        candidates = [*self._members.sample(OTHER_CANDIDATES), reader]
        self._counters["asked for what is missing"] += 1
        message = self._members.message(MessageKind.WANT, digest=request.numbers())
        return [Outgoing(self._random.choice(candidates), message)]

    def _request(self, latest: ListVersion, version: ListVersion) -> PieceRequest:
        """This node's version, and missing pieces of the latest delta."""
        partial = self._assembler.latest()
        if partial is None or partial.first.target < latest:
            return PieceRequest(version)
        missing = partial.missing()
        numbers = self._random.sample(missing, min(len(missing), MAX_REQUESTED))
        return PieceRequest(version, partial.first.delta_checksum, tuple(numbers))
