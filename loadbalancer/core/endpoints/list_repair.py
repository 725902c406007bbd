"""Asks other nodes for a version of the list that is known of and does not arrive."""

from __future__ import annotations

from collections import Counter
from random import Random

from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.endpoints.delta_sender import MAX_REQUESTED, DeltaSender
from loadbalancer.core.endpoints.list_pieces import PieceAssembler
from loadbalancer.core.endpoints.list_readers import ListReaders
from loadbalancer.core.endpoints.list_versions import NO_VERSION, ListVersion
from loadbalancer.core.gossip.membership import Membership
from loadbalancer.core.gossip.messages import Kind, Outgoing

REQUEST_AFTER_NS = 200 * MS  # without a piece, until what is missing is asked for
GIVE_UP_NS = 5 * SECOND  # without a piece of a version that is named: nobody has it
ARRIVAL_NS = 2 * SECOND  # for pieces to arrive at a node that is to read, while others have them
OTHER_CANDIDATES = 3  # nodes asked as often as a reader is, each


class ListRepair:
    """Whether this node lacks a version that a reader has, and what it asks for."""

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
        self._behind_since: int | None = None  # a later version is known of
        self._last_piece_at = now

    def on_piece(self, now: int) -> None:
        """A usable piece has arrived."""
        self._last_piece_at = now

    def reset(self) -> None:
        """There is nothing to ask for."""
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
        wanted = self._wanted(latest, NO_VERSION if need_full_list else version)
        # Mostly other nodes than readers, which are few: they would be asked by all.
        reader = self._random.choice(self._readers.nodes_with(latest))
        candidates = [*self._members.sample(OTHER_CANDIDATES), reader]
        self._counters["asked for what is missing"] += 1
        message = self._members.message(Kind.WANT, digest=wanted)
        return [Outgoing(self._random.choice(candidates), message)]

    def _wanted(self, latest: ListVersion, version: ListVersion) -> tuple[int, ...]:
        """The numbers of a WANT: our version, and missing pieces of a delta to the latest one."""
        partial = self._assembler.latest()
        if partial is None or partial.first.target < latest:
            return (*version, 0)
        missing = partial.missing()
        numbers = self._random.sample(missing, min(len(missing), MAX_REQUESTED))
        return (*version, partial.first.delta_checksum, *numbers)
