"""Whether this process serves, sends its clients away, or stops: one state, no I/O, no clock.

Readiness, the end of answers' connections, the second address and the signals all ask
here. Times are integer nanoseconds of one monotonic clock, given with each call.
"""

from __future__ import annotations

from loadbalancer.core.balancing.model import MS

TICK = 50 * MS  # how often idle connections are looked at while clients are sent away
# After the front has had its no, new connections come for 0.2 s more.
SETTLE = 300 * MS
UNASKED = 600 * MS  # the same after the call, where no front asks
# What is used later than 2 s after the call would still hold a fresh request at 4 s.
EMPTY_BY = 1600 * MS
# A process that has handed over: the same, while its successor takes new connections.
RELIEVED_FROM = 200 * MS
RELIEVED_BY = 2000 * MS


class Service:
    """Active, standby, relieved by a successor, or stopping, which alone is for good."""

    __slots__ = ("_no_at", "_relieved_at", "_standby_at", "listed", "serving", "stopping")

    def __init__(self) -> None:
        self.serving = False  # listening
        # A list with a server to send to has come once, or one by which there is none. For
        # good: a node that loses its servers later answers for itself, with a Retry-After,
        # and a front that took every node out at once would leave its clients nobody.
        self.listed = False
        self.stopping = False
        self._standby_at = 0
        self._no_at = 0  # the first no that was given, 0 before
        self._relieved_at = 0

    @property
    def standby(self) -> bool:
        return self._standby_at != 0

    @property
    def can_serve(self) -> bool:
        """What `GET /status` is told."""
        return self.serving and self.listed and not self.stopping

    @property
    def closes(self) -> bool:
        """Whether each answer ends its connection."""
        return self.stopping or self.standby or self.relieved

    @property
    def relieved(self) -> bool:
        """Whether a successor serves the clients' address."""
        return self._relieved_at != 0

    def relieve(self, now: int) -> None:
        self._relieved_at = now

    def take_back(self) -> None:
        """The successor has gone."""
        self._relieved_at = 0

    def begin_standby(self, now: int) -> None:
        """Send clients away. A second call changes nothing, so nothing is put off by it."""
        if not self.standby:
            self._standby_at = now
            self._no_at = 0

    def end_standby(self) -> None:
        """The end of a drain; a process that stops stays away."""
        self._standby_at = 0

    def asked_ready(self, now: int) -> bool:
        """The answer to the front; the first no is remembered."""
        if not self.standby and (self.relieved or not self.stopping):
            # Relieved, the successor serves, and the two are one node. With no list yet
            # the front has others to send clients to, who would get a 503 here.
            return self.listed
        self._no_at = self._no_at or now
        return False

    def to_close(self, now: int, idle: int) -> int:
        """How many of so many idle connections to close in this tick.

        Spread over what is left of the time, for each close may cross a request that
        its client then has to send once more. All once the time is over.
        """
        if self.standby:
            begin = self._no_at + SETTLE if self._no_at else self._standby_at + UNASKED
            end = self._standby_at + EMPTY_BY
        elif self.relieved:
            begin = self._relieved_at + RELIEVED_FROM
            end = self._relieved_at + RELIEVED_BY
        else:
            return idle if self.stopping else 0
        if now >= end:
            return idle
        if now < begin:
            return 0
        ticks = max((end - now) // TICK, 1)
        return -(-idle // ticks)
