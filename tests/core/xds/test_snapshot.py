"""A snapshot in which a reference does not resolve can't be built."""

from __future__ import annotations

import pytest

from loadbalancer.core.xds.snapshot import (
    ResourceType,
    SnapshotError,
    make_resource,
    make_snapshot,
)


def test_a_snapshot_with_a_missing_reference_is_rejected() -> None:
    with pytest.raises(SnapshotError, match="routes 'r' names cluster 'c'"):
        make_snapshot({ResourceType.ROUTES: [make_resource("r", b"", ["c"])]})
    with pytest.raises(SnapshotError, match="endpoints 'e'"):
        make_snapshot({ResourceType.CLUSTER: [make_resource("c", b"", ["e"])]})
