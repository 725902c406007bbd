"""What a Balancer has learned, as plain data for the process that succeeds it.

Times go as spans before or after the moment of writing, so no clock need be
shared. Reading checks the whole before anything is taken over; words of another
form raise ValueError and change nothing. Nothing here grants more than a fresh
start has earned: a cold backend stays cold for the time that was left, one that
was left alone stays so.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import isfinite
from typing import TYPE_CHECKING, Any, NamedTuple

from loadbalancer.core.balancing.balancer import BACKOFF, BACKOFF_MAX, LEFTS, MAX_LEVEL, MIN_LEVEL
from loadbalancer.core.balancing.model import SECOND

if TYPE_CHECKING:
    from loadbalancer.core.balancing.balancer import Balancer, ClassState, Endpoint

LONGEST = 3600 * SECOND  # no span that was learned is longer


class LearnedClass(NamedTuple):
    lat: float
    lat_n: float
    base: float
    share: int
    lefts: tuple[int, ...]


class LearnedBackend(NamedTuple):
    lat: float
    cost: float
    cold: int  # spans left, in nanoseconds
    down: int
    backoff: int
    strikes: int


class Learned(NamedTuple):
    level: float
    send_rate: float
    retry_credit: float
    classes: Mapping[str, LearnedClass]
    backends: Mapping[int, LearnedBackend]


def write(balancer: Balancer, now: int) -> dict[str, Any]:
    """What this Balancer has learned; JSON can carry it."""
    return {
        "level": balancer.concurrency_limit,
        "send_rate": balancer.send_rate,
        "retry_credit": balancer.retry_credit,
        "classes": {
            c.spec.name: [
                c.latency,
                c.latency_samples,
                c.base_latency,
                c.share,
                c.remaining_histogram,
            ]
            for c in balancer.classes
            if not c.retires_at  # one that was dropped may have the name of one that counts
        },
        "backends": {
            str(b.id): [
                b.latency_ratio,
                b.load_cost,
                max(b.cold_until - now, 0),
                max(b.ejected_until - now, 0),
                b.backoff,
                b.consecutive_failures,
            ]
            for b in balancer.endpoints.values()
        },
    }


def read(raw: Any) -> Learned:
    """Check such data whole; ValueError names nothing more than that it is none."""
    try:
        classes = {
            str(name): LearnedClass(
                _span(lat), _figure(n), _span(base, 0.0), max(int(share), 1), _lefts(lefts)
            )
            for name, (lat, n, base, share, lefts) in raw["classes"].items()
        }
        backends = {
            int(key): LearnedBackend(
                min(_figure(lat), 10.0), min(_figure(cost), 10.0), int(_span(cold, 0.0)),
                int(_span(down, 0.0)), min(max(int(backoff), BACKOFF), BACKOFF_MAX),
                max(int(strikes), 0),
            )
            for key, (lat, cost, cold, down, backoff, strikes) in raw["backends"].items()
        }  # fmt: skip
        return Learned(
            min(max(_figure(raw["level"]), MIN_LEVEL), MAX_LEVEL),
            _figure(raw["send_rate"]),
            _figure(raw["retry_credit"]),
            classes,
            backends,
        )
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as err:
        raise ValueError(f"not what a Balancer has learned: {err}") from None


def take_over(balancer: Balancer, now: int, learned: Learned) -> None:
    """Go on from there, for the classes and backends that are still known."""
    balancer.now = now
    balancer.concurrency_limit = learned.level
    balancer.send_rate = learned.send_rate
    balancer.retry_credit = min(learned.retry_credit, balancer.retry_credit)
    for c in balancer.classes:
        known = learned.classes.get(c.spec.name)
        if known is not None:
            _class(c, known)
    for b in balancer.endpoints.values():
        held = learned.backends.get(b.id)
        if held is not None:
            _backend(balancer, now, b, held)
    balancer.recap()


def _class(c: ClassState, known: LearnedClass) -> None:
    c.latency, c.latency_samples, c.base_latency = known.lat, known.lat_n, known.base
    c.share = known.share
    c.remaining_histogram = list(known.lefts)
    c.remaining_seen = sum(c.remaining_histogram)
    c.usual_remaining = max(
        range(len(c.remaining_histogram)), key=c.remaining_histogram.__getitem__
    )


def _backend(balancer: Balancer, now: int, b: Endpoint, held: LearnedBackend) -> None:
    b.latency_ratio, b.load_cost, b.last_seen = held.lat, held.cost, now
    b.backoff, b.consecutive_failures = held.backoff, held.strikes
    if held.cold:
        b.cold_until = max(b.cold_until, now + held.cold)
    if held.down:
        b.ejected_until = now + held.down
        balancer.ejected += 1
        balancer.remind(b.ejected_until, b)


def _figure(value: Any) -> float:
    number = float(value)
    if not isfinite(number) or number < 0:
        raise ValueError(f"{value!r} is no figure")
    return number


def _span(value: Any, least: float = 1.0) -> float:
    return min(max(_figure(value), least), float(LONGEST))


def _lefts(value: Any) -> tuple[int, ...]:
    counts = tuple(int(_figure(n)) for n in value)
    if len(counts) != LEFTS + 1:
        raise ValueError("the times left are counted in other steps")
    return counts
