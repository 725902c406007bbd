"""How the list of servers is asked for: how long a call may wait, and how soon the next one comes.

Where discovery is asked, whatever else is allowed, a change counts as told TOLD after discovery
had it and could be reached. The worst case is a watch that falls silent as it begins, with a
change at once. What passes until the change is in hand, all of it counted from that moment:

    HOLD + LATE       the watch is given up                                    3.5 s
    an answer at once what has changed since, asked for with no wait           ANSWER_AIM, 2 s
                                                                       together 5.5 s of TOLD

The other one is a service that returns just after a call has begun. One that nobody takes up
is given up after CONNECT; one that is taken up and not answered, after ANSWER:

    ANSWER            the call is given up                                     3.5 s
    PAUSE_MOST        until the next one                                       0.5 s
    an answer at once                                                          ANSWER_AIM, 2 s
                                                                       together 6.0 s of TOLD

ANSWER is longer than ANSWER_AIM for a service with too many callers: it turns a call away once
that has waited a few seconds, and calls given up sooner would keep it busy with answers that
nobody takes. The load: a node's watch ends every HOLD, with an answer that carries no line
where nothing has changed; while the service is down each node calls once in PAUSE_LEAST to
PAUSE_MOST where it refuses, and once in CONNECT and more where it is silent. What failures in a
row change in this, and what holds for a node without a list, stands in `caller.py`.

Where lists are pushed, the agent's state counts from the moment that it has it, and an agent on
the node's own machine answers at no cost: there every span is a part of the drain's grace, so
that a change the agent has is in hand before the grace is over, even where a call had begun
just before the agent could tell.
"""

from __future__ import annotations

from typing import NamedTuple

from loadbalancer.core.balancing.model import MS, SECOND, Settings

TOLD = 6 * SECOND
HOLD = 2 * SECOND
LATE = 1500 * MS
CONNECT = SECOND
ANSWER = 3500 * MS
ANSWER_AIM = 2 * SECOND
PAUSE_LEAST = 200 * MS
PAUSE_MOST = 500 * MS
LEAST = 10 * MS  # of any span, where the grace is hardly any


class Terms(NamedTuple):
    """Spans in nanoseconds."""

    hold: int  # that a watch may wait for news
    late: int  # beyond it, until the watch is given up as silent
    connect: int  # for a connection to come up
    answer: int  # for an answer that is due at once
    pause_least: int  # between a failed call and the next one
    pause_most: int


ASKED = Terms(HOLD, LATE, CONNECT, ANSWER, PAUSE_LEAST, PAUSE_MOST)


def terms(settings: Settings) -> Terms:
    """The spans for these settings."""
    if settings.poll:
        return ASKED
    grace = settings.drain_grace

    def part(most: int, of: int) -> int:
        return max(min(most, grace // of), LEAST)

    return Terms(
        part(HOLD, 2),
        part(LATE, 8),
        part(CONNECT, 8),
        part(ANSWER, 4),
        part(PAUSE_LEAST, 32),
        part(PAUSE_MOST, 16),
    )
