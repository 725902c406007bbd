"""Timeouts and pauses of polls of the endpoint list.

Where discovery is polled, this node must have a change at most MAX_NOTIFICATION_NS after
discovery had it and could be reached. The worst case is a watch that becomes silent as it
begins, while the list changes. From that moment until this node has the change:

    HOLD_NS + HOLD_MARGIN_NS   the watch is given up                                     3.5 s
    an answer at once          what has changed since, polled without a wait             2 s
                               (EXPECTED_ANSWER_NS)                            together  5.5 s

The other case is a service that returns just after a call has begun. A call that is not accepted
is given up after CONNECT_TIMEOUT_NS, one that is not answered after ANSWER_TIMEOUT_NS:

    ANSWER_TIMEOUT_NS          the call is given up                                      3.5 s
    MAX_PAUSE_NS               until the next one                                        0.5 s
    an answer at once          EXPECTED_ANSWER_NS                                        2 s
                               together MAX_NOTIFICATION_NS                              6.0 s

ANSWER_TIMEOUT_NS is longer than EXPECTED_ANSWER_NS for a service with too many callers: it rejects
a call that has waited a few seconds, and calls given up sooner would keep it busy with answers
that nobody reads. The load: a node's watch ends every HOLD_NS, with an answer without a line
where nothing has changed. While the service is down each node calls once in MIN_PAUSE_NS to
MAX_PAUSE_NS where connections are refused, and once in CONNECT_TIMEOUT_NS or more where they
time out. `poll_backoff.py` has what differs after consecutive failures, and for a node without a
list.

Where lists are pushed, the agent's state counts from the moment that the agent has it, and an
agent on the node's own machine answers at no cost: there every span is a part of the drain
grace period, so that this node has the agent's change before the grace period ends, even where a
call had begun just before the agent could be reached.
"""

from __future__ import annotations

from typing import NamedTuple

from loadbalancer.core.balancing.model import MS, SECOND, Settings

MAX_NOTIFICATION_NS = 6 * SECOND
HOLD_NS = 2 * SECOND
HOLD_MARGIN_NS = 1500 * MS
CONNECT_TIMEOUT_NS = SECOND
ANSWER_TIMEOUT_NS = 3500 * MS
EXPECTED_ANSWER_NS = 2 * SECOND
MIN_PAUSE_NS = 200 * MS
MAX_PAUSE_NS = 500 * MS
MIN_SPAN_NS = 10 * MS  # of any span, where the grace period is very short


class PollTimings(NamedTuple):
    """Spans in nanoseconds."""

    hold: int  # how long a watch may wait for a change
    hold_margin: int  # beyond it, until the watch is given up as silent
    connect_timeout: int
    answer_timeout: int  # for an answer that is due at once
    min_pause: int  # between a failed call and the next one
    max_pause: int


POLLED = PollTimings(
    HOLD_NS, HOLD_MARGIN_NS, CONNECT_TIMEOUT_NS, ANSWER_TIMEOUT_NS, MIN_PAUSE_NS, MAX_PAUSE_NS
)


def poll_timings(settings: Settings) -> PollTimings:
    """The spans for these settings."""
    if settings.poll:
        return POLLED
    grace = settings.drain_grace

    def part(maximum: int, divisor: int) -> int:
        return max(min(maximum, grace // divisor), MIN_SPAN_NS)

    return PollTimings(
        part(HOLD_NS, 2),
        part(HOLD_MARGIN_NS, 8),
        part(CONNECT_TIMEOUT_NS, 8),
        part(ANSWER_TIMEOUT_NS, 4),
        part(MIN_PAUSE_NS, 32),
        part(MAX_PAUSE_NS, 16),
    )
