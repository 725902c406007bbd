"""A proxy that speaks the xDS protocol by itself, and snapshots to serve it.

It is written from the protocol and uses nothing of the session's inner state, so that what it
has is evidence of its own.
"""

from __future__ import annotations

from loadbalancer.core.xds.history import History
from loadbalancer.core.xds.messages import DiscoveryRequest, DiscoveryResponse
from loadbalancer.core.xds.session import Session
from loadbalancer.core.xds.snapshot import (
    Resource,
    ResourceType,
    Snapshot,
    make_resource,
    make_snapshot,
)

NACK_REASON = "port taken"
CLUSTER, ENDPOINTS, LISTENER, ROUTES = ResourceType
FULL_STATE = (CLUSTER, LISTENER)


def stub_cluster(name: str) -> Resource:
    """A cluster of which only the name is known."""
    return make_resource(name, f"stub {name}".encode(), [name.replace("c-", "e-")])


def snapshot_of(services: dict[str, int], revision: int = 0) -> Snapshot:
    """A listener and routes, and for each service a cluster in the revision given."""
    clusters = [
        make_resource(f"c-{name}", f"{name}{version}".encode(), [f"e-{name}"])
        for name, version in services.items()
    ]
    endpoints = [
        make_resource(f"e-{name}", f"{name}{version}{revision}".encode())
        for name, version in services.items()
    ]
    cluster_names = [f"c-{name}" for name in services]
    routes = [make_resource("r", f"{sorted(services)}".encode(), cluster_names)]
    listeners = [make_resource("l", b"listener", ["r"])]
    return make_snapshot(
        {CLUSTER: clusters, ENDPOINTS: endpoints, ROUTES: routes, LISTENER: listeners}
    )


class ProtocolProxy:
    """A proxy and the session that serves it.

    `wildcard`: gets every cluster and listener, as Envoy; else by name, as gRPC's client.
    """

    def __init__(self, incremental: bool, wildcard: bool, snapshot: Snapshot) -> None:
        self.incremental = incremental
        self.wildcard = wildcard
        self.versions: dict[ResourceType, dict[str, str]] = {kind: {} for kind in ResourceType}
        self.references: dict[str, frozenset[str]] = {}  # by a resource's version
        self.inbox: list[DiscoveryResponse] = []
        self.names: dict[ResourceType, set[str]] = {}
        self.received = 0
        self.version_info: dict[ResourceType, str] = {}
        self.history = History()
        self.connect(snapshot)

    def connect(self, snapshot: Snapshot) -> None:
        """Open a new stream; the proxy retains what it has."""
        self.session = Session(self.incremental, snapshot, self.history, stub_cluster)
        self.inbox = []
        before, self.names = self.names, {}
        if self.wildcard:
            for kind in FULL_STATE:
                self.subscribe(kind, set())
        else:
            self.subscribe(LISTENER, {"l"})
        for kind in (ENDPOINTS, ROUTES, CLUSTER):
            if kind not in self.names and before.get(kind):
                self.subscribe(kind, before[kind])

    def subscribe(
        self, kind: ResourceType, names: set[str], error_detail: str = "", nonce: str = ""
    ) -> None:
        """Send a request: these names, and the answer to the response of this nonce."""
        is_first = kind not in self.names
        old = self.names.get(kind, set())
        self.names[kind] = set(names)
        if self.incremental:
            request = DiscoveryRequest(
                kind,
                tuple(names - old),
                tuple(old - names),
                nonce,
                error_detail,
                initial_resource_versions=dict(self.versions[kind]) if is_first else {},
            )
        else:
            version_info = self.version_info.get(kind, "")
            request = DiscoveryRequest(kind, tuple(names), (), nonce, error_detail, version_info)
        self.inbox += self.session.request(request)

    def update(self, snapshot: Snapshot) -> None:
        """The service has a newer snapshot."""
        self.inbox += self.session.update(snapshot)

    def receive(self, nack: bool = False) -> None:
        """Read one response, apply or reject it, and answer it."""
        response = self.inbox.pop(0)
        self.received += 1
        kind = response.resource_type
        if nack:
            self.subscribe(kind, self.names[kind], NACK_REASON, response.nonce)
            return
        versions = self.versions[kind]
        if not self.incremental and kind in FULL_STATE:
            versions.clear()
        for resource in response.resources:
            if not (self.wildcard and kind in FULL_STATE) and (
                resource.name not in self.names[kind]
            ):
                continue  # unsubscribed by the time it came
            versions[resource.name] = resource.version
            self.references[resource.version] = resource.references
        for name in response.removed_resources:
            versions.pop(name, None)
        self.version_info[kind] = response.version_info
        self.follow_references()
        self.subscribe(kind, self.names[kind], "", response.nonce)

    def receive_all(self) -> None:
        """Read and accept until nothing is left."""
        while self.inbox:
            self.receive()

    def follow_references(self) -> None:
        """Subscribe to what is newly referred to, and no longer to what is not."""
        chain = ((LISTENER, ROUTES), (ROUTES, CLUSTER), (CLUSTER, ENDPOINTS))
        for referring, kind in chain:
            names = self.referred_by(referring)
            if kind is CLUSTER and self.wildcard:
                continue
            for name in self.versions[kind].keys() - names:
                del self.versions[kind][name]
            if names != self.names.get(kind, set()):
                self.subscribe(kind, names)

    def referred_by(self, kind: ResourceType) -> set[str]:
        """Names that the proxy's resources of this type refer to."""
        return {
            name
            for version in self.versions[kind].values()
            for name in self.references.get(version, ())
        }

    def is_consistent(self) -> bool:
        """Whether no routes refer to a cluster that is missing, or lacks its endpoints."""
        if not self.wildcard:
            return True  # it uses old routes until it has what new ones refer to
        for name in self.referred_by(ROUTES):
            if name not in self.versions[CLUSTER]:
                return False
            for assignment in self.references[self.versions[CLUSTER][name]]:
                if assignment not in self.versions[ENDPOINTS]:
                    return False
        return True
