"""When a hedged request (a second copy of a slow one) is sent, and what a cancelled copy shows.

Only for requests that may be repeated without effect, where the settings allow hedges
and cancelling and the route's policy asks for them: after a fixed time, or after a
percentile of the route's answer times. A hedge needs a free slot, part of the route's
allowance, and tokens of the retry budgets.

Times are nanoseconds.
"""

from __future__ import annotations

from loadbalancer.core.balancing import retries, rotation
from loadbalancer.core.balancing.latency import MAX_RATIO, RATIO_GAIN
from loadbalancer.core.balancing.model import Effect
from loadbalancer.core.balancing.outlier_detection import MAX_BACKOFF_NS
from loadbalancer.core.balancing.records import Endpoint, Request
from loadbalancer.core.balancing.response_times import ResponseTimes
from loadbalancer.core.balancing.state import BalancerState
from loadbalancer.core.routes.table import HedgingSpec

HEDGE_BURST = 2.0  # least bound of the hedges that a route accumulates


def may_hedge(state: BalancerState, request: Request) -> bool:
    """Whether the settings and the request allow another copy of it."""
    settings = state.settings
    allowed = settings.hedging and settings.can_cancel and request.effect == Effect.PURE
    if not allowed or request.response_started:
        return False
    return len(request.attempts) < retries.max_attempts(request)


def delay(spec: HedgingSpec, response_times: ResponseTimes) -> int:
    """How long after the first attempt a hedge is due; 0 where that is not known yet."""
    return spec.after or response_times.percentile(spec.percentile)


def allowance(spec: HedgingSpec, before: float, active: int) -> float:
    """The hedges that a route may send after one more request; `before`: before it."""
    return min(before + spec.max_part, max(HEDGE_BURST, spec.max_part * active))


def on_cancelled(
    state: BalancerState, now: int, request: Request, endpoint: Endpoint, duration: int
) -> None:
    """Learn from a cancelled copy: its duration so far is a lower bound of its latency.

    Otherwise a slow endpoint, whose copies are always cancelled, would never be measured.
    The endpoint may go on with cancelled work, and requests sent to it would queue behind
    that: so it backs off for as long as the attempt has lasted. Where the other copy was
    faster by chance, this is no more than a few mean latencies.
    """
    endpoint.backoff_until = max(endpoint.backoff_until, now + min(duration, MAX_BACKOFF_NS))
    rotation.update(state, endpoint)
    state.wake(endpoint.backoff_until, endpoint)
    ratio = min(duration / request.request_class.latency, MAX_RATIO)
    if ratio > endpoint.latency_ratio:
        endpoint.latency_ratio += RATIO_GAIN * (ratio - endpoint.latency_ratio)
        endpoint.load_cost = max(endpoint.load_cost, ratio)
        endpoint.last_seen = now
