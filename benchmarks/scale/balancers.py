"""Slopes of `loadbalancer.core.Balancer`: by backends, by Balancers in one process, by tenants."""

from __future__ import annotations

import json
from collections.abc import Callable
from functools import partial
from itertools import cycle

from benchmarks.scale import meter
from benchmarks.scale.fit import Slope, fit
from loadbalancer.core import (
    Balancer,
    Effect,
    Listing,
    RequestClass,
    Settings,
    State,
    Tenant,
    Update,
)
from loadbalancer.core.balancing.model import MS, SECOND, Timer

CLASSES = (
    RequestClass("balance", 800 * MS, 2 * SECOND),
    RequestClass("credit", 750 * MS, 3 * SECOND, Effect.SIDE_EFFECT, priority_weight=5.0),
    RequestClass("report", 2 * SECOND, 5 * SECOND),
)
ALL_NODES = 7_800
BACKENDS_A_SERVICE = 27
SHARING = 8  # nodes that take one service's requests


class NoHost:
    """Actions of a Balancer that nobody asks anything."""

    def send(self, request: int, backend: int, timeout: int) -> None: ...
    def refuse(self, request: int, retry_after: int) -> None: ...
    def fail(self, request: int) -> None: ...
    def cancel(self, request: int, attempt: int) -> None: ...
    def set_timer(self, token: int, due: int) -> None: ...
    def watch(self) -> None: ...
    def log(self, text: str) -> None: ...


def listing(number: int, state: State = State.READY) -> Listing:
    """One row of the list; numbers are spread as the hashed ids of real rows are."""
    return Listing((number * 0x9E3779B97F4A7C15) & ((1 << 63) - 1), state)


def loaded(backends: int, nodes: int, tenants: tuple[Tenant, ...] = ()) -> Balancer:
    """A Balancer of one of `nodes` nodes that holds so many ready backends of its zone."""
    settings = Settings(CLASSES, tenants, nodes=nodes)
    balancer = Balancer(settings, 1, NoHost())
    balancer.start(1)
    balancer.on_members(1, Update.FULL, [listing(i) for i in range(backends)])
    return balancer


def changing(balancer: Balancer) -> Callable[[], None]:
    """A call that tells of one backend: it drains, and with the next call it is back."""
    rows = cycle([[listing(0, State.DRAINING)], [listing(0)]])
    return lambda: balancer.on_members(2, Update.DELTA, next(rows))


def by_backends(quick: bool) -> list[Slope]:
    """What a node that holds every backend pays, with as few slots as it may hold."""
    sizes = (100, 200, 400) if quick else (15_000, 30_000, 60_000, 120_000)
    balancers = {size: loaded(size, ALL_NODES) for size in sizes}
    held = {n: partial(loaded, n, ALL_NODES) for n in sizes}
    changed = {n: changing(b) for n, b in balancers.items()}
    cycled = {n: partial(b.on_timer, SECOND, Timer.CYCLE) for n, b in balancers.items()}
    return [
        fit("balancer.memory", "bytes", "backend", meter.memory(held, 1)),
        fit("balancer.change", "us", "backend", meter.cpu(changed, 8)),
        fit("balancer.cycle", "us", "backend", meter.cpu(cycled, 8)),
    ]


def by_slots(quick: bool) -> list[Slope]:
    """What a cycle pays for each slot held: classes' shares are dealt slot by slot."""
    backends = 400 if quick else 2_000
    balancers = [loaded(backends, nodes) for nodes in (4, 6, 8, 16, 64)]
    points = meter.cpu({b.state.total: partial(b.on_timer, SECOND, Timer.CYCLE) for b in balancers})
    return [fit("balancer.cycle_by_slots", "us", "slot", points)]


def by_services(quick: bool) -> list[Slope]:
    """A Balancer a service, nothing to do: bytes, and microseconds that one cycle of all takes."""
    sizes = (10, 20, 40) if quick else (50, 100, 200, 400)
    groups = {size: group(size) for size in sizes}
    held = {size: partial(group, size) for size in sizes}
    cycled = {size: partial(cycle_all, g) for size, g in groups.items()}
    changed = {size: changing(loaded(size, SHARING)) for size in (14, 27, 54, 108)}
    return [
        fit("service.memory", "bytes", "service", meter.memory(held)),
        fit("service.cycle", "us", "service", meter.cpu(cycled)),
        fit("service.change", "us", "backend of the service", meter.cpu(changed)),
    ]


def group(size: int) -> list[Balancer]:
    """So many Balancers, one a service of usual size."""
    return [loaded(BACKENDS_A_SERVICE, SHARING) for _ in range(size)]


def cycle_all(balancers: list[Balancer]) -> None:
    """The work that each does twice a second."""
    for balancer in balancers:
        balancer.on_timer(SECOND, Timer.CYCLE)


def by_tenants(quick: bool) -> list[Slope]:
    """Bytes of a Settings and a Balancer with so many tenants and three classes."""
    sizes = (100, 200, 400) if quick else (16_000, 64_000, 256_000)

    def built(size: int) -> Balancer:
        tenants = tuple(Tenant(f"tenant-{i}", 1.0, 2.0) for i in range(size))
        return loaded(BACKENDS_A_SERVICE, SHARING, tenants)

    def written(size: int) -> float:
        """Bytes of them in a configuration."""
        realms = [{"name": f"tenant-{i}", "portion": 1.0, "quota_per_s": 2.0} for i in range(size)]
        return float(len(json.dumps(realms)))

    held = {n: partial(built, n) for n in sizes}
    texts = [meter.point(n, [written(n)]) for n in sizes]
    return [
        fit("tenant.memory", "bytes", "tenant", meter.memory(held, 1)),
        fit("tenant.bytes", "bytes", "tenant", texts),
    ]
