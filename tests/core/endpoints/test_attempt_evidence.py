"""Tests for the evidence that a node's own attempts give of a server."""

from __future__ import annotations

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.balancing.outlier_detection import MAX_SILENT_FAILURES, record_answer
from loadbalancer.core.endpoints.attempt_evidence import AttemptEvidence, evidence_of
from tests.recording_host import build


def test_answers_and_failures_of_attempts_show_whether_a_server_is_alive() -> None:
    balancer, _ = build(count=2)
    assert evidence_of(balancer, SECOND, 100) is AttemptEvidence.UNKNOWN
    assert evidence_of(balancer, SECOND, 9) is AttemptEvidence.UNKNOWN
    endpoint = balancer.endpoints[100]
    record_answer(SECOND, endpoint)
    assert evidence_of(balancer, 2 * SECOND, 100) is AttemptEvidence.ALIVE
    assert evidence_of(balancer, 7 * SECOND, 100) is AttemptEvidence.UNKNOWN  # too long ago
    endpoint.consecutive_failures = MAX_SILENT_FAILURES
    assert evidence_of(balancer, 2 * SECOND, 100) is AttemptEvidence.DEAD
