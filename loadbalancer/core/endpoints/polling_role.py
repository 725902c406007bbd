"""Decides whether this node polls the list service, and maintains its reader record.

Times are in nanoseconds.
"""

from __future__ import annotations

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.endpoints.list_readers import ListReaders
from loadbalancer.core.endpoints.list_versions import ListVersion
from loadbalancer.core.gossip.membership import Membership
from loadbalancer.core.gossip.messages import ReaderState

ANNOUNCE_INTERVAL_NS = SECOND // 2  # minimum time between two records that announce answers
POLLING_RENEWAL_NS = SECOND  # time between two records while the list service has not answered
FIRST_CALL_NS = 10 * SECOND  # how long a first call may continue once other nodes are readers


class PollingRole:
    """This node's role as a list reader, which polls the list service for the fleet."""

    def __init__(self, members: Membership, readers: ListReaders, now: int) -> None:
        self._members = members
        self._readers = readers
        self.is_polling = False  # whether this node polls the list service
        self.record_changed = False  # whether its record is still to be disseminated
        self._polling_since = now
        self._has_unannounced_answer = False

    def on_answer(self, now: int, version: ListVersion) -> None:
        """The list service has answered, and this node now has `version`."""
        self._has_unannounced_answer = True  # until `update` announces it
        own = self._readers.records.get(self._members.me)
        if own is None or own.record.state != ReaderState.READ:
            self._announce(now, ReaderState.READ, version)

    def on_failure(self, now: int, older: bool, version: ListVersion) -> None:
        """A call has failed, or returned an `older` version, which does not count as a failure."""
        if self.is_polling:
            state = ReaderState.POLLING if older else ReaderState.FAILED
            self._announce(now, state, version)

    def _announce(self, now: int, state: ReaderState, version: ListVersion) -> None:
        self._has_unannounced_answer = False
        self._readers.announce(now, self._members.incarnation, state, version)
        self.record_changed = True

    def update(self, now: int, version: ListVersion, defer: bool, must_poll: bool) -> None:
        """Decide whether this node polls from now on, and announce its state.

        Args:
            now: ns.
            version: the version that this node has.
            defer: do not begin to poll, as other nodes may still send the list.
            must_poll: poll in any case, as this node needs the answer itself.
        """
        members, readers = self._members, self._readers
        own = readers.records.get(members.me)
        record_age = now if own is None else now - own.written_at
        announced_polling = own is not None and own.record.state == ReaderState.POLLING
        is_chosen = readers.is_chosen(now, members.is_alive, self.is_polling)
        # A call in progress continues, as the service has already spent most of its cost.
        call_in_progress = (
            self.is_polling and announced_polling and now - self._polling_since < FIRST_CALL_NS
        )
        is_deferred = defer and not self.is_polling
        should_poll = (
            (is_chosen and not is_deferred)
            or call_in_progress
            or members.receives_no_messages(now)
            or must_poll
        )
        if should_poll and not self.is_polling:
            self._polling_since = now
            self._announce(now, ReaderState.POLLING, version)
        elif should_poll and announced_polling and record_age >= POLLING_RENEWAL_NS:
            self._announce(now, ReaderState.POLLING, version)
        elif self._has_unannounced_answer and record_age >= ANNOUNCE_INTERVAL_NS:
            self._announce(now, ReaderState.READ, version)
        self.is_polling = should_poll

    def update_disconnected(self, now: int) -> None:
        """Without a connection to the gossip: poll once it has received nothing for a while."""
        self.is_polling = self._members.receives_no_messages(now)
