"""Real nodes of a scale run: each serves one service, and polls a control machine for its list."""

from __future__ import annotations

import contextlib
from pathlib import Path

from benchmarks.scale.budget import Budget
from fakes.files import write_config
from fakes.node import SETTINGS
from fakes.processes import Process, running_process
from loadbalancer.control.machine.file import ScaleFile


class RealNodes:
    """One real node for each bound listener of the file."""

    def __init__(self, file: ScaleFile, folder: Path, budget: Budget) -> None:
        self._bound_listeners = file.bound_listeners
        self._folder = folder
        self._budget = budget
        self._stack = contextlib.ExitStack()
        self._nodes: dict[str, Process] = {}

    def start(self) -> None:
        """Start all nodes."""
        for i, bound in enumerate(self._bound_listeners):
            path = write_config(self._folder / f"real-{i}.json", SETTINGS, None)
            environment = {"PROXY_CONFIG": str(path), "PROXY_DISCOVERY": str(bound.listen)}
            process = self._stack.enter_context(
                running_process(("-m", "loadbalancer"), environment)
            )
            process.collect_log()
            self._budget.pids.add(process.child.pid)
            self._nodes[bound.service] = process

    def verdict(self) -> dict[str, dict[str, bool]]:
        """Return, by service, whether its node is ready; in the form of the result's notes."""
        return {service: {"ready": node.is_ready()} for service, node in self._nodes.items()}

    def close(self) -> None:
        """End all nodes."""
        self._stack.close()
