"""The processes of one scale run: control machines, hosts of hollow nodes, and real nodes."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from collections.abc import AsyncIterator, Collection
from pathlib import Path
from typing import Any

from benchmarks.scale.accepted import AcceptedServices
from benchmarks.scale.budget import GB, Budget
from benchmarks.scale.fleet import Control, Host, HostNode, controls_of
from benchmarks.scale.host_status import HostStatus
from benchmarks.scale.measurements import Measurements, Phase, Usage
from benchmarks.scale.options import Options
from benchmarks.scale.ports import first_of_free_ports
from benchmarks.scale.realnodes import RealNodes
from benchmarks.scale.world import REGIONS, BoundListener, World
from loadbalancer.control.machine.file import read_scale_file

PORTS = 40  # that one run uses, in a row
CONTROL_PORTS = 18  # of them: three for each of the six control machines
SMALL_SERVICE_BACKENDS = 200  # a real node serves one with fewer
BOUND_MACHINE = "east-a"  # whose lists the real nodes read
IDLE_S = 2.0  # over which a host's processor time without nodes is measured
# With --every the assignment gives each service to all nodes.
NODES_PER_ZONE_EVERYWHERE = 64
RATE_EVERYWHERE = 1e9  # requests a second that a node may get

logger = logging.getLogger(__name__)


class Cluster:
    """All processes of a run, the fleet they serve, and what the log says of it."""

    def __init__(self, options: Options, folder: Path) -> None:
        """Draw the fleet and write its files to `folder`; no process is started yet."""
        self.folder = folder
        self.budget = Budget(int(options.memory_gb * GB), options.processes)
        self.world = World(options.sizes, options.seed, options.every)
        path = self._write_files(options)
        self._file = read_scale_file(str(path))
        self.controls = controls_of(self._file, path, folder, self.budget)
        regions = {service.name: service.region for service in self.world.services}
        self.accepted = AcceptedServices(self.world.backends, regions)
        self.hosts = self._divide_nodes(options.hosts)
        self.real = RealNodes(self._file, folder, self.budget)
        self.down: set[str] = set()  # nodes that are stopped
        self._options = options

    def _write_files(self, options: Options) -> Path:
        port = first_of_free_ports(PORTS, options.seed)
        first_listener = port + CONTROL_PORTS
        ports = range(first_listener, first_listener + options.real)
        services = [one for one in self.world.services if one.backends < SMALL_SERVICE_BACKENDS]
        bound = [
            BoundListener(BOUND_MACHINE, service.name, f"127.0.0.1:{port}")
            for port, service in zip(ports, services, strict=False)
        ]
        rules: dict[str, float] = {}
        if options.every:
            rules = {"least_per_zone": NODES_PER_ZONE_EVERYWHERE, "node_rate": RATE_EVERYWHERE}
        return self.world.write(self.folder, port, bound, rules)

    def _divide_nodes(self, count: int) -> list[Host]:
        """Divide the nodes among `count` hosts, and one more with a single node.

        The memory of that process is the memory of one node: in the others, nodes share much.
        """
        nodes = [
            HostNode(node.name, node.region, node.zone, number)
            for number, node in enumerate(self.world.nodes)
        ]
        shares = [nodes[:1], *(nodes[1 + i :: count] for i in range(count))]
        return [
            Host(f"host-{i}", share, self.folder / f"steps-{i}.msgpack")
            for i, share in enumerate(shares)
        ]

    # ---- start and end -----------------------------------------------------------

    def start_controls(self) -> None:
        """Start the control machines."""
        for control in self.controls.values():
            control.start()

    async def start_hosts(self) -> None:
        """Start the hosts, without nodes, and measure what their event loops take alone."""
        plan = self._host_plan()
        await asyncio.gather(*(host.start(plan, self.budget) for host in self.hosts))
        before = await self.host_statuses()
        await asyncio.sleep(IDLE_S)
        after = await self.host_statuses()
        for host in self.hosts:
            first, last = before[host.name], after[host.name]
            host.idle = (last.cpu_s - first.cpu_s) / (last.at_ns - first.at_ns) * 1e9

    def _host_plan(self) -> dict[str, Any]:
        machines = [
            (m.spec.name, m.spec.region, m.subscribers.host, m.subscribers.port)
            for m in self._file.machines
        ]
        return {
            "machines": machines,
            "tenants": self._tenants_by_service(),
            "seed": self._options.seed,
            "hold": self._options.hold,
            "late": self._options.late,
            "stretch": self._options.stretch,
            "every": self._options.every,
        }

    def _tenants_by_service(self) -> dict[str, int]:
        """Divide the tenants evenly."""
        names = [service.name for service in self.world.services]
        each, remainder = divmod(self._options.sizes.tenants, len(names))
        return {name: each + (i < remainder) for i, name in enumerate(names)}

    async def close(self) -> None:
        """End all processes; the hosts write their steps out first."""
        await asyncio.gather(*(host.close() for host in self.hosts), return_exceptions=True)
        self.real.close()
        for control in self.controls.values():
            control.close()

    # ---- hollow nodes ------------------------------------------------------------

    async def nodes_up(self, names: Collection[str] | None = None) -> None:
        """Start these nodes, or all of them."""
        if names is not None:
            self.down.difference_update(names)
        await self._order("up", names)

    async def nodes_down(self, names: Collection[str]) -> None:
        """Stop these nodes without notice."""
        self.down.update(names)
        await self._order("down", names)

    async def _order(self, order: str, names: Collection[str] | None) -> None:
        orders = []
        for host in self.hosts:
            own = [node.name for node in host.nodes if names is None or node.name in names]
            if own:
                orders.append(host.order(order, nodes=own))
        await asyncio.gather(*orders)

    async def settle_hosts(self) -> None:
        """Begin the hosts' maxima anew, and let them collect garbage once."""
        await asyncio.gather(*(host.order("settle") for host in self.hosts))

    async def host_statuses(self) -> dict[str, HostStatus]:
        """Return each host's report, by name."""
        statuses = await asyncio.gather(*(host.order("status") for host in self.hosts))
        return {host.name: status for host, status in zip(self.hosts, statuses, strict=True)}

    async def all_services_held(self) -> bool:
        """Whether each service is at as many nodes as the assignment demands."""
        hosts = await self.host_statuses()
        statuses = await self.control_statuses()
        assigned = {row["assignment"]["pairs"] for row in statuses.values()}
        present = sum(status.services for status in hosts.values())
        logger.info("  %d of %d services held", present, max(assigned, default=0))
        return len(assigned) == 1 and present >= max(assigned)

    # ---- control machines ----------------------------------------------------------

    async def control_statuses(self) -> dict[str, dict[str, Any]]:
        """Return `/status` of the control machines that answer, by name."""

        def status_of(control: Control) -> dict[str, Any] | None:
            try:
                return control.status() if control.alive() else None
            except OSError:
                return None

        controls = self.controls.values()
        found = await asyncio.gather(*(asyncio.to_thread(status_of, one) for one in controls))
        rows = zip(self.controls, found, strict=True)
        return {name: row for name, row in rows if row is not None}

    def leader(self, region: str) -> Control:
        """Return the machine that reports that it leads a region; TimeoutError if none does."""
        for control in self.controls.values():
            if control.alive() and control.machine.spec.region == region:
                with contextlib.suppress(OSError):
                    if control.status()["role"] == "leader":
                        return control
        raise TimeoutError(f"region {region} has no leader")

    async def log_version(self, region: str) -> int:
        """Return the version of a region's log at its leader."""
        status = await asyncio.to_thread(self.leader(region).status)
        return int(status["logs"][region]["version"])

    async def assignment_generation(self) -> int:
        """Return the highest generation of the assignment at any machine."""
        statuses = (await self.control_statuses()).values()
        return max((int(row["assignment"]["generation"]) for row in statuses), default=0)

    async def logs_loaded(self) -> bool:
        """Whether all machines have both regions' logs at the same versions."""
        statuses = await self.control_statuses()
        logs = [tuple(log["version"] for log in row["logs"].values()) for row in statuses.values()]
        return len(statuses) == len(self.controls) and len(set(logs)) == 1 and all(logs[0])

    async def accepting_again(self) -> bool:
        """Whether each region has a leader, and all machines the west's new log."""
        statuses = await self.control_statuses()
        rows = statuses.values()
        leaders = {row["region"] for row in rows if row["role"] == "leader"}
        versions = {row["logs"]["west"]["version"] for row in rows}
        empty = any(row["needs_load"] or row["role"] == "empty" for row in rows)
        complete = len(statuses) == len(self.controls) and len(leaders) == len(REGIONS)
        agreed = len(versions) == 1 and versions != {self.accepted.versions["west"]}
        return complete and agreed and not empty

    async def describe_controls(self) -> str:
        """Return each machine's role and positions, for the error of a run that timed out."""
        return ", ".join(
            f"{name} {row['role']} {[log['position'] for log in row['logs'].values()]}"
            for name, row in (await self.control_statuses()).items()
        )

    # ---- phases ----------------------------------------------------------------------

    @contextlib.asynccontextmanager
    async def phase(self, name: str, measurements: Measurements) -> AsyncIterator[None]:
        """Record all processes' reports before and after the body; a failed body ends no phase."""
        began = time.monotonic_ns()
        hosts = await self.host_statuses()
        before = Usage(hosts, await self.control_statuses())
        phase = Phase(name, began, before)
        measurements.phases.append(phase)
        logger.info("phase: %s", name)
        yield
        controls = await self.control_statuses()
        phase.ended = time.monotonic_ns()
        phase.after = Usage(await self.host_statuses(), controls)
