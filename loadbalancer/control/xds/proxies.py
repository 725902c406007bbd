"""The connected proxies, and the current snapshot of each group of them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from loadbalancer.control.xds.encoder import stub_cluster
from loadbalancer.control.xds.proxy_identity import ProxyGroup
from loadbalancer.control.xds.stream import DiscoveryStream
from loadbalancer.core.xds.drains import AssignmentInUse, GroupKey
from loadbalancer.core.xds.history import History
from loadbalancer.core.xds.session import Session
from loadbalancer.core.xds.snapshot import ResourceType, Snapshot

MAX_GROUPS = 64  # combinations of proxy kind and zone; each has its own snapshot


def group_key(group: ProxyGroup) -> GroupKey:
    """Return the key by which the drain tracker identifies a group."""
    return (group.kind.value, group.zone)


class ConnectedProxies:
    """All open discovery streams, and the snapshots that they serve.

    `build` creates the snapshot of a group that has none yet. It returns None as long as some pool
    has no server.
    """

    def __init__(self, build: Callable[[ProxyGroup], Snapshot | None]) -> None:
        self._build = build
        self._streams: set[DiscoveryStream] = set()
        self._snapshots: dict[ProxyGroup, Snapshot] = {}
        self._histories: dict[ProxyGroup, History] = {}

    @property
    def streams(self) -> Iterable[DiscoveryStream]:
        """Return the open streams."""
        return self._streams

    def add(self, stream: DiscoveryStream) -> None:
        """Register an open stream."""
        self._streams.add(stream)

    def remove(self, stream: DiscoveryStream) -> None:
        """Unregister a closed stream."""
        self._streams.discard(stream)

    def has_capacity_for(self, group: ProxyGroup) -> bool:
        """Return whether a proxy of `group` may connect without exceeding `MAX_GROUPS`."""
        return group in self._histories or len(self._histories) < MAX_GROUPS

    def open_session(self, group: ProxyGroup, incremental: bool) -> Session:
        """Create a session that serves the group's snapshot."""
        history = self._histories.setdefault(group, History())
        snapshot = self._snapshots.get(group)
        if snapshot is None:
            snapshot = self._build(group)
            if snapshot is not None:
                self._snapshots[group] = snapshot
        return Session(incremental, snapshot, history, stub_cluster)

    def publish(self, snapshots: Mapping[ProxyGroup, Snapshot]) -> None:
        """Replace the groups' snapshots, and send each proxy the resources that have changed."""
        changed = {
            group
            for group, snapshot in snapshots.items()
            if self._snapshots.get(group) is not snapshot
        }
        self._snapshots = dict(snapshots)
        for stream in self._streams:
            group = stream.identity.group
            if group in changed:
                stream.enqueue(stream.session.update(self._snapshots[group]))

    def groups(self) -> set[ProxyGroup]:
        """Return the groups that have connected proxies."""
        return {stream.identity.group for stream in self._streams}

    def count(self) -> int:
        """Return the number of connected proxies.

        A proxy with a separate stream for each type counts once. Two ADS streams with the same
        node id count twice: they are two proxies, or one that has reconnected before its old
        connection was closed. Counting too many is safe, because it only lowers each proxy's share
        of the requests that may be in flight.
        """
        by_node: dict[str, Counter[ResourceType | None]] = {}
        for stream in self._streams:
            by_node.setdefault(stream.identity.node_id, Counter())[stream.only] += 1
        return sum(
            streams[None]
            + max((count for only, count in streams.items() if only is not None), default=0)
            for streams in by_node.values()
        )

    def assignments_in_use(self, service: str) -> list[AssignmentInUse]:
        """Return every cluster load assignment of a service that some proxy may be using."""
        return [
            AssignmentInUse(stream.identity.node_id, group_key(stream.identity.group), version)
            for stream in self._streams
            for version in stream.session.possible_versions(ResourceType.ENDPOINTS).get(service, ())
        ]

    def push_endpoints(self, node_ids: set[str]) -> None:
        """Send the latest endpoints to the given proxies without waiting for acknowledgements."""
        for stream in self._streams:
            if stream.identity.node_id in node_ids:
                stream.push_endpoints()
