"""What a Balancer asks of the modules beside it, which know it; it knows them by these alone."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeVar

if TYPE_CHECKING:
    from loadbalancer.core.balancing.request_policy_state import RequestPolicyState
    from loadbalancer.core.routes.table import Policy

R = TypeVar("R", contravariant=True)  # the Balancer's record of a request


class LimitShare(Protocol):
    """Each backend's cap, where two processes are this node."""

    def of(self, backend: int, cap: int) -> int: ...


class SlotRanks(Protocol):
    """How many of a backend's slots are this node's among the living (see fleet/slots.py)."""

    def cap(self, backend: int, deal: int, depth: int, servers: int) -> int: ...


class Policies(Protocol[R]):
    """The routes' policies, for requests that have one (see attempts.py)."""

    def adopt(self, now: int, r: R, policy: Policy) -> None: ...
    def sending(
        self, now: int, r: R, ticket: RequestPolicyState, limit: int
    ) -> tuple[int, bool]: ...
    def attempt_ended(
        self, now: int, r: R, ticket: RequestPolicyState, number: int, outcome: int, taken: int
    ) -> None: ...
    def again(
        self, now: int, r: R, ticket: RequestPolicyState, outcome: int, connected: bool
    ) -> None: ...
    def come_due(self, now: int, r: R, ticket: RequestPolicyState) -> None: ...
    def cancel(self, r: R, first: int) -> None: ...
    def ended(self, ticket: RequestPolicyState) -> None: ...
