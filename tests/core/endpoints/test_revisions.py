"""Tests for the revisions of a list, and the rows changed since one of them."""

from __future__ import annotations

import pytest

from loadbalancer.core.endpoints.revisions import MAX_CHANGES, Revisions


@pytest.fixture
def revisions() -> Revisions[int]:
    """Revision 101 with rows a and b, and revision 102 with a changed row a alone."""
    rows: Revisions[int] = Revisions(100)
    assert rows.replace({"a": 1, "b": 2})
    assert rows.replace({"a": 3})
    return rows


def test_a_known_revision_is_answered_with_the_changes(revisions: Revisions[int]) -> None:
    assert revisions.since(101) == ({"a": 3, "b": None}, False)
    assert revisions.since(102) == ({}, False)


def test_the_first_revision_is_answered_with_all_rows_as_changes() -> None:
    revisions: Revisions[int] = Revisions(100)
    assert revisions.replace({"a": 1, "b": 2})
    assert revisions.since(100) == ({"a": 1, "b": 2}, False)


def test_the_same_rows_make_no_new_revision(revisions: Revisions[int]) -> None:
    assert not revisions.replace({"a": 3})
    assert revisions.rev == 102


@pytest.mark.parametrize("unknown", [0, 99, 103])
def test_an_unknown_revision_is_answered_with_all_rows(
    revisions: Revisions[int], unknown: int
) -> None:
    assert revisions.since(unknown) == ({"a": 3}, True)


def test_the_oldest_changes_past_the_limit_are_forgotten(revisions: Revisions[int]) -> None:
    for number in range(MAX_CHANGES):
        revisions.replace({"a": 4 + number})
    assert revisions.since(102) == ({"a": 3 + MAX_CHANGES}, False)
    assert revisions.since(101) == ({"a": 3 + MAX_CHANGES}, True)
