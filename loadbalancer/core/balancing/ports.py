"""Interfaces of what a host plugs into a Balancer: this package imports no implementation."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from loadbalancer.core.balancing.records import Request
    from loadbalancer.core.balancing.request_policy_state import RequestPolicyState
    from loadbalancer.core.routes.table import Policy


class LimitShare(Protocol):
    """This process's part of each endpoint's cap, where two processes are one node."""

    def cap_for(self, backend: int, cap: int) -> int:
        """The part of a node's `cap` of this endpoint, in requests."""


class SlotRanks(Protocol):
    """Slots divided among the alive nodes; see `core.gossip.slot_allocation`."""

    def cap(self, backend: int, rank: int, depth: int, servers: int) -> int:
        """The cap of the node whose rank at this endpoint is `rank`, of `depth` slots.

        `servers` is how many endpoints of its zone are listed as ready.
        """


class Policies(Protocol):
    """The routes' policies, called for the requests that have one; see `route_policies`."""

    def adopt(self, now: int, request: Request, policy: Policy) -> None:
        """Apply a policy to a new request."""

    def sending(
        self, now: int, request: Request, policy_state: RequestPolicyState, timeout: int
    ) -> tuple[int, bool]:
        """An attempt is sent: its timeout, and whether the early timeout of `retries` bounds it."""

    def attempt_ended(
        self,
        now: int,
        request: Request,
        policy_state: RequestPolicyState,
        number: int,
        outcome: int,
        duration: int,
    ) -> None:
        """An attempt of a request that may be hedged has ended."""

    def again(
        self,
        now: int,
        request: Request,
        policy_state: RequestPolicyState,
        outcome: int,
        connected: bool,
    ) -> None:
        """The last attempt in flight has failed: send another, or give the final answer."""

    def come_due(self, now: int, request: Request, policy_state: RequestPolicyState) -> None:
        """A request's back-off is over, or its hedge due."""

    def cancel_others(self, request: Request, retained: int) -> None:
        """Cancel a request's open attempts but the one of this number."""

    def ended(self, policy_state: RequestPolicyState) -> None:
        """The request has ended."""
