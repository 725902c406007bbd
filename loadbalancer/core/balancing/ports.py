"""Interfaces of the objects that a host plugs into a Balancer.

Their implementations are imported by the host, not by the modules that call them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from loadbalancer.core.balancing.records import Request
    from loadbalancer.core.balancing.request_policy_state import RequestPolicyState
    from loadbalancer.core.routes.table import Policy


class LimitShare(Protocol):
    """Divides each endpoint's cap while two processes serve as one node."""

    def cap_for(self, backend: int, cap: int) -> int:
        """This process's part of the node's `cap` at an endpoint, in requests."""


class SlotAllocator(Protocol):
    """Divides slots among the nodes that are alive; see `core.gossip.slot_allocation`."""

    def cap(self, backend: int, rank: int, depth: int, servers: int) -> int:
        """The cap of the node of rank `rank` at an endpoint with `depth` slots.

        `servers` is how many endpoints of the zone are listed as ready.
        """


class Policies(Protocol):
    """Hooks for requests that have a route policy; implemented by `route_policies`."""

    def apply_policy(self, now: int, request: Request, policy: Policy) -> None:
        """Apply a route's policy to a new request."""

    def begin_attempt(
        self, now: int, request: Request, policy_state: RequestPolicyState, timeout: int
    ) -> tuple[int, bool]:
        """The timeout of an attempt about to be sent, and whether `retries` may shorten it."""

    def attempt_ended(
        self,
        now: int,
        request: Request,
        policy_state: RequestPolicyState,
        number: int,
        outcome: int,
        duration: int,
    ) -> None:
        """Handle the end of an attempt of a request that may be hedged."""

    def retry_or_finish(
        self,
        now: int,
        request: Request,
        policy_state: RequestPolicyState,
        outcome: int,
        connected: bool,
    ) -> None:
        """Retry a request whose last attempt in flight has failed, or give its final response."""

    def on_due(self, now: int, request: Request, policy_state: RequestPolicyState) -> None:
        """Handle the end of a request's back-off, or send its hedge."""

    def cancel_others(self, request: Request, retained: int) -> None:
        """Cancel all open attempts of a request except number `retained`."""

    def request_ended(self, policy_state: RequestPolicyState) -> None:
        """Handle the end of a request."""
