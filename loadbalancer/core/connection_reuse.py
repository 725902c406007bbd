"""When a connection to a backend may carry its next request; no I/O, no clock.

HTTP/1.1 matches responses to requests by their order alone (RFC 9112, section 9.2). A backend that
sends more than its response, such as a second copy of it some milliseconds later, therefore shifts
the connection: the surplus is taken for the next response, that one for the response after it, and
so on. Clients get the responses to other requests, and a 503 that promises "not executed" is
believed of a request that is being executed.

A backend sends such a surplus only while no further request has arrived. Two rules keep it apart
from the next response:

1. A connection is settled once SETTLING_TIME_NS have passed since its last response. Settled
   connections are preferred: whatever the backend still sent has arrived, and has closed them.
2. On a connection that has not settled, the request's last byte is withheld until it has. No
   backend executes a request without its last byte, so bytes that arrive before it are no response
   to this request, and the request may be sent on another connection.

The length of the network path does not matter: a response and its surplus travel the same way,
so they arrive as far apart as they were sent.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from loadbalancer.core.balancing.model import MS

# How long after a response a backend may still send a surplus.
SETTLING_TIME_NS = 10 * MS
# How long the last byte of an unsafe request is withheld at least. The backend may have closed the
# connection, or may reset it when the request arrives; the process would notice only after the
# complete request is written. The request could then not be retried although it was not executed.
UNSAFE_DELAY_NS = 2 * MS
NEVER = 0  # the time of the last response on a connection that has carried none


class IdleConnection(Protocol):
    """A connection without a request."""

    idle_since: int  # time of its last response, in nanoseconds


def select_idle(connections: Sequence[IdleConnection], now: int) -> int:
    """Return the index of the connection that carries the next request.

    It is the one that became idle most recently among those that have settled, so that surplus
    connections age. If none has settled, it is the one that settles first.

    Args:
        connections: the idle connections to one backend, at least one, oldest first.
        now: nanoseconds of the clock of `idle_since`.
    """
    settled_before = now - SETTLING_TIME_NS
    for index in range(len(connections) - 1, 0, -1):
        if connections[index].idle_since <= settled_before:
            return index
    return 0


def settling_delay(now: int, idle_since: int) -> int:
    """Return for how many more nanoseconds a connection has not settled; 0 for a new one.

    Args:
        now: nanoseconds of the clock of `idle_since`.
        idle_since: time of the connection's last response; NEVER for a new connection.
    """
    if idle_since == NEVER:
        return 0
    return max(idle_since + SETTLING_TIME_NS - now, 0)


def last_byte_delay(now: int, idle_since: int, unsafe: bool) -> int:
    """Return for how many nanoseconds the last byte of a request is withheld; 0 for not at all.

    Args:
        now: when the request is written, in nanoseconds of the clock of `idle_since`.
        idle_since: time of the connection's last response; NEVER for a new connection.
        unsafe: whether executing the request twice may have two effects.
    """
    return max(settling_delay(now, idle_since), UNSAFE_DELAY_NS if unsafe else 0)
