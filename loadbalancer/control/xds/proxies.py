"""The connected proxies, and the snapshot that each group of them is to have."""

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

MAX_GROUPS = 64  # kinds times zones; each has a snapshot of its own


def group_key(group: ProxyGroup) -> GroupKey:
    """A group as the drains know it."""
    return (group.kind.value, group.zone)


class ConnectedProxies:
    """All discovery streams.

    `build` makes the snapshot of a group that has none yet; None while nothing is known.
    """

    def __init__(self, build: Callable[[ProxyGroup], Snapshot | None]) -> None:
        self._build = build
        self._streams: set[DiscoveryStream] = set()
        self._snapshots: dict[ProxyGroup, Snapshot] = {}
        self._histories: dict[ProxyGroup, History] = {}

    @property
    def streams(self) -> Iterable[DiscoveryStream]:
        """The streams that are open."""
        return self._streams

    def add(self, stream: DiscoveryStream) -> None:
        """Begin to serve a stream."""
        self._streams.add(stream)

    def remove(self, stream: DiscoveryStream) -> None:
        """Serve a stream no longer."""
        self._streams.discard(stream)

    def has_capacity_for(self, group: ProxyGroup) -> bool:
        """Whether a proxy of this group may connect without exceeding `MAX_GROUPS`."""
        return group in self._histories or len(self._histories) < MAX_GROUPS

    def open_session(self, group: ProxyGroup, incremental: bool) -> Session:
        """A session with the group's snapshot."""
        history = self._histories.setdefault(group, History())
        snapshot = self._snapshots.get(group)
        if snapshot is None:
            snapshot = self._build(group)
            if snapshot is not None:
                self._snapshots[group] = snapshot
        return Session(incremental, snapshot, history, stub_cluster)

    def publish(self, snapshots: Mapping[ProxyGroup, Snapshot]) -> None:
        """Replace the groups' snapshots; a proxy whose resources are the same is sent nothing."""
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
        """The groups that have proxies connected."""
        return {stream.identity.group for stream in self._streams}

    def count(self) -> int:
        """How many proxies are connected.

        One with a stream for each type is one. Two ADS streams of one id are two proxies, or
        one that has reconnected before its old connection ended: counted twice, each gets a
        smaller part of what all may have in flight.
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
        """Every cluster load assignment of a service that some proxy may be using."""
        return [
            AssignmentInUse(stream.identity.node_id, group_key(stream.identity.group), version)
            for stream in self._streams
            for version in stream.session.possible_versions(ResourceType.ENDPOINTS).get(service, ())
        ]

    def push_endpoints(self, node_ids: set[str]) -> None:
        """Send these proxies the newest endpoints without waiting for their answers."""
        for stream in self._streams:
            if stream.identity.node_id in node_ids:
                stream.push_endpoints()
