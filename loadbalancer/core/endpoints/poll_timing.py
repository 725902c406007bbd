"""Timeouts and pauses for polling the endpoint list.

A node that polls the list service must have a change at most MAX_NOTIFICATION_NS after the service
has it and can be reached. The worst case of a watch is that it becomes silent as it begins, while
the list changes. The time from that moment until this node has the change:

    HOLD_NS + HOLD_MARGIN_NS   until the watch is given up                               3.5 s
    EXPECTED_ANSWER_NS         to poll the changes since then, with an immediate answer  2.0 s
                               in total                                                  5.5 s

The worst case of an outage is that the service returns just after a call has begun. A call that is
not accepted is given up after CONNECT_TIMEOUT_NS, one that is not answered after ANSWER_TIMEOUT_NS:

    ANSWER_TIMEOUT_NS          until the call is given up                                3.5 s
    MAX_PAUSE_NS               until the next call                                       0.5 s
    EXPECTED_ANSWER_NS         until its answer                                          2.0 s
                               in total, as much as MAX_NOTIFICATION_NS                  6.0 s

ANSWER_TIMEOUT_NS is longer than EXPECTED_ANSWER_NS because of overload: a service with too many
callers rejects a call that has waited for a few seconds, and calls given up sooner would keep it
busy with answers that nobody reads.

The load on the service: a node's watch ends after HOLD_NS, with an answer of no lines if nothing
has changed. While the service is down, each node calls once per MIN_PAUSE_NS to MAX_PAUSE_NS if
connections are refused, and at most once per CONNECT_TIMEOUT_NS if they time out. What differs
after consecutive failures, and for a node without a list, is in `poll_backoff.py`.

A node whose list is pushed to an agent polls that agent instead, and the time counts from the
moment that the agent has a change. The agent is on the node's own machine and answers at no cost.
All times are then fractions of the drain grace period, so that this node has a change before the
grace period ends, even if a call had begun just before the agent could be reached.
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
MIN_DURATION_NS = 10 * MS  # lower bound of each time, for a very short grace period


class PollTimings(NamedTuple):
    """Timeouts and pauses, in nanoseconds."""

    hold: int  # how long a watch may wait for a change
    hold_margin: int  # from then until the watch is given up as silent
    connect_timeout: int
    answer_timeout: int  # for an answer that does not wait for a change
    min_pause: int  # between a failed call and the next one
    max_pause: int


POLLED_TIMINGS = PollTimings(
    HOLD_NS, HOLD_MARGIN_NS, CONNECT_TIMEOUT_NS, ANSWER_TIMEOUT_NS, MIN_PAUSE_NS, MAX_PAUSE_NS
)


def poll_timings(settings: Settings) -> PollTimings:
    """The timeouts and pauses for these settings."""
    if settings.poll:
        return POLLED_TIMINGS
    grace = settings.drain_grace

    def fraction(maximum: int, divisor: int) -> int:
        return max(min(maximum, grace // divisor), MIN_DURATION_NS)

    return PollTimings(
        fraction(HOLD_NS, 2),
        fraction(HOLD_MARGIN_NS, 8),
        fraction(CONNECT_TIMEOUT_NS, 8),
        fraction(ANSWER_TIMEOUT_NS, 4),
        fraction(MIN_PAUSE_NS, 32),
        fraction(MAX_PAUSE_NS, 16),
    )
