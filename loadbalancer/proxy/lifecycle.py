"""Whether a process serves, drains or stops: one state, without I/O or a clock.

Readiness checks, the end of each answer's connection, the second address and the signals go
by this state. The checks come from the front: the balancer or DNS in front of the nodes,
which takes a node out of use whose checks fail. Times are integer nanoseconds of one monotonic
clock, given with each call.
"""

from __future__ import annotations

from typing import NamedTuple

from loadbalancer.core.balancing.model import MS

DRAIN_TICK_NS = 50 * MS  # between two looks at the idle connections while a process drains

# A drain, from the call that begins it.
EMPTY_BY_NS = 1600 * MS  # what is used more than 2 s later could have a new request at 4 s
UNCHECKED_FROM_NS = 600 * MS  # connections are closed from here on if the front checks nothing
# ... and if it does, from so long after its first check that failed: connections go on coming
# for 0.2 s after that.
SETTLE_NS = 300 * MS

# A process that has handed over, from the time at which its successor accepts.
RELIEVED_FROM_NS = 200 * MS
RELIEVED_BY_NS = 2000 * MS


class CloseWindow(NamedTuple):
    """The time over which a process closes its idle connections."""

    begin: int
    end: int


class Lifecycle:
    """Active, standby, relieved by a successor, or stopping, which alone is for good.

    `has_usable_list`: a list with an endpoint to send to has come once, or a complete one
    without. It stays set: a node that loses its endpoints later rejects requests itself, with a
    Retry-After. Were it not ready then, the front would take every node out at once, and
    clients would reach none.
    """

    __slots__ = (
        "_first_failed_check_at", "_relieved_at", "_standby_at", "has_usable_list", "serving",
        "stopping",
    )  # fmt: skip

    def __init__(self) -> None:
        self.serving = False  # listening
        self.has_usable_list = False
        self.stopping = False
        # Since when, 0 for not.
        self._standby_at = 0
        self._relieved_at = 0
        self._first_failed_check_at = 0  # the first readiness check that failed in this drain

    @property
    def standby(self) -> bool:
        """Whether clients are sent away, by an operator's call."""
        return self._standby_at != 0

    @property
    def handed_over(self) -> bool:
        """Whether a successor serves the clients' address."""
        return self._relieved_at != 0

    @property
    def can_serve(self) -> bool:
        """Whether a request would be served; what the second address reports."""
        return self.serving and self.has_usable_list and not self.stopping

    @property
    def closes_after_response(self) -> bool:
        """Whether each answer ends its connection."""
        return self.stopping or self.standby or self.handed_over

    def on_successor_accepting(self, now: int) -> None:
        """A successor accepts from now on."""
        self._relieved_at = now

    def on_successor_disconnected(self) -> None:
        """The successor has gone."""
        self._relieved_at = 0

    def begin_standby(self, now: int) -> None:
        """Send clients away; a second call changes nothing, so that it puts nothing off."""
        if not self.standby:
            self._standby_at = now
            self._first_failed_check_at = 0

    def end_standby(self) -> None:
        """Take clients again; a process that stops takes none all the same."""
        self._standby_at = 0

    def answer_readiness_check(self, now: int) -> bool:
        """The answer to a readiness check of the front; the first that fails is noted.

        A relieved process answers for its successor, as both are one node. Without a list
        the front has other nodes to send clients to, who would be rejected here.
        """
        if not self.standby and (self.handed_over or not self.stopping):
            return self.has_usable_list
        self._first_failed_check_at = self._first_failed_check_at or now
        return False

    def idle_close_count(self, now: int, idle: int) -> int:
        """How many of so many idle connections to close in this tick.

        They are spread over the time that is left, and all are closed once it is over: each
        close may cross a request that its client then has to send again.
        """
        window = self._close_window()
        if window is None:
            return idle if self.stopping else 0
        if now >= window.end:
            return idle
        if now < window.begin:
            return 0
        ticks = max((window.end - now) // DRAIN_TICK_NS, 1)
        return -(-idle // ticks)  # rounded up

    def _close_window(self) -> CloseWindow | None:
        if self.standby:
            begin = self._standby_at + UNCHECKED_FROM_NS
            if self._first_failed_check_at:
                begin = self._first_failed_check_at + SETTLE_NS
            return CloseWindow(begin, self._standby_at + EMPTY_BY_NS)
        if self.handed_over:
            at = self._relieved_at
            return CloseWindow(at + RELIEVED_FROM_NS, at + RELIEVED_BY_NS)
        return None
