"""One proxy's discovery stream: fed its requests and newer snapshots, it says what to send.

Free of I/O, clock and protobuf. Both variants of the xDS protocol are served, state of the
world and incremental; `ads_order` holds the order in which resources are sent.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from loadbalancer.core.xds.ads_order import desired_resources
from loadbalancer.core.xds.history import History, cluster_names_of, make_version_info
from loadbalancer.core.xds.messages import (
    DiscoveryRequest,
    DiscoveryResponse,
    ResourceStatus,
    SubscriptionError,
)
from loadbalancer.core.xds.snapshot import (
    EMPTY,
    FULL_STATE_TYPES,
    Resource,
    ResourcesByName,
    ResourceType,
    Snapshot,
    unknown_resource,
)
from loadbalancer.core.xds.subscription import MAX_NAMES, Subscription


class Session:
    """One stream of one proxy: at most one response of a type is pending.

    Every event returns the responses to send now, in the order of the resource types.
    """

    __slots__ = (
        "_has_snapshot", "_history", "_incremental", "_responses", "_resuming", "_snapshot",
        "_stub_cluster", "_subscriptions",
    )  # fmt: skip

    def __init__(
        self,
        incremental: bool,
        snapshot: Snapshot | None = None,
        history: History | None = None,
        stub_cluster: Callable[[str], Resource] | None = None,
    ) -> None:
        """Begin a stream.

        Args:
            incremental: the protocol's variant; False for the state of the world.
            snapshot: what the proxy is to have. None: not known yet, and nothing is sent; an
                empty snapshot would remove what the proxy has.
            history: what was sent to proxies of the same group.
            stub_cluster: makes a cluster of which only the name is known. It stands until no
                old routes refer to it, where a restarted service does not know its content.
        """
        self._stub_cluster = stub_cluster
        self._has_snapshot = snapshot is not None
        self._incremental = incremental
        self._history = history or History()
        # The proxy has clusters from an earlier stream and did not subscribe to routes yet.
        self._resuming = False
        self._snapshot = snapshot or EMPTY
        self._subscriptions: dict[ResourceType, Subscription] = {}
        self._responses = 0

    # ---- events --------------------------------------------------------

    def update(self, snapshot: Snapshot) -> list[DiscoveryResponse]:
        """Replace the snapshot, and whatever was still to be sent of the older one."""
        self._snapshot = snapshot
        self._has_snapshot = True
        return self._due_responses()

    def request(self, request: DiscoveryRequest) -> list[DiscoveryResponse]:
        """Take a proxy's request.

        Raises:
            SubscriptionError: the request is beyond the bounds.
        """
        subscription = self._subscriptions.get(request.resource_type)
        is_first = subscription is None
        if subscription is None:
            subscription = self._open(request)
        nonce = request.response_nonce
        if nonce and nonce == subscription.nonce:
            subscription.on_answer(request.error_detail)
        elif nonce and not is_first and not self._incremental:
            return []  # it answers an older response: another request follows for the newest
        subscription.update_names(request, is_first)
        if is_first:
            self._skip_unchanged(request, subscription)
        return self._due_responses()

    def _open(self, request: DiscoveryRequest) -> Subscription:
        """Begin a subscription with what the proxy has from an earlier stream."""
        resource_type = request.resource_type
        if len(request.initial_resource_versions) > MAX_NAMES:
            raise SubscriptionError(f"more than {MAX_NAMES} names of one type")
        acked_versions = request.initial_resource_versions if self._incremental else {}
        subscription = Subscription(resource_type, self._incremental, acked_versions)
        self._subscriptions[resource_type] = subscription
        if not self._incremental and request.version_info:
            subscription.acked = self._resources_before(request)
        subscription.unanswered = not subscription.acked
        if resource_type is ResourceType.CLUSTER and subscription.acked:
            self._resuming = ResourceType.ROUTES not in self._subscriptions
        elif resource_type is ResourceType.ROUTES:
            self._resuming = False
        return subscription

    def _skip_unchanged(self, request: DiscoveryRequest, subscription: Subscription) -> None:
        """Send nothing to a proxy whose version is the one it would be sent."""
        if self._incremental or subscription.resource_type not in FULL_STATE_TYPES:
            return
        if not request.version_info:
            return
        desired = self._desired(subscription)
        if request.version_info == make_version_info(subscription.resource_type, desired):
            subscription.acked = desired
            subscription.unanswered = False

    def _resources_before(self, request: DiscoveryRequest) -> ResourcesByName:
        """What a proxy that reconnects has, by the one version it reports.

        Routes and endpoints it may have dropped and subscribed to again since that version:
        they are sent anew. Until then its routes count as old ones, its endpoints as none.
        """
        if request.resource_type in FULL_STATE_TYPES:
            found = self._history.get(request.resource_type, request.version_info)
            stub = self._stub_cluster
            if not found and request.resource_type is ResourceType.CLUSTER and stub is not None:
                found = {name: stub(name) for name in cluster_names_of(request.version_info)}
            return found
        if request.resource_type is ResourceType.ROUTES:
            return {name: unknown_resource(name) for name in request.resource_names}
        return {}

    def end_resumption(self) -> list[DiscoveryResponse]:
        """Wait no longer for a subscription to routes from an earlier stream."""
        self._resuming = False
        return self._due_responses()

    def push_endpoints(self) -> list[DiscoveryResponse]:
        """Send the newest endpoints without waiting for the answer to those under way.

        Guards a drain against a proxy that does not answer: it would go on to send new work
        until the server is removed. Only for endpoints, because nothing depends on which of two
        sets of them a proxy has.
        """
        subscription = self._subscriptions.get(ResourceType.ENDPOINTS)
        if subscription is None or not subscription.supersede_pending():
            return []
        return self._due_responses()

    # ---- queries -------------------------------------------------------

    def settled(self) -> bool:
        """Whether no response is pending and none is left to send."""
        pending = (subscription.pending for subscription in self._subscriptions.values())
        return all(resources is None for resources in pending) and not self._due_responses()

    def acked_versions(self, resource_type: ResourceType) -> dict[str, str]:
        """The acknowledged versions by name."""
        subscription = self._subscriptions.get(resource_type)
        if subscription is None:
            return {}
        return {name: found.version for name, found in subscription.acked_resources().items()}

    def possible_versions(self, resource_type: ResourceType) -> dict[str, set[str]]:
        """All versions by name that the proxy may be using, "" for an unknown one."""
        subscription = self._subscriptions.get(resource_type)
        return {} if subscription is None else subscription.possible_versions()

    def status(self) -> list[ResourceStatus]:
        """Every resource that concerns this proxy, by type and name."""
        out = []
        for resource_type, subscription in sorted(self._subscriptions.items()):
            resources = self._snapshot.of_type(resource_type)
            names = {*subscription.resource_names, *subscription.acked}
            if subscription.wildcard:
                names.update(resources)
            out += [subscription.status(name, resources.get(name)) for name in sorted(names)]
        return out

    # ---- what is to be sent --------------------------------------------

    def _due_responses(self) -> list[DiscoveryResponse]:
        if not self._has_snapshot:
            return []
        out = []
        for resource_type in ResourceType:
            subscription = self._subscriptions.get(resource_type)
            if subscription is not None and subscription.pending is None:
                response = self._next_response(subscription)
                if response is not None:
                    out.append(response)
        return out

    def _desired(self, subscription: Subscription) -> ResourcesByName:
        return desired_resources(subscription, self._snapshot, self._subscriptions, self._resuming)

    def _next_response(self, subscription: Subscription) -> DiscoveryResponse | None:
        desired = self._desired(subscription)
        if not subscription.allows_partial_responses:
            return self._full_response(subscription, desired)
        if not self._incremental:
            # This variant has no message for a removal of endpoints or routes.
            subscription.forget(subscription.lost(desired))
        return self._partial_response(subscription, desired)

    def _full_response(
        self, subscription: Subscription, desired: ResourcesByName
    ) -> DiscoveryResponse | None:
        """A response that lists every resource: one that it lacks is removed.

        None where the proxy has them, or has rejected all that it lacks.
        """
        resources = {name: found for name, found in desired.items() if found is not None}
        acked = subscription.acked_resources()
        if resources == acked and not subscription.unanswered:
            return None
        fresh = {name: found for name, found in resources.items() if found != acked.get(name)}
        nacked = subscription.nacked
        if fresh and all(nacked.get(name) == found.version for name, found in fresh.items()):
            return None
        return self._respond(subscription, desired, resources.values(), ())

    def _partial_response(
        self, subscription: Subscription, desired: ResourcesByName
    ) -> DiscoveryResponse | None:
        """A response that holds only what changes, None where nothing does."""
        resources = subscription.sendable(subscription.changed(desired))
        removed: list[str] = []
        if self._incremental:
            removed = sorted(subscription.lost(desired) | subscription.absent(desired))
        must_answer = subscription.unanswered and self._incremental and subscription.wildcard
        if not resources and not removed and not must_answer:
            return None
        after: ResourcesByName = {
            name: found for name, found in subscription.acked.items() if name not in removed
        }
        after |= {name: None for name in removed if name in subscription.resource_names}
        after |= resources
        return self._respond(subscription, after, resources.values(), tuple(removed))

    def _respond(
        self,
        subscription: Subscription,
        after: ResourcesByName,
        resources: Iterable[Resource],
        removed: tuple[str, ...],
    ) -> DiscoveryResponse:
        """Make the response after whose ACK the proxy has `after`."""
        self._responses += 1
        subscription.nonce = str(self._responses)
        subscription.pending = after
        subscription.unanswered = False
        ordered = tuple(sorted(resources, key=lambda resource: resource.name))
        resource_type = subscription.resource_type
        version_info = make_version_info(resource_type, after)
        if not subscription.allows_partial_responses:
            self._history.add(resource_type, version_info, after)
        return DiscoveryResponse(resource_type, version_info, subscription.nonce, ordered, removed)
