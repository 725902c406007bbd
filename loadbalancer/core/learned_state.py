"""What a Balancer has learned, as plain data for the process that succeeds it.

Times are written as spans before or after the moment of writing, so that the two
processes need no common clock. `parse` checks all of the data before `restore` changes
anything. Restored state is never more permissive than a fresh start: a cold endpoint
stays cold for the time that remained, and an ejected one stays ejected.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import isfinite
from typing import TYPE_CHECKING, Any, NamedTuple

from loadbalancer.core.balancing.concurrency_limit import MAX_LIMIT, MIN_LIMIT
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.balancing.outlier_detection import MAX_EJECTION_NS
from loadbalancer.core.balancing.records import FIRST_EJECTION_NS, REMAINING_STEPS
from loadbalancer.core.errors import ProtocolError

if TYPE_CHECKING:
    from loadbalancer.core.balancing.balancer import Balancer
    from loadbalancer.core.balancing.records import ClassState, Endpoint
    from loadbalancer.core.balancing.state import BalancerState

LONGEST_NS = 3600 * SECOND  # bound of any restored span
MAX_RATIO = 10.0  # bound of a restored latency ratio or load cost

# Keys of the exported data.
LIMIT, SEND_RATE, RETRY_CREDIT = "level", "send_rate", "retry_credit"
CLASSES, ENDPOINTS = "classes", "backends"


class LearnedStateError(ProtocolError, ValueError):
    """Malformed data; also a ValueError, as for any unsuitable value."""


class LearnedClass(NamedTuple):
    """What was learned of a request class, by its name; latencies in nanoseconds."""

    latency: float
    latency_samples: float
    base_latency: float
    share: int
    remaining_histogram: tuple[int, ...]


class LearnedEndpoint(NamedTuple):
    """What was learned of an endpoint, by its id; spans in ns."""

    latency_ratio: float
    load_cost: float
    cold: int  # remaining time of the slow start
    ejected: int  # remaining time of the ejection
    backoff: int  # length of the next ejection
    consecutive_failures: int


class LearnedState(NamedTuple):
    """What a Balancer has learned."""

    concurrency_limit: float
    send_rate: float
    retry_credit: float
    classes: Mapping[str, LearnedClass]
    endpoints: Mapping[int, LearnedEndpoint]


def export(balancer: Balancer, now: int) -> dict[str, Any]:
    """What this Balancer has learned, as data for JSON."""
    state = balancer.state
    return {
        LIMIT: state.concurrency_limit,
        SEND_RATE: state.send_rate,
        RETRY_CREDIT: state.retry_credit,
        CLASSES: {
            c.spec.name: [
                c.latency,
                c.latency_samples,
                c.base_latency,
                c.share,
                c.remaining_histogram,
            ]
            for c in state.classes
            if not c.retires_at  # a retired class may have the name of one in force
        },
        ENDPOINTS: {
            str(e.id): [
                e.latency_ratio,
                e.load_cost,
                max(e.cold_until - now, 0),
                max(e.ejected_until - now, 0),
                e.next_ejection_ns,
                e.consecutive_failures,
            ]
            for e in state.endpoints.values()
        },
    }


def parse(raw: Any) -> LearnedState:
    """Check exported data; raises LearnedStateError where any of it is malformed."""
    try:
        classes = {str(name): _parse_class(row) for name, row in raw[CLASSES].items()}
        endpoints = {int(key): _parse_endpoint(row) for key, row in raw[ENDPOINTS].items()}
        return LearnedState(
            min(max(_figure(raw[LIMIT]), MIN_LIMIT), MAX_LIMIT),
            _figure(raw[SEND_RATE]),
            _figure(raw[RETRY_CREDIT]),
            classes,
            endpoints,
        )
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as err:
        raise LearnedStateError(f"not what a Balancer has learned: {err}") from None


def restore(balancer: Balancer, now: int, learned: LearnedState) -> None:
    """Restore what was learned, for the classes and endpoints that are still known."""
    state = balancer.state
    state.now = now
    state.concurrency_limit = learned.concurrency_limit
    state.send_rate = learned.send_rate
    state.retry_credit = min(learned.retry_credit, state.retry_credit)
    for c in state.classes:
        learned_class = learned.classes.get(c.spec.name)
        if learned_class is not None:
            _restore_class(c, learned_class)
    for endpoint in state.endpoints.values():
        learned_endpoint = learned.endpoints.get(endpoint.id)
        if learned_endpoint is not None:
            _restore_endpoint(state, now, endpoint, learned_endpoint)
    balancer.update_caps()


def _parse_class(row: Any) -> LearnedClass:
    latency, samples, base, share, histogram = row
    return LearnedClass(
        _span(latency),
        _figure(samples),
        _span(base, 0.0),
        max(int(share), 1),
        _histogram(histogram),
    )


def _parse_endpoint(row: Any) -> LearnedEndpoint:
    ratio, cost, cold, ejected, backoff, failures = row
    return LearnedEndpoint(
        min(_figure(ratio), MAX_RATIO),
        min(_figure(cost), MAX_RATIO),
        int(_span(cold, 0.0)),
        int(_span(ejected, 0.0)),
        min(max(int(backoff), FIRST_EJECTION_NS), MAX_EJECTION_NS),
        max(int(failures), 0),
    )


def _restore_class(c: ClassState, learned: LearnedClass) -> None:
    c.latency, c.latency_samples = learned.latency, learned.latency_samples
    c.base_latency = learned.base_latency
    c.share = learned.share
    histogram = c.remaining_histogram = list(learned.remaining_histogram)
    c.remaining_samples = sum(histogram)
    c.usual_remaining_step = max(range(len(histogram)), key=histogram.__getitem__)


def _restore_endpoint(
    state: BalancerState, now: int, endpoint: Endpoint, learned: LearnedEndpoint
) -> None:
    endpoint.latency_ratio, endpoint.load_cost = learned.latency_ratio, learned.load_cost
    endpoint.last_seen = now
    endpoint.next_ejection_ns = learned.backoff
    endpoint.consecutive_failures = learned.consecutive_failures
    if learned.cold:
        endpoint.cold_until = max(endpoint.cold_until, now + learned.cold)
    if learned.ejected:
        endpoint.ejected_until = now + learned.ejected
        state.ejected += 1
        state.wake(endpoint.ejected_until, endpoint)


def _figure(value: Any) -> float:
    number = float(value)
    if not isfinite(number) or number < 0:
        raise LearnedStateError(f"{value!r} is no figure")
    return number


def _span(value: Any, minimum: float = 1.0) -> float:
    return min(max(_figure(value), minimum), float(LONGEST_NS))


def _histogram(value: Any) -> tuple[int, ...]:
    counts = tuple(int(_figure(count)) for count in value)
    if len(counts) != REMAINING_STEPS + 1:
        raise LearnedStateError("the times left are counted in other steps")
    return counts
