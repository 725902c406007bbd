"""Whether this node polls the list service for the fleet; maintains its own reader record.

Times are in nanoseconds.
"""

from __future__ import annotations

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.endpoints.list_readers import ListReaders
from loadbalancer.core.endpoints.list_versions import ListVersion
from loadbalancer.core.gossip.membership import Membership
from loadbalancer.core.gossip.messages import ReaderState

ANNOUNCE_INTERVAL_NS = SECOND // 2  # at least, between records of answers of the list service
SIGN_INTERVAL_NS = SECOND  # between records while the list service has not answered yet
FIRST_ANSWER_NS = 10 * SECOND  # how long a first call may go on after others have become readers


class PollingRole:
    """This node as a reader of the list."""

    def __init__(self, members: Membership, readers: ListReaders, now: int) -> None:
        self._members = members
        self._readers = readers
        self.is_polling = False  # this node polls the list service
        self.record_changed = False  # its own record is to be disseminated
        self._polls_since = now
        self._read_unannounced = False

    def on_answer(self, now: int, version: ListVersion) -> None:
        """The list service has answered this node, which now has `version`."""
        self._read_unannounced = True  # until `update` announces it
        own = self._readers.records.get(self._members.me)
        if own is None or own.record.state != ReaderState.READ:
            self._announce(now, ReaderState.READ, version)

    def on_failure(self, now: int, older: bool, version: ListVersion) -> None:
        """A call has failed, or answered with an `older` version, which alone is no failure."""
        if self.is_polling:
            state = ReaderState.POLLING if older else ReaderState.FAILED
            self._announce(now, state, version)

    def _announce(self, now: int, state: ReaderState, version: ListVersion) -> None:
        self._read_unannounced = False
        self._readers.announce(now, self._members.incarnation, state, version)
        self.record_changed = True

    def update(self, now: int, version: ListVersion, defer: bool, must_poll: bool) -> None:
        """Decide whether this node polls from now on, and announce it.

        Args:
            now: ns.
            version: the version that this node has.
            defer: other nodes may still send the list, so this node does not begin to poll.
            must_poll: this node needs an answer to its own poll.
        """
        members, readers = self._members, self._readers
        own = readers.records.get(members.me)
        record_age = now if own is None else now - own.written_at
        polling = own is not None and own.record.state == ReaderState.POLLING
        chosen = readers.is_chosen(now, members.is_alive, self.is_polling)
        # A call that has begun goes on: most of its cost to the service is spent already.
        begun = self.is_polling and polling and now - self._polls_since < FIRST_ANSWER_NS
        deferred = defer and not self.is_polling
        should_poll = (
            (chosen and not deferred) or begun or members.receives_no_messages(now) or must_poll
        )
        if should_poll and not self.is_polling:
            self._polls_since = now
            self._announce(now, ReaderState.POLLING, version)
        elif should_poll and polling and record_age >= SIGN_INTERVAL_NS:
            self._announce(now, ReaderState.POLLING, version)
        elif self._read_unannounced and record_age >= ANNOUNCE_INTERVAL_NS:
            self._announce(now, ReaderState.READ, version)
        self.is_polling = should_poll

    def update_disconnected(self, now: int) -> None:
        """Without a connection to the gossip: poll once no messages have come for a while."""
        self.is_polling = self._members.receives_no_messages(now)
