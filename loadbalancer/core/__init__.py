"""Decisions of an HTTP load balancer; see README.md for the interface."""

from loadbalancer.core.balancing.balancer import Balancer
from loadbalancer.core.balancing.model import (
    Actions,
    Effect,
    Listing,
    Outcome,
    RequestClass,
    Scope,
    Settings,
    State,
    Tenant,
    Update,
)

__all__ = [
    "Actions",
    "Balancer",
    "Effect",
    "Listing",
    "Outcome",
    "RequestClass",
    "Scope",
    "Settings",
    "State",
    "Tenant",
    "Update",
]
