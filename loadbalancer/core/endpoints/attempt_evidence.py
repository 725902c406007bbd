"""What a Balancer's own attempts show of a server, to confirm or refute a source's report.

A source of a list may be wrong, so `merged_list` compares it with the results of attempts. The
Balancer knows which servers it has ejected as silent or unreachable, and which answered recently.
Where it may eject no further server (never more than half of all), the consecutive failures still
show it.
"""

from __future__ import annotations

from enum import Enum, auto

from loadbalancer.core.balancing.balancer import Balancer
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.balancing.outlier_detection import MAX_SILENT_FAILURES

RECENT_ANSWER_NS = 5 * SECOND  # how long an answer shows that a server is alive


class AttemptEvidence(Enum):
    """What attempts show of a server."""

    UNKNOWN = auto()  # it is not known, or was not used recently
    ALIVE = auto()  # it answered recently
    DEAD = auto()  # it is silent or unreachable


def no_evidence(_server: object) -> AttemptEvidence:
    """The evidence of whoever makes no attempts."""
    return AttemptEvidence.UNKNOWN


def evidence_of(balancer: Balancer, now: int, backend: int) -> AttemptEvidence:
    """What a Balancer's attempts show of a server; `now` in nanoseconds.

    One lost connection does not make a server dead: that takes MAX_SILENT_FAILURES consecutive
    failures with no answer between.
    """
    endpoint = balancer.endpoints.get(backend)
    if endpoint is None:
        return AttemptEvidence.UNKNOWN
    if endpoint.consecutive_failures >= MAX_SILENT_FAILURES or endpoint.ejected_until:
        return AttemptEvidence.DEAD
    answered_recently = endpoint.last_seen and now - endpoint.last_seen <= RECENT_ANSWER_NS
    if answered_recently and not endpoint.consecutive_failures:
        return AttemptEvidence.ALIVE
    return AttemptEvidence.UNKNOWN
