"""The whole fleet in one run: six real control machines, hollow nodes, some real nodes.

    python -m benchmarks.scale run [--quick] [--nodes N] [--backends N] [--services N] ...

Each hollow node runs the project's own decision and state modules with its own connections and
timers; only its request traffic is left out. Changes and failures come at a stated multiple of
the target's daily rates while control machines are killed and stopped, and a rack and a zone are
lost and start again without state. A referee checks each step of each node. Times are of this
machine's monotonic clock, which all processes share.

Progress goes to standard error; the last line of standard output is one JSON object. Exit status
0: the run ended and all checks passed; 1: a check failed, or a budget ended the run; 2: bad input.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import logging
import shutil
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from benchmarks.scale.budget import BudgetError
from benchmarks.scale.cluster import Cluster
from benchmarks.scale.driver import Driver
from benchmarks.scale.fleet import until
from benchmarks.scale.measurements import Measurements, SnapshotSample
from benchmarks.scale.options import Options, add_arguments, options_from
from benchmarks.scale.referee import Referee
from benchmarks.scale.report import write_report
from benchmarks.scale.results import RunData, result_of
from benchmarks.scale.scenarios import Scenarios
from benchmarks.scale.world import CHANGES_A_DAY, DAY_S, Sizes, World, WorldError

LOAD_S = 60.0  # for the regions' logs to be loaded
COLD_START_S = 240.0  # for all nodes to hold their services
BUDGET_INTERVAL_S = 2.0
SAMPLE_INTERVAL_S = 1.0
PROPAGATION_HOLDS = 2  # polls at the end, for the last change to be in force

logger = logging.getLogger(__name__)


class Run:
    """One run, from the start of its processes to its result."""

    def __init__(self, options: Options, folder: Path) -> None:
        self._options = options
        self._cluster = Cluster(options, folder)
        self._measurements = Measurements()
        self._driver: Driver | None = None  # until the logs are loaded
        self._scenarios: Scenarios | None = None
        self._load_tasks: list[asyncio.Task[None]] = []
        self._sampling: asyncio.Task[None] | None = None

    async def run(self) -> dict[str, Any]:
        """Run all phases and return the result as JSON, also of a run that was cut off."""
        stopped = ""
        try:
            await self._run_within_budget()
        except BudgetError as err:
            stopped = str(err)
        except TimeoutError as err:
            detail = f"{err}; {await self._cluster.describe_controls()}"
            self._measurements.check("in time", False, detail)
            if self._driver is not None:
                await self._driver.catch_up()
        finally:
            self._cancel_load()
            if self._sampling is not None:
                self._sampling.cancel()
            await self._cluster.close()
        return self._result(stopped)

    async def _run_within_budget(self) -> None:
        """Run the phases until they end or a budget is reached, which raises BudgetError."""
        loop = asyncio.get_running_loop()
        watch = loop.create_task(self._watch_budget())
        phases = loop.create_task(self._run_phases())
        done, pending = await asyncio.wait((watch, phases), return_when=asyncio.FIRST_COMPLETED)
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
        for task in done:
            task.result()

    async def _watch_budget(self) -> None:
        while True:
            await asyncio.to_thread(self._cluster.budget.check)
            await asyncio.sleep(BUDGET_INTERVAL_S)

    async def _run_phases(self) -> None:
        driver = await self._start_controls()
        await self._start_nodes()
        self._load_tasks.append(asyncio.create_task(driver.drive()))
        self._load_tasks.append(asyncio.create_task(driver.follow()))
        self._scenarios = Scenarios(self._options, self._cluster, driver, self._measurements)
        await self._scenarios.run()
        await self._finish(driver)

    async def _start_controls(self) -> Driver:
        """Start the control machines, and follow their logs from where they are."""
        cluster = self._cluster
        cluster.start_controls()
        elapsed_s = await until("regions loaded", LOAD_S, cluster.logs_loaded)
        logger.info("six control machines have both logs after %.1f s", elapsed_s)
        for region in cluster.accepted.regions.values():
            cluster.accepted.versions.setdefault(region, 0)
        status = await asyncio.to_thread(next(iter(cluster.controls.values())).status)
        for region, log in status["logs"].items():
            cluster.accepted.begin(region, log["version"])
        rate = CHANGES_A_DAY / DAY_S * self._options.multiple
        self._driver = Driver(cluster.world, cluster.controls, cluster.accepted, rate)
        return self._driver

    async def _start_nodes(self) -> None:
        """Start all nodes at once, none of which holds anything yet."""
        cluster = self._cluster
        await cluster.start_hosts()
        self._sampling = asyncio.create_task(self._sample_snapshots())
        cluster.real.start()
        async with cluster.phase("cold start", self._measurements):
            await cluster.nodes_up()
            what = "all nodes hold their services"
            elapsed_s = await until(what, COLD_START_S, cluster.all_services_held)
        self._measurements.notes["cold_start_s"] = round(elapsed_s, 2)
        nodes = self._options.sizes.nodes
        logger.info("%d nodes hold their services after %.1f s", nodes, elapsed_s)
        await cluster.settle_hosts()

    async def _sample_snapshots(self) -> None:
        """Each second: count the snapshots that all machines have sent, until cancelled."""
        totals: Counter[str] = Counter()
        began = time.monotonic()
        while True:
            sent = 0
            for name, status in (await self._cluster.control_statuses()).items():
                total = status["counts"]["publisher"].get("snapshots", 0)
                sent += max(total - totals[name], 0)  # a restarted machine counts from 0
                totals[name] = total
            phases = self._measurements.phases
            second = round(time.monotonic() - began)
            sample = SnapshotSample(second, sent, phases[-1].name if phases else "")
            self._measurements.samples.append(sample)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _cancel_load(self) -> None:
        """End the changes and the nodes' restarts."""
        restarts = self._scenarios.tasks if self._scenarios is not None else []
        for task in (*self._load_tasks, *restarts):
            task.cancel()

    async def _finish(self, driver: Driver) -> None:
        """Wait until the last changes are in force, and read the log to its end."""
        self._cancel_load()
        await driver.settle()
        poll_s = self._options.hold + self._options.late
        await asyncio.sleep(PROPAGATION_HOLDS * poll_s + 1.0)
        await driver.catch_up()
        real_nodes = await asyncio.to_thread(self._cluster.real.verdict)
        self._measurements.notes["real_nodes"] = real_nodes
        for name, verdict in real_nodes.items():
            check = f"real node {name} serves its service"
            self._measurements.check(check, verdict["ready"], str(verdict))
        for host in self._cluster.hosts:
            await host.order("status")

    def _result(self, stopped: str) -> dict[str, Any]:
        cluster = self._cluster
        names = {number: node.name for number, node in enumerate(cluster.world.nodes)}
        referee = Referee(cluster.accepted, names)
        for host in cluster.hosts:
            if host.steps.exists():
                referee.read(host.steps)
        return result_of(
            RunData(
                options=self._options,
                node_names=list(names.values()),
                hosts=cluster.hosts,
                budget=cluster.budget,
                measurements=self._measurements,
                accepted=self._driver.accepted if self._driver is not None else [],
                driver_counts=dict(self._driver.counts) if self._driver is not None else {},
                stopped=stopped,
            ),
            referee,
        )


async def _run_in_temporary_folder(options: Options) -> dict[str, Any]:
    folder = Path(tempfile.mkdtemp(prefix="scale-"))
    try:
        return await Run(options, folder).run()
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the options of the sub-command."""
    add_arguments(parser)


def main(args: argparse.Namespace) -> None:
    """Run with these arguments and print the result as one JSON line."""
    try:
        options = options_from(args)
        World(Sizes(8, 8, 8, 0, 0), options.seed)  # checks the seed
    except WorldError as err:
        print(f"scale run: {err}", file=sys.stderr)
        raise SystemExit(2) from None
    logging.basicConfig(
        level=logging.INFO, format="%(asctime)s %(message)s", datefmt="%H:%M:%S", stream=sys.stderr
    )
    result = asyncio.run(_run_in_temporary_folder(options))
    if args.out is not None:
        write_report(result, args.out, args.name)
    print(json.dumps(result))
    raise SystemExit(0 if result["ok"] else 1)
