"""The phases of a scale run: the failures and restarts of each."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Awaitable, Callable
from random import Random

from benchmarks.scale.cluster import Cluster
from benchmarks.scale.driver import Driver
from benchmarks.scale.fleet import until
from benchmarks.scale.measurements import Measurements
from benchmarks.scale.options import Options
from benchmarks.scale.world import DAY_S, FAILURES_A_DAY

RESTARTS_A_DAY = 18_000.0
RESTART_S = 1.0  # that a restarted node is down
FAILURE_S = 30.0  # that a failed node is down
LOSS_NOTICED_S = 16.0  # until a lost node's services have moved: its timeout and an assignment
BRIEF_LOSS_S = 1.0  # that a rack or a zone is down at least, in a run with short phases
MAX_STOPPED_S = 30.0
RESUMED_S = 2.0  # for a continued machine to take part again
ACCEPT_AGAIN_S = 60.0
MAX_RACK_NODES = 40

logger = logging.getLogger(__name__)


class Scenarios:
    """The phases, by the names that the option `--phases` takes."""

    def __init__(
        self, options: Options, cluster: Cluster, driver: Driver, measurements: Measurements
    ) -> None:
        self.tasks: list[asyncio.Task[None]] = []  # restarts that go on through later phases
        self._options = options
        self._cluster = cluster
        self._driver = driver
        self._measurements = measurements
        self._random = Random(options.seed)
        self._phase_s = options.seconds

    async def run(self) -> None:
        """Run the phases that the options name, in their order."""
        phases: dict[str, Callable[[], Awaitable[None]]] = {
            "steady": self._steady,
            "killed": self._leader_killed,
            "stopped": self._leader_stopped,
            "three": self._three_alive,
            "rack": self._rack_lost,
            "zone": self._zone_lost,
        }
        for name in self._options.phases:
            await phases[name]()

    # ---- one node -----------------------------------------------------------------

    async def _steady(self) -> None:
        """Changes, restarts, and the loss of one node."""
        cluster = self._cluster
        async with cluster.phase("steady", self._measurements):
            self.tasks.append(asyncio.create_task(self._restart_nodes()))
            lost = [cluster.world.nodes[-1].name]
            before = await cluster.assignment_generation()
            await cluster.nodes_down(lost)
            await asyncio.sleep(max(self._phase_s, LOSS_NOTICED_S))
            await self._check_loss_noticed(before)
            await cluster.nodes_up(lost)

    async def _check_loss_noticed(self, generation_before: int) -> None:
        statuses = await self._cluster.control_statuses()
        touched = {row["assignment"]["touched"] for row in statuses.values()}
        self._measurements.notes["nodes_touched_by_one_loss"] = max(touched)
        moved = await self._cluster.assignment_generation() > generation_before
        detail = f"touched {sorted(touched)}"
        self._measurements.check("one node's loss is noticed", moved, detail)

    async def _restart_nodes(self) -> None:
        """Restart and fail nodes at the stated multiple of the daily rates, until cancelled."""
        rate = (RESTARTS_A_DAY + FAILURES_A_DAY) / DAY_S * self._options.failures
        if not rate:
            return
        while True:
            await asyncio.sleep(self._random.expovariate(rate))
            name = self._random.choice(self._cluster.world.nodes).name
            if name in self._cluster.down:
                continue
            failed = self._random.random() < FAILURES_A_DAY / (RESTARTS_A_DAY + FAILURES_A_DAY)
            await self._cluster.nodes_down([name])
            down_s = FAILURE_S if failed else RESTART_S
            self.tasks.append(asyncio.create_task(self._start_later(name, down_s)))

    async def _start_later(self, name: str, seconds: float) -> None:
        await asyncio.sleep(seconds)
        await self._cluster.nodes_up([name])

    # ---- control machines -----------------------------------------------------------

    async def _leader_killed(self) -> None:
        killed = self._cluster.leader("east")
        logger.info("SIGKILL to %s, which leads its region", killed.name)
        async with self._cluster.phase("one killed", self._measurements):
            killed.signal(signal.SIGKILL)
            await asyncio.sleep(self._phase_s)
        killed.start()

    async def _leader_stopped(self) -> None:
        stopped = self._cluster.leader("west")
        seconds = min(MAX_STOPPED_S, 1.2 * self._phase_s)
        logger.info("SIGSTOP to %s for %g s, which leads its region", stopped.name, seconds)
        async with self._cluster.phase("one stopped", self._measurements):
            stopped.signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            stopped.signal(signal.SIGCONT)
            await asyncio.sleep(RESUMED_S)

    async def _three_alive(self) -> None:
        """Kill one machine of the east and two of the west.

        The west then accepts no changes, and its services are served as they were. A majority of
        the west has lost its log when it comes back: the region is loaded again from its source
        file, which holds what was accepted.
        """
        cluster = self._cluster
        await self._stop_changes_in_the_west()
        killed = [cluster.controls[name] for name in ("east-b", "west-b", "west-c")]
        logger.info("SIGKILL to %s", ", ".join(control.name for control in killed))
        async with cluster.phase("three alive", self._measurements):
            for control in killed:
                control.signal(signal.SIGKILL)
            await asyncio.sleep(self._phase_s)
        for control in killed:
            control.start()
        elapsed_s = await until(
            "both regions accept again", ACCEPT_AGAIN_S, cluster.accepting_again
        )
        self._measurements.notes["back_from_three_s"] = round(elapsed_s, 2)
        cluster.accepted.begin("west", await cluster.log_version("west"))
        self._driver.regions = set(cluster.accepted.versions)

    async def _stop_changes_in_the_west(self) -> None:
        self._driver.regions = {"east"}
        await self._driver.settle()
        await self._driver.catch_up()
        source = self._cluster.folder / "backends.jsonl"
        await asyncio.to_thread(self._cluster.accepted.write_source, source)

    # ---- many nodes -------------------------------------------------------------------

    async def _rack_lost(self) -> None:
        cluster = self._cluster
        zone = [node.name for node in cluster.world.nodes if node.zone == "east-2"]
        size = min(MAX_RACK_NODES, max(1, self._options.sizes.nodes // 6))
        rack = zone[:size]
        logger.info("a rack of %d nodes is lost and starts again without state", len(rack))
        await self._lose("rack lost", rack)
        async with cluster.phase("rack back", self._measurements):
            await cluster.nodes_up(rack)
            await asyncio.sleep(self._phase_s / 2)

    async def _zone_lost(self) -> None:
        cluster = self._cluster
        zone = [node.name for node in cluster.world.nodes if node.zone == "west-1"]
        logger.info("a zone of %d nodes is lost and starts again without state", len(zone))
        await self._lose("zone lost", zone)
        async with cluster.phase("zone back", self._measurements):
            before = len(self._measurements.samples)
            await cluster.nodes_up(zone)
            await asyncio.sleep(self._phase_s)
        rates = [sample.snapshots for sample in self._measurements.samples[before:]]
        self._measurements.notes["zone_back"] = {
            "nodes": len(zone),
            "snapshots": sum(rates),
            "most_a_second": max(rates, default=0),
        }

    async def _lose(self, phase: str, names: list[str]) -> None:
        """Stop the nodes, in a long run until their services have moved to others."""
        minimum_s = LOSS_NOTICED_S if self._phase_s > LOSS_NOTICED_S else BRIEF_LOSS_S
        async with self._cluster.phase(phase, self._measurements):
            await self._cluster.nodes_down(names)
            await asyncio.sleep(max(self._phase_s / 2, minimum_s))
