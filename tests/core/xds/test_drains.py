"""A drain's report names every proxy that may still send, and nobody else."""

from __future__ import annotations

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.xds.drains import MAX_VERSIONS, AssignmentInUse, DrainTracker

GROUP = ("envoy", "east")


def tracker() -> DrainTracker:
    drains = DrainTracker()
    drains.record_assignment(GROUP, "both", frozenset({1, 2}))
    assert drains.update_draining(0, [2], 2 * SECOND) == [2]
    drains.record_assignment(GROUP, "one", frozenset({1}))
    return drains


def test_the_report_comes_within_the_grace_less_a_margin_and_names_who_missed_it() -> None:
    drains = tracker()
    in_use = [
        AssignmentInUse("p1", GROUP, "one"),
        AssignmentInUse("p2", GROUP, "both"),
        AssignmentInUse("p2", GROUP, "one"),
        AssignmentInUse("p3", GROUP, ""),
        AssignmentInUse("p4", ("grpc", "east"), "one"),
    ]
    assert drains.due_reports(1_500_000_000, in_use) == []
    (report,) = drains.due_reports(1_600_000_000, in_use)
    assert (report.backend, report.notified, report.not_notified) == (2, 1, ("p2", "p3", "p4"))
    assert drains.due_reports(9 * SECOND, in_use) == []


def test_a_drain_that_ends_early_is_not_reported_and_may_begin_again() -> None:
    drains = tracker()
    assert drains.update_draining(SECOND, [], 2 * SECOND) == []
    assert drains.due_reports(9 * SECOND, [AssignmentInUse("p1", GROUP, "both")]) == []
    assert drains.update_draining(10 * SECOND, [2], 2 * SECOND) == [2]
    assert drains.update_draining(10 * SECOND, [2], 2 * SECOND) == []


def test_a_proxy_that_reconnects_is_judged_by_the_assignment_it_uses() -> None:
    """Content and not order decides: an assignment that is sent again is the same one."""
    drains = tracker()
    drains.record_assignment(GROUP, "both", frozenset({1, 2}))
    assert drains.not_notified(2, [AssignmentInUse("p1", GROUP, "both")]) == ["p1"]
    assert drains.not_notified(2, [AssignmentInUse("p1", GROUP, "one")]) == []


def test_a_proxy_with_an_assignment_too_old_to_be_known_counts_as_not_notified() -> None:
    drains = tracker()
    for i in range(MAX_VERSIONS):
        drains.record_assignment(GROUP, f"v{i}", frozenset({1}))
    assert drains.not_notified(
        2, [AssignmentInUse("p1", GROUP, "one"), AssignmentInUse("p2", GROUP, "v9")]
    ) == ["p1"]
