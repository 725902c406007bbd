"""Whether a process serves, drains or stops: a state machine without I/O or a clock.

It decides the answers to readiness checks, whether a response closes its connection, and when
idle connections are closed. Readiness checks come from the load balancer or DNS in front of the
nodes (`front` below), which sends no clients to a node that fails them. Times are integer
nanoseconds of one monotonic clock, passed with each call.
"""

from __future__ import annotations

from typing import NamedTuple

from loadbalancer.core.balancing.model import MS

DRAIN_TICK_NS = 50 * MS  # interval at which a draining process closes idle connections

# Times after the call that begins a drain.
# All idle connections are closed by then: one in use more than 2 s after the call could still
# have a new request at 4 s.
DRAIN_CLOSE_END_NS = 1600 * MS
# Closing begins then if the front has sent no readiness check.
UNCHECKED_CLOSE_BEGIN_NS = 600 * MS
# If it has, closing begins this long after the first check that failed: the front goes on
# sending new connections for 0.2 s after that check.
FAILED_CHECK_DELAY_NS = 300 * MS

# Times after a successor has begun to accept, for the process that has handed over to it.
HANDOVER_CLOSE_BEGIN_NS = 200 * MS
HANDOVER_CLOSE_END_NS = 2000 * MS


class CloseWindow(NamedTuple):
    """The period over which a process closes its idle connections."""

    begin: int
    end: int


class Lifecycle:
    """The state of one process: active, in standby, handed over to a successor, or stopping.

    Standby means that an operator drains the process. All but stopping can be reversed.

    `has_usable_list`: an endpoint list has arrived that has an endpoint to send to, or that is
    complete even if empty. It is never reset. A node that loses its endpoints later rejects
    requests itself, with a Retry-After: if all nodes failed their readiness checks at once
    instead, the front would take all of them out and clients could reach none.
    """

    __slots__ = (
        "_first_failed_check_at", "_handed_over_at", "_standby_at", "has_usable_list", "serving",
        "stopping",
    )  # fmt: skip

    def __init__(self) -> None:
        self.serving = False  # listening
        self.has_usable_list = False
        self.stopping = False
        # When each state or event began, 0 if it does not apply.
        self._standby_at = 0
        self._handed_over_at = 0
        self._first_failed_check_at = 0  # in the current drain

    @property
    def standby(self) -> bool:
        """Whether an operator has begun a drain of this node."""
        return self._standby_at != 0

    @property
    def handed_over(self) -> bool:
        """Whether a successor accepts the clients of this node."""
        return self._handed_over_at != 0

    @property
    def can_serve(self) -> bool:
        """Whether a request would be served; the admin address reports it."""
        return self.serving and self.has_usable_list and not self.stopping

    @property
    def closes_after_response(self) -> bool:
        """Whether a client's connection is closed after its response."""
        return self.stopping or self.standby or self.handed_over

    def on_successor_accepting(self, now: int) -> None:
        """A successor has begun to accept clients."""
        self._handed_over_at = now

    def on_successor_disconnected(self) -> None:
        """The successor has ended or its connection was lost: this process serves alone again."""
        self._handed_over_at = 0

    def begin_standby(self, now: int) -> None:
        """Begin a drain. A second call doesn't restart it, which would delay its end."""
        if not self.standby:
            self._standby_at = now
            self._first_failed_check_at = 0

    def end_standby(self) -> None:
        """End a drain. A process that is stopping still accepts no clients."""
        self._standby_at = 0

    def answer_readiness_check(self, now: int) -> bool:
        """Answer a readiness check of the front, and record the first failure in a drain.

        A process that has handed over answers for its successor, as the two are one node.
        Without a usable list the check fails: clients would be rejected here, and the front has
        other nodes to send them to.
        """
        if not self.standby and (self.handed_over or not self.stopping):
            return self.has_usable_list
        self._first_failed_check_at = self._first_failed_check_at or now
        return False

    def idle_close_count(self, now: int, idle: int) -> int:
        """How many of `idle` connections to close in this tick.

        The closes are spread evenly over the rest of the close window, and all that remain are
        closed at its end. A close may cross a request on the wire, which its client then has to
        retry; spreading the closes spreads these retries.
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
            begin = self._standby_at + UNCHECKED_CLOSE_BEGIN_NS
            if self._first_failed_check_at:
                begin = self._first_failed_check_at + FAILED_CHECK_DELAY_NS
            return CloseWindow(begin, self._standby_at + DRAIN_CLOSE_END_NS)
        if self.handed_over:
            at = self._handed_over_at
            return CloseWindow(at + HANDOVER_CLOSE_BEGIN_NS, at + HANDOVER_CLOSE_END_NS)
        return None
