"""Simulated service with gossip against without, on the same seeds."""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from multiprocessing import Pool
from typing import Any, NamedTuple

from benchmarks.stats import spread
from loadbalancer.core.balancing.model import SECOND
from simulation.service_world.counters import Count
from simulation.service_world.faults import Fault, cause
from simulation.service_world.settings import ServicePlan
from simulation.service_world.world import ServiceWorld

SERVER_RATE = 200  # requests a second that one server can do
HOT_WEIGHT = 10  # times what another node gets
CLIENTS_END_NS = 30 * SECOND  # of simulated time, as the next two
SCENARIO_BEGINS_NS = 8 * SECOND
MEASURED_END_NS = 18 * SECOND
# Before its first attempt has timed out no node can know of a silent server.
FIRST_TIMEOUT_NS = 3 * SECOND // 2


class Scenario(StrEnum):
    """What happens to the fleet, by its name in the result; all but UNEVEN are `Fault`s."""

    DRAIN = "drain"
    SILENT = "silent"
    REPLACED = "replaced"
    SLOW = "slow"
    TIGHT = "tight"
    KILL = "kill"
    UNEVEN = "uneven"  # three nodes get ten times what others do
    CUT = "cut"


class Fleet(NamedTuple):
    """How large a scenario's fleet is; `rate` in requests a second over all nodes."""

    nodes: int
    servers: int
    rate: float
    hot_nodes: int = 0


def _large_fleet(load: float, hot_nodes: int = 0) -> Fleet:
    """100 nodes and 135 servers at this part of what the servers can do."""
    return Fleet(100, 135, load * 135 * SERVER_RATE, hot_nodes)


FLEETS = {
    Scenario.DRAIN: Fleet(40, 40, 2500.0),
    Scenario.SILENT: Fleet(100, 135, 10000.0),
    Scenario.REPLACED: _large_fleet(0.5),
    Scenario.SLOW: _large_fleet(0.5),
    Scenario.TIGHT: _large_fleet(0.8),
    # 24 servers can do 4,800 a second, and with three of them silent 0.92 of 4,560.
    Scenario.KILL: Fleet(10, 24, 4560.0),
    Scenario.UNEVEN: _large_fleet(0.8, hot_nodes=3),
    Scenario.CUT: _large_fleet(0.8, hot_nodes=3),
}
# Attempts that a node would not make if it knew of the scenario.
FUTILE_ATTEMPTS = {
    Scenario.DRAIN: Count.SENT_TO_DRAINED,
    Scenario.SILENT: Count.SENT_TO_SILENT,
    Scenario.REPLACED: Count.SENT_TO_DOWN,
    Scenario.TIGHT: Count.REJECTED,
}


class Service(NamedTuple):
    """What one run came to."""

    served: float  # of the requests; a little over 1 where some came before the count began
    futile: int = 0  # attempts of FUTILE_ATTEMPTS
    futile_first: int = 0  # at a silent server, by nodes whose own attempts had not yet failed


def service_figures(seeds: int) -> dict[str, Any]:
    """Each scenario with so many seeds, without gossip and with."""
    figures: dict[str, Any] = {}
    for scenario in Scenario:
        jobs = [(scenario, gossip, seed) for seed in range(seeds) for gossip in (False, True)]
        with Pool() as pool:
            runs = pool.starmap(run, jobs)
        figures[scenario] = _comparison(scenario, without=runs[::2], with_gossip=runs[1::2])
    return figures


def run(scenario: Scenario, gossip: bool, seed: int) -> Service:
    """One run of a scenario; RuntimeError if an invariant of the simulation does not hold."""
    world = _make_world(FLEETS[scenario], gossip, seed)
    world.start_all()
    world.clients.run(CLIENTS_END_NS)
    world.run(SCENARIO_BEGINS_NS)
    world.counts.clear()
    if scenario is not Scenario.UNEVEN:
        cause(world, Fault(scenario.value))
    if scenario is Scenario.SILENT:
        world.run(world.now + FIRST_TIMEOUT_NS)
        world.counts.clear()
    world.run(MEASURED_END_NS)
    if world.breaches:
        raise RuntimeError(world.breaches[0])
    futile = FUTILE_ATTEMPTS.get(scenario)
    return Service(
        served=world.counts[Count.SERVED] / world.counts[Count.REQUESTS],
        futile=0 if futile is None else world.counts[futile],
        futile_first=world.counts[Count.SENT_TO_SILENT_FIRST],
    )


def _make_world(fleet: Fleet, gossip: bool, seed: int) -> ServiceWorld:
    return ServiceWorld(
        ServicePlan(
            nodes=fleet.nodes,
            servers=fleet.servers,
            seed=seed,
            gossip=gossip,
            rate=fleet.rate,
            hot_nodes=tuple(range(fleet.hot_nodes)),
            hot_weight=HOT_WEIGHT,
        )
    )


def _comparison(
    scenario: Scenario, without: Sequence[Service], with_gossip: Sequence[Service]
) -> dict[str, Any]:
    figures: dict[str, Any] = {
        "served_without": spread([one.served for one in without], 4),
        "served_with": spread([one.served for one in with_gossip], 4),
    }
    if scenario in FUTILE_ATTEMPTS:
        pairs = zip(without, with_gossip, strict=True)
        ratios = [after.futile / max(before.futile, 1) for before, after in pairs]
        figures["sent_to_the_bad_with_over_without"] = spread(ratios)
    if scenario is Scenario.SILENT:
        # A node whose own attempts had failed at the server tries it again, and has to.
        figures["sent_by_who_had_not_met_it"] = {
            "without": spread([one.futile_first for one in without], 0),
            "with": spread([one.futile_first for one in with_gossip], 0),
        }
    return figures
