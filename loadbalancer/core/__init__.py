"""The decisions of an HTTP load balancer; this module exports the interface for hosts."""

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
