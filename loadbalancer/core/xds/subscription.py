"""One resource type on one stream: what the proxy subscribes to, has acknowledged and rejected."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from loadbalancer.core.xds.messages import (
    ClientResourceStatus,
    DiscoveryRequest,
    Nack,
    ResourceStatus,
    SubscriptionError,
)
from loadbalancer.core.xds.snapshot import (
    FULL_STATE_TYPES,
    Resource,
    ResourcesByName,
    ResourceType,
    unknown_resource,
)

MAX_NAMES = 10_000  # names that one stream may subscribe to, of one type
MAX_NAME_BYTES = 512
MAX_SUPERSEDED = 16  # unanswered versions of one name; beyond, the proxy's version is unknown


class Subscription:
    """One resource type on one stream; at most one response is pending.

    Attributes:
        wildcard: the proxy gets every resource of the type.
        resource_names: names subscribed to.
        acked: what the proxy has acknowledged, on this stream or on an earlier one.
        pending: what the proxy has once it acknowledges the response under way; None for none.
        nonce: of the response sent last.
        superseded: versions by name that were sent and replaced before an answer came.
        nacked: versions by name that the proxy rejected; they are not sent again.
        suspects: names that were rejected together with others; they are sent one by one.
        unanswered: the proxy has had no response of this type on this stream.
        nack: the proxy's last rejection, until all it rejected is mended.
    """

    __slots__ = (
        "acked", "incremental", "nack", "nacked", "nonce", "pending", "resource_names",
        "resource_type", "superseded", "suspects", "unanswered", "wildcard",
    )  # fmt: skip

    def __init__(
        self, resource_type: ResourceType, incremental: bool, acked_versions: Mapping[str, str]
    ) -> None:
        self.resource_type = resource_type
        self.incremental = incremental
        self.wildcard = False
        self.resource_names: set[str] = set()
        self.acked: ResourcesByName = {
            name: unknown_resource(name, version) for name, version in acked_versions.items()
        }
        self.pending: ResourcesByName | None = None
        self.nonce = ""
        self.superseded: dict[str, set[str]] = {}
        self.nacked: dict[str, str] = {}
        self.suspects: set[str] = set()
        self.unanswered = True
        self.nack: Nack | None = None

    @property
    def allows_partial_responses(self) -> bool:
        """Whether a response may hold some resources and leave the others as they are."""
        return self.incremental or self.resource_type not in FULL_STATE_TYPES

    def retains(self, name: str) -> bool:
        """Whether the proxy has a resource and the response under way does not remove it."""
        has = self.acked.get(name) is not None
        return has and (self.pending is None or self.pending.get(name) is not None)

    def acked_resources(self) -> dict[str, Resource]:
        """The acknowledged resources that exist, by name."""
        return {name: found for name, found in self.acked.items() if found is not None}

    # ---- events --------------------------------------------------------

    def update_names(self, request: DiscoveryRequest, is_first: bool) -> None:
        """Follow a request's names.

        Raises:
            SubscriptionError: too many names, or one that is too long.
        """
        if any(len(name) > MAX_NAME_BYTES for name in request.resource_names):
            raise SubscriptionError(f"a name has over {MAX_NAME_BYTES} bytes")
        names = set(request.resource_names)
        if (is_first and not names) or "*" in names:
            self.wildcard = self.resource_type in FULL_STATE_TYPES
        elif (self.incremental and "*" in request.unsubscribe) or (not self.incremental and names):
            self.wildcard = False
        names.discard("*")
        if self.incremental:
            self.resource_names |= names
            self.resource_names.difference_update(request.unsubscribe)
        else:
            self.resource_names = names
        if len(self.resource_names) > MAX_NAMES:
            raise SubscriptionError(f"more than {MAX_NAMES} names of one type")
        if not self.wildcard:
            self._drop_unsubscribed()

    def _drop_unsubscribed(self) -> None:
        """Forget what the proxy forgets: a name it adds again has to be sent again."""
        names = self.resource_names
        self.acked = {name: found for name, found in self.acked.items() if name in names}
        if self.pending is not None:
            self.pending = {name: found for name, found in self.pending.items() if name in names}

    def on_answer(self, error_detail: str) -> None:
        """Take the ACK, or the NACK with its reason, of the response under way."""
        pending, self.pending = self.pending, None
        if pending is None:
            return
        fresh = {
            name: found
            for name, found in pending.items()
            if found is not None and found != self.acked.get(name)
        }
        if error_detail:
            self._on_nack({name: found.version for name, found in fresh.items()}, error_detail)
            return
        self.acked = pending
        self.superseded.clear()
        for name in fresh:
            self.nacked.pop(name, None)
            self.suspects.discard(name)
        if not self.nacked:
            self.nack = None

    def _on_nack(self, versions: Mapping[str, str], error_detail: str) -> None:
        self.nack = Nack(self.resource_type, versions, error_detail)
        if self.allows_partial_responses and len(versions) > 1:
            # A NACK does not say which resource is at fault: sent one by one, only that one
            # is left out.
            self.suspects.update(versions)
        else:
            # The same version would be rejected again.
            self.nacked.update(versions)

    def supersede_pending(self) -> bool:
        """Stop waiting for the answer to the response under way; False where there is none.

        Whether the proxy applied that response is not known. What it has of those names counts
        as unknown from now on and is sent again.
        """
        if self.pending is None:
            return False
        for name, sent in self.pending.items():
            acked = self.acked.get(name)
            versions = {found.version for found in (acked, sent) if found is not None}
            versions |= self.superseded.get(name, set())
            self.superseded[name] = versions if len(versions) <= MAX_SUPERSEDED else {""}
            if acked is not None and sent != acked:
                self.acked[name] = unknown_resource(name)
        self.pending = None
        return True

    # ---- what the proxy has ----------------------------------------------

    def possible_versions(self) -> dict[str, set[str]]:
        """All versions by name that the proxy may be using, "" for an unknown one."""
        out = {name: set(versions) for name, versions in self.superseded.items()}
        for resources in (self.acked, self.pending or {}):
            for name, found in resources.items():
                if found is not None:
                    out.setdefault(name, set()).add(found.version)
        return out

    def changed(self, desired: ResourcesByName) -> dict[str, Resource]:
        """The desired resources that the proxy does not have, but for versions it rejected."""
        return {
            name: found
            for name, found in desired.items()
            if found is not None
            and found != self.acked.get(name)
            and self.nacked.get(name) != found.version
        }

    def lost(self, desired: ResourcesByName) -> set[str]:
        """Names of resources that the proxy has and is not to have any more."""
        return {name for name in self.acked_resources() if desired.get(name) is None}

    def absent(self, desired: ResourcesByName) -> set[str]:
        """Names that do not exist, which the proxy does not know yet."""
        return {name for name, found in desired.items() if found is None and name not in self.acked}

    def forget(self, names: Collection[str]) -> None:
        """Count these resources as ones that the proxy does not have."""
        self.acked = {name: found for name, found in self.acked.items() if name not in names}

    def sendable(self, changed: Mapping[str, Resource]) -> dict[str, Resource]:
        """Those of the changed resources that may share the next response."""
        trusted = {name: found for name, found in changed.items() if name not in self.suspects}
        if changed and not trusted:
            name = min(changed)
            return {name: changed[name]}
        return trusted

    def status(self, name: str, resource: Resource | None) -> ResourceStatus:
        """State of one name at this proxy; `resource` is the snapshot's, None for none."""
        acked = self.acked.get(name)
        if resource is None:
            if acked is None:
                version, client_status = "", ClientResourceStatus.DOES_NOT_EXIST
            else:
                version, client_status = acked.version, ClientResourceStatus.REQUESTED
            return ResourceStatus(self.resource_type, name, version, client_status)
        error_detail = ""
        if acked == resource:
            client_status = ClientResourceStatus.ACKED
        elif self.nack is not None and self.nacked.get(name) == resource.version:
            client_status = ClientResourceStatus.NACKED
            error_detail = self.nack.error_detail
        else:
            client_status = ClientResourceStatus.REQUESTED
        return ResourceStatus(
            self.resource_type, name, resource.version, client_status, error_detail
        )
