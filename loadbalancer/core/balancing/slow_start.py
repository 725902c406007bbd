"""Slow start: limits what is sent to an endpoint whose process has just started.

Such a process has only a part of its capacity: `cold_from` of the settings at first,
all of it after `cold` nanoseconds. What all nodes
together send it within `fall` nanoseconds must stay within `fall_multiple` times
its present capacity. Nodes do not know of one another's sends, so each spaces its
own sends to its part of that budget, and fewer slots are open meanwhile.
"""

from __future__ import annotations

from loadbalancer.core.balancing.model import SECOND, Settings
from loadbalancer.core.balancing.records import Endpoint
from loadbalancer.core.balancing.state import BalancerState

# Part of the budget that is used. The rest is for views of the list that differ
# between nodes, and for requests that need more work than others.
BUDGET_PART = 0.5
MIN_COLD_SLOTS = 2  # slots of all nodes at a cold endpoint, where its limit allows as many


def mark_if_cold(settings: Settings, endpoint: Endpoint, now: int) -> None:
    """Mark an endpoint that is new in the list as cold where its process has just started."""
    if endpoint.boot and now - endpoint.boot < settings.cold:
        endpoint.cold_until = endpoint.boot + settings.cold


def mark_restarted(settings: Settings, endpoint: Endpoint, boot: int) -> None:
    """A known endpoint has a new process, started at `boot` (ns): it is cold."""
    endpoint.boot = boot
    endpoint.cold_until = max(endpoint.cold_until, boot + settings.cold)


def capacity_fraction(state: BalancerState, endpoint: Endpoint) -> float:
    """The part of its capacity that a cold endpoint is assumed to have by now, up to 1."""
    settings = state.settings
    warm = 1.0 - (endpoint.cold_until - state.now) / max(settings.cold, 1)
    return settings.cold_from + (1.0 - settings.cold_from) * max(0.0, min(1.0, warm))


def cold_limit(state: BalancerState, endpoint: Endpoint, limit: float) -> float:
    """The concurrency limit of a cold endpoint, from the `limit` it has when warm."""
    # MIN_COLD_SLOTS alone would leave a zone of half-warm endpoints mostly idle.
    return min(limit, max(MIN_COLD_SLOTS, limit * capacity_fraction(state, endpoint)))


def space_sends(state: BalancerState, now: int, endpoint: Endpoint) -> None:
    """Space this node's sends to a cold endpoint, within this node's part of its budget.

    Its answers end the spacing where requests are queued (`outlier_detection.record_success`):
    when every endpoint is cold, the usual rate that the budget is computed from is unknown.
    """
    settings = state.settings
    usual_rate = state.send_rate * settings.nodes / max(state.ready, 1)
    rate = BUDGET_PART * settings.fall_multiple * capacity_fraction(state, endpoint) * usual_rate
    gap = settings.fall if rate <= 0 else min(int(SECOND * endpoint.sharers / rate), settings.fall)
    endpoint.backoff_until = now + gap
    state.wake(endpoint.backoff_until, endpoint)
