"""Exports what a Balancer has learned, and restores it in the process that succeeds it.

The exported data is plain. Times are written as durations relative to the time of the export, so
that the two processes need no common clock. `parse` checks all of the data before `restore`
changes anything. Restored state is never more permissive than a fresh start: a cold endpoint
stays cold for the remaining time, and an ejected one stays ejected.
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

MAX_DURATION_NS = 3600 * SECOND  # upper bound of a restored duration
MAX_RATIO = 10.0  # upper bound of a restored latency ratio or load cost

# Keys of the exported data.
LIMIT, SEND_RATE, RETRY_CREDIT = "level", "send_rate", "retry_credit"
CLASSES, ENDPOINTS = "classes", "backends"


class LearnedStateError(ProtocolError, ValueError):
    """The exported data is malformed; also a ValueError, as for any unsuitable value."""


class LearnedClass(NamedTuple):
    """What was learned of a request class; latencies in nanoseconds."""

    latency: float
    latency_samples: float
    base_latency: float
    share: int
    remaining_histogram: tuple[int, ...]


class LearnedEndpoint(NamedTuple):
    """What was learned of an endpoint; durations in nanoseconds."""

    latency_ratio: float
    load_cost: float
    cold: int  # remaining time of its slow start
    ejected: int  # remaining time of its ejection
    next_ejection_ns: int
    consecutive_failures: int


class LearnedState(NamedTuple):
    """What a Balancer has learned: its classes by name, its endpoints by id."""

    concurrency_limit: float
    send_rate: float
    retry_credit: float
    classes: Mapping[str, LearnedClass]
    endpoints: Mapping[int, LearnedEndpoint]


def export(balancer: Balancer, now: int) -> dict[str, Any]:
    """Return what this Balancer has learned, as data that JSON can represent."""
    state = balancer.state
    return {
        LIMIT: state.concurrency_limit,
        SEND_RATE: state.send_rate,
        RETRY_CREDIT: state.retry_credit,
        CLASSES: {
            request_class.spec.name: [
                request_class.latency,
                request_class.latency_samples,
                request_class.base_latency,
                request_class.share,
                request_class.remaining_histogram,
            ]
            for request_class in state.classes
            if not request_class.retires_at  # a retired class may share its name with a current one
        },
        ENDPOINTS: {
            str(endpoint.id): [
                endpoint.latency_ratio,
                endpoint.load_cost,
                max(endpoint.cold_until - now, 0),
                max(endpoint.ejected_until - now, 0),
                endpoint.next_ejection_ns,
                endpoint.consecutive_failures,
            ]
            for endpoint in state.endpoints.values()
        },
    }


def parse(raw: Any) -> LearnedState:
    """Check and convert exported data; raises LearnedStateError if any of it is malformed."""
    try:
        classes = {str(name): _parse_class(row) for name, row in raw[CLASSES].items()}
        endpoints = {int(key): _parse_endpoint(row) for key, row in raw[ENDPOINTS].items()}
        return LearnedState(
            min(max(_non_negative(raw[LIMIT]), MIN_LIMIT), MAX_LIMIT),
            _non_negative(raw[SEND_RATE]),
            _non_negative(raw[RETRY_CREDIT]),
            classes,
            endpoints,
        )
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as err:
        raise LearnedStateError(
            f"learned state of another process is malformed, none is restored: {err}"
        ) from None


def restore(balancer: Balancer, now: int, learned: LearnedState) -> None:
    """Restore what was learned of the classes and endpoints that this Balancer knows too."""
    state = balancer.state
    state.now = now
    state.concurrency_limit = learned.concurrency_limit
    state.send_rate = learned.send_rate
    state.retry_credit = min(learned.retry_credit, state.retry_credit)
    for request_class in state.classes:
        learned_class = learned.classes.get(request_class.spec.name)
        if learned_class is not None:
            _restore_class(request_class, learned_class)
    for endpoint in state.endpoints.values():
        learned_endpoint = learned.endpoints.get(endpoint.id)
        if learned_endpoint is not None:
            _restore_endpoint(state, now, endpoint, learned_endpoint)
    balancer.update_caps()


def _parse_class(row: Any) -> LearnedClass:
    latency, samples, base, share, histogram = row
    return LearnedClass(
        _duration(latency),
        _non_negative(samples),
        _duration(base, 0.0),
        max(int(share), 1),
        _histogram(histogram),
    )


def _parse_endpoint(row: Any) -> LearnedEndpoint:
    ratio, cost, cold, ejected, next_ejection, failures = row
    return LearnedEndpoint(
        min(_non_negative(ratio), MAX_RATIO),
        min(_non_negative(cost), MAX_RATIO),
        int(_duration(cold, 0.0)),
        int(_duration(ejected, 0.0)),
        min(max(int(next_ejection), FIRST_EJECTION_NS), MAX_EJECTION_NS),
        max(int(failures), 0),
    )


def _restore_class(state: ClassState, learned: LearnedClass) -> None:
    state.latency, state.latency_samples = learned.latency, learned.latency_samples
    state.base_latency = learned.base_latency
    state.share = learned.share
    histogram = state.remaining_histogram = list(learned.remaining_histogram)
    state.remaining_samples = sum(histogram)
    state.usual_remaining_step = max(range(len(histogram)), key=histogram.__getitem__)


def _restore_endpoint(
    state: BalancerState, now: int, endpoint: Endpoint, learned: LearnedEndpoint
) -> None:
    endpoint.latency_ratio, endpoint.load_cost = learned.latency_ratio, learned.load_cost
    endpoint.last_seen = now
    endpoint.next_ejection_ns = learned.next_ejection_ns
    endpoint.consecutive_failures = learned.consecutive_failures
    if learned.cold:
        endpoint.cold_until = max(endpoint.cold_until, now + learned.cold)
    if learned.ejected:
        endpoint.ejected_until = now + learned.ejected
        state.ejected += 1
        state.wake(endpoint.ejected_until, endpoint)


def _non_negative(value: Any) -> float:
    number = float(value)
    if not isfinite(number) or number < 0:
        raise LearnedStateError(f"{value!r} is not a finite number from 0 on")
    return number


def _duration(value: Any, minimum: float = 1.0) -> float:
    return min(max(_non_negative(value), minimum), float(MAX_DURATION_NS))


def _histogram(value: Any) -> tuple[int, ...]:
    counts = tuple(int(_non_negative(count)) for count in value)
    if len(counts) != REMAINING_STEPS + 1:
        raise LearnedStateError("the histogram of remaining times has another number of buckets")
    return counts
