"""Options of the scale run: the command line's arguments and their bounds."""

from __future__ import annotations

import argparse
from dataclasses import dataclass
from difflib import get_close_matches
from pathlib import Path

from benchmarks.scale.world import DAY_S, MAX_MULTIPLE, Sizes, WorldError

PHASES = ("steady", "killed", "stopped", "three", "rack", "zone")
CONTROL_MACHINES = 6
MEMORY_PER_PROCESS_GB = 0.05  # an interpreter with its imports
MAX_MEMORY_GB = 12.0
MAX_PROCESSES = 200
MAX_HOSTS = 190
MAX_SERVICES_EVERYWHERE = 1024
MAX_NODES_EVERYWHERE = 256


@dataclass(frozen=True, slots=True)
class Options:
    """Options of one run; WorldError on construction names an option that is out of range."""

    sizes: Sizes
    seed: int
    hosts: int  # processes of hollow nodes
    multiple: float  # of the target's daily rate of changes
    failures: float  # multiple of the target's daily rate of restarts and failures
    seconds: float  # of each phase
    hold: float  # seconds that a control machine holds a poll
    late: float  # seconds beyond `hold` after which a machine counts as unresponsive
    stretch: int  # Balancers' cycles come this many times less often
    every: bool  # each node has every service
    real: int  # real nodes
    memory_gb: float  # of all processes together, 2**30 bytes
    processes: int  # at most
    phases: tuple[str, ...] = PHASES

    def __post_init__(self) -> None:
        """Check each option, then the options against each other."""
        self._check_phases()
        _check_range("--hosts", self.hosts, 1, MAX_HOSTS)
        _check_range("--multiple", self.multiple, 0.1, MAX_MULTIPLE)
        _check_range("--failures", self.failures, 0.0, MAX_MULTIPLE)
        _check_range("--seconds", self.seconds, 1.0, DAY_S)
        _check_range("--hold", self.hold, 0.5, 60.0)
        _check_range("--late", self.late, 0.1, 60.0)
        _check_range("--stretch", self.stretch, 1, 1_000)
        _check_range("--real", self.real, 0, 32)
        _check_range("--memory-gb", self.memory_gb, 0.001, MAX_MEMORY_GB)
        _check_range("--processes", self.processes, 1, MAX_PROCESSES)
        self._check_budget()
        self._check_sizes()

    def _check_phases(self) -> None:
        for phase in self.phases:
            if phase not in PHASES:
                near = get_close_matches(phase, PHASES, 1) or PHASES[:1]
                raise WorldError(f"--phases: [unknown] {phase!r}; did you mean {near[0]!r}?")

    def _check_budget(self) -> None:
        lone_host = this_process = 1
        processes = CONTROL_MACHINES + lone_host + self.hosts + self.real + this_process
        if processes > self.processes:
            raise WorldError(f"--processes: [budget] {self.processes}; {processes} are needed")
        memory_gb = MEMORY_PER_PROCESS_GB * processes
        if memory_gb > self.memory_gb:
            raise WorldError(f"--memory-gb: [budget] {self.memory_gb}; {memory_gb:.2f} are needed")

    def _check_sizes(self) -> None:
        if self.hosts > self.sizes.nodes:
            raise WorldError(f"--hosts: [range] {self.hosts} for {self.sizes.nodes} nodes")
        large = (
            self.sizes.services > MAX_SERVICES_EVERYWHERE or self.sizes.nodes > MAX_NODES_EVERYWHERE
        )
        if self.every and large:
            raise WorldError(
                f"--every: [range] at most {MAX_NODES_EVERYWHERE} nodes "
                f"and {MAX_SERVICES_EVERYWHERE} services"
            )


def _check_range(name: str, value: float, minimum: float, maximum: float) -> None:
    if not minimum <= value <= maximum:  # also true of NaN
        raise WorldError(f"{name}: [range] {value}; write {minimum:g} to {maximum:g}")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the run's options to a parser."""
    defaults = Sizes()
    for name in ("nodes", "backends", "services", "routes", "tenants"):
        parser.add_argument(f"--{name}", type=int, default=getattr(defaults, name))
    parser.add_argument("--quick", action="store_true", help="60 nodes, under a minute")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--hosts", type=int, default=12, help="processes of hollow nodes")
    parser.add_argument("--multiple", type=float, default=60.0, help="of the daily changes")
    parser.add_argument("--failures", type=float, default=10.0, help="multiple of daily failures")
    parser.add_argument("--seconds", type=float, default=40.0, help="of each phase")
    parser.add_argument("--hold", type=float, default=4.0, help="seconds a poll is held")
    parser.add_argument("--late", type=float, default=0.5, help="seconds until silence counts")
    parser.add_argument("--stretch", type=int, default=10, help="Balancers' cycles so much rarer")
    parser.add_argument("--every", action="store_true", help="baseline: nodes hold everything")
    parser.add_argument("--real", type=int, default=2, help="real nodes, one service each")
    parser.add_argument("--memory-gb", type=float, default=MAX_MEMORY_GB)
    parser.add_argument("--processes", type=int, default=MAX_PROCESSES)
    parser.add_argument("--phases", default=",".join(PHASES), help="what happens, in this order")
    parser.add_argument("--out", type=Path, help="folder for the result, its table and charts")
    parser.add_argument("--name", default="run", help="of the result's files")


def options_from(args: argparse.Namespace) -> Options:
    """Return the parsed arguments as options; WorldError names one that is out of range."""
    sizes = Sizes(args.nodes, args.backends, args.services, args.routes, args.tenants)
    values = {name: getattr(args, name) for name in Options.__slots__ if name != "sizes"}
    values["phases"] = tuple(name for name in args.phases.split(",") if name)
    if args.quick:
        sizes = Sizes(nodes=60, backends=1_000, services=40, routes=1_240, tenants=4_360)
        values |= {"hosts": 2, "seconds": 3.0, "stretch": 1, "multiple": 20.0, "failures": 1.0}
        values["hold"] = 1.5
    return Options(sizes, **values)
