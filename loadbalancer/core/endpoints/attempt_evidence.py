"""Evidence from a Balancer's own attempts that confirms or refutes a source's report of a server.

A source of the endpoint list may be wrong, so `merged_list` compares its reports with the results
of attempts. The Balancer knows which endpoints it has ejected as unresponsive or unreachable, and
which have answered recently. It never ejects more than half of its endpoints: once it may eject no
more, the number of consecutive failures is still evidence.
"""

from __future__ import annotations

from enum import Enum, auto

from loadbalancer.core.balancing.balancer import Balancer
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.balancing.outlier_detection import MAX_SILENT_FAILURES

RECENT_ANSWER_NS = 5 * SECOND  # how long an answer is evidence that a server is alive


class AttemptEvidence(Enum):
    """What a node's own attempts show of a server."""

    UNKNOWN = auto()  # the Balancer does not know the server, or has no recent conclusive result
    ALIVE = auto()  # it has answered recently, and no attempt has failed since
    DEAD = auto()  # it is ejected, or too many consecutive attempts have failed


def no_evidence(_server: object) -> AttemptEvidence:
    """Return the evidence of a caller that makes no attempts itself."""
    return AttemptEvidence.UNKNOWN


def evidence_of(balancer: Balancer, now: int, backend: int) -> AttemptEvidence:
    """Return what a Balancer's attempts show of an endpoint; `now` in nanoseconds.

    A single lost connection does not make an endpoint DEAD: that takes an ejection, or
    MAX_SILENT_FAILURES consecutive failures with no answer between them.
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
