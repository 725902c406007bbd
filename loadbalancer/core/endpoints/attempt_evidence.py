"""What a Balancer's own attempts say of a server, for whoever merges lists; decides nothing.

A source of members may be wrong; the servers' own behaviour is not. The Balancer knows
which servers it left alone as silent or unreachable, and which answered lately. Where it
may not leave more servers alone (never more than half of all), the strikes still tell.
"""

from __future__ import annotations

from loadbalancer.core.balancing.balancer import Balancer
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.balancing.outlier_detection import MAX_SILENT_FAILURES

ANSWERED = 5 * SECOND  # for so long an answer says that a server is alive


def alive(balancer: Balancer, now: int, backend: int) -> bool | None:
    """True: it answered within ANSWERED. False: it is silent or unreachable. None: unknown.

    Times in nanoseconds. Could do harm if one lost connection made a server dead: it
    takes MAX_SILENT_FAILURES failures in a row with no answer between.
    """
    b = balancer.endpoints.get(backend)
    if b is None:
        return None
    if b.consecutive_failures >= MAX_SILENT_FAILURES or b.ejected_until:
        return False
    if b.last_seen and now - b.last_seen <= ANSWERED and not b.consecutive_failures:
        return True
    return None
