"""Hedging: when a second attempt of a slow request is sent, and what a cancelled one shows.

Only requests whose repetition has no effect are hedged, if the settings allow hedging and
cancelling and the route's policy asks for it: after a fixed time, or after a percentile of the
route's response times. A hedge needs a free slot, a unit of the route's allowance, and a token
of each retry budget.

Times are nanoseconds.
"""

from __future__ import annotations

from loadbalancer.core.balancing import retries, rotation
from loadbalancer.core.balancing.latency import LATENCY_RATIO_GAIN, MAX_LATENCY_RATIO
from loadbalancer.core.balancing.model import Effect
from loadbalancer.core.balancing.outlier_detection import MAX_BACKOFF_NS
from loadbalancer.core.balancing.records import Endpoint, Request
from loadbalancer.core.balancing.response_times import ResponseTimes
from loadbalancer.core.balancing.state import BalancerState
from loadbalancer.core.routes.table import HedgingSpec

HEDGE_BURST = 2.0  # minimum capacity of a route's hedge allowance


def may_hedge(state: BalancerState, request: Request) -> bool:
    """Whether the settings and the request's state allow a hedge."""
    settings = state.settings
    allowed = settings.hedging and settings.can_cancel and request.effect == Effect.PURE
    if not allowed or request.response_started:
        return False
    return len(request.attempts) < retries.max_attempts(request)


def delay(spec: HedgingSpec, response_times: ResponseTimes) -> int:
    """The time from the first attempt to its hedge; 0 if it is not known yet."""
    return spec.after or response_times.percentile(spec.percentile)


def allowance(spec: HedgingSpec, before: float, active: int) -> float:
    """The route's hedge allowance after one more request, from the one `before` it."""
    return min(before + spec.max_part, max(HEDGE_BURST, spec.max_part * active))


def on_cancelled(
    state: BalancerState, now: int, request: Request, endpoint: Endpoint, duration: int
) -> None:
    """Update an endpoint's measurements from an attempt that was cancelled there.

    The attempt's duration is a lower bound of its latency. Without it a slow endpoint, whose
    attempts are always cancelled in favour of hedges, would never be measured. The endpoint
    may continue to work on the cancelled attempt, and new requests would queue behind that:
    so it backs off for as long as the attempt has lasted. If the other attempt was faster
    only by chance, that is no more than a few mean latencies.
    """
    endpoint.backoff_until = max(endpoint.backoff_until, now + min(duration, MAX_BACKOFF_NS))
    rotation.update(state, endpoint)
    state.wake(endpoint.backoff_until, endpoint)
    ratio = min(duration / request.request_class.latency, MAX_LATENCY_RATIO)
    if ratio > endpoint.latency_ratio:
        endpoint.latency_ratio += LATENCY_RATIO_GAIN * (ratio - endpoint.latency_ratio)
        endpoint.load_cost = max(endpoint.load_cost, ratio)
        endpoint.last_seen = now
