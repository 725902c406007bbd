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
BACKENDS_PER_SERVICE = 27
SHARING_NODES = 8  # that take one service's requests
ID_MULTIPLIER = 0x9E3779B97F4A7C15  # 2**64 divided by the golden ratio: spreads small numbers
MAX_ID = (1 << 63) - 1
CYCLE_ROUNDS = 8


class IdleHost:
    """The host of a Balancer that gets no requests: no action has an effect."""

    def send(self, request: int, backend: int, timeout: int) -> None:
        """Send no attempt."""

    def refuse(self, request: int, retry_after: int) -> None:
        """Reject no request."""

    def fail(self, request: int) -> None:
        """Fail no request."""

    def cancel(self, request: int, attempt: int) -> None:
        """Cancel no attempt."""

    def set_timer(self, token: int, due: int) -> None:
        """Set no timer: a measurement calls `on_timer` itself."""

    def watch(self) -> None:
        """Watch no list."""

    def log(self, text: str) -> None:
        """Write no log line."""


def listing(number: int, state: State = State.READY) -> Listing:
    """One row of the list; numbers are spread as the hashed ids of real rows are."""
    return Listing((number * ID_MULTIPLIER) & MAX_ID, state)


def make_balancer(backends: int, nodes: int, tenants: tuple[Tenant, ...] = ()) -> Balancer:
    """A Balancer of one of `nodes` nodes, with so many ready backends of its zone."""
    settings = Settings(CLASSES, tenants, nodes=nodes)
    balancer = Balancer(settings, 1, IdleHost())
    balancer.start(1)
    balancer.on_members(1, Update.FULL, [listing(i) for i in range(backends)])
    return balancer


def drain_or_restore(balancer: Balancer) -> Callable[[], None]:
    """A call that updates one backend: it drains, and with the next call it is ready again."""
    rows = cycle([[listing(0, State.DRAINING)], [listing(0)]])
    return lambda: balancer.on_members(2, Update.DELTA, next(rows))


def by_backends(quick: bool) -> list[Slope]:
    """The costs of a node with every backend and as few concurrency slots as it may have."""
    sizes = (100, 200, 400) if quick else (15_000, 30_000, 60_000, 120_000)
    builds = {size: partial(make_balancer, size, ALL_NODES) for size in sizes}
    balancers = {size: build() for size, build in builds.items()}
    changes = {size: drain_or_restore(one) for size, one in balancers.items()}
    cycles = {size: partial(run_cycle, one) for size, one in balancers.items()}
    return [
        fit("balancer.memory", "bytes", "backend", meter.memory(builds, 1)),
        fit("balancer.change", "us", "backend", meter.cpu(changes, CYCLE_ROUNDS)),
        fit("balancer.cycle", "us", "backend", meter.cpu(cycles, CYCLE_ROUNDS)),
    ]


def by_slots(quick: bool) -> list[Slope]:
    """The cost of a cycle for each slot: classes' shares are allocated slot by slot."""
    backends = 400 if quick else 2_000
    balancers = [make_balancer(backends, nodes) for nodes in (4, 6, 8, 16, 64)]
    points = meter.cpu({one.state.max_in_flight: partial(run_cycle, one) for one in balancers})
    return [fit("balancer.cycle_by_slots", "us", "slot", points)]


def by_services(quick: bool) -> list[Slope]:
    """A Balancer for each service, without requests: bytes, and microseconds of a cycle of all."""
    sizes = (10, 20, 40) if quick else (50, 100, 200, 400)
    builds = {size: partial(make_group, size) for size in sizes}
    cycles = {size: partial(run_cycles, build()) for size, build in builds.items()}
    changes = {
        size: drain_or_restore(make_balancer(size, SHARING_NODES)) for size in (14, 27, 54, 108)
    }
    return [
        fit("service.memory", "bytes", "service", meter.memory(builds)),
        fit("service.cycle", "us", "service", meter.cpu(cycles)),
        fit("service.change", "us", "backend of the service", meter.cpu(changes)),
    ]


def make_group(size: int) -> list[Balancer]:
    """So many Balancers, each for a service of usual size."""
    return [make_balancer(BACKENDS_PER_SERVICE, SHARING_NODES) for _ in range(size)]


def run_cycle(balancer: Balancer) -> None:
    """The work that a Balancer does twice a second."""
    balancer.on_timer(SECOND, Timer.CYCLE)


def run_cycles(balancers: list[Balancer]) -> None:
    """The same of several."""
    for balancer in balancers:
        run_cycle(balancer)


def by_tenants(quick: bool) -> list[Slope]:
    """Bytes of a Settings and a Balancer with so many tenants and three classes."""
    sizes = (100, 200, 400) if quick else (16_000, 64_000, 256_000)

    builds = {size: partial(_balancer_with_tenants, size) for size in sizes}
    file_sizes = [meter.point(size, [_tenants_bytes(size)]) for size in sizes]
    return [
        fit("tenant.memory", "bytes", "tenant", meter.memory(builds, 1)),
        fit("tenant.bytes", "bytes", "tenant", file_sizes),
    ]


def _balancer_with_tenants(count: int) -> Balancer:
    tenants = tuple(Tenant(f"tenant-{i}", 1.0, 2.0) for i in range(count))
    return make_balancer(BACKENDS_PER_SERVICE, SHARING_NODES, tenants)


def _tenants_bytes(count: int) -> float:
    """Bytes of so many tenants in a node's configuration."""
    rows = [{"name": f"tenant-{i}", "portion": 1.0, "quota_per_s": 2.0} for i in range(count)]
    return float(len(json.dumps(rows)))
