"""The nodes of one process, and the process's report."""

from __future__ import annotations

import asyncio
import resource
import time
from collections import Counter
from collections.abc import Coroutine, Mapping, Sequence
from pathlib import Path
from typing import Any

from benchmarks.scale.hollow.node import HollowNode
from benchmarks.scale.hollow.peak_bytes import READING_INTERVAL_S, PeakBytes
from benchmarks.scale.hollow.plan import HostPlan, NodePlace
from benchmarks.scale.hollow.shared import Shared
from benchmarks.scale.host_status import HostStatus
from benchmarks.scale.steps import DOWN, UP, StepWriter

FLUSH_INTERVAL_S = 0.5
LOOP_INTERVAL_S = 0.1  # between two readings of the event loop's delay
REPORTED_FAULTS = 10


class HollowHost:
    """Starts and stops nodes, and adds up what they use."""

    def __init__(self, plan: HostPlan, places: Mapping[str, NodePlace]) -> None:
        self._places = places
        self._shared = Shared(plan, StepWriter(plan.steps))
        self._nodes: dict[str, HollowNode] = {}
        self._loop_delay_s = 0.0  # the longest
        self._peak_bytes = PeakBytes()
        # Of nodes that were stopped:
        self._sent = 0
        self._received = 0
        self._events: Counter[str] = Counter()

    def start_nodes(self, names: Sequence[str]) -> None:
        """Start nodes that hold nothing yet; those that run are left alone."""
        for name in names:
            if name not in self._nodes:
                node = self._nodes[name] = HollowNode(self._shared, name, self._places[name])
                self._shared.steps.write(node.number, UP)
                node.start()

    def stop_nodes(self, names: Sequence[str]) -> None:
        """Stop nodes without notice."""
        for name in names:
            node = self._nodes.pop(name, None)
            if node is not None:
                node.close()
                self._sent += node.subscriber.counts.sent_bytes
                self._received += node.subscriber.counts.received_bytes
                self._events.update(node.subscriber.counts.events)
                self._shared.steps.write(node.number, DOWN)

    def reset_maxima(self) -> None:
        """Begin the loop's longest delay and the peak of bytes anew."""
        self._loop_delay_s = 0.0
        self._peak_bytes.reset()

    def status(self) -> HostStatus:
        """Return the process's report."""
        nodes = self._nodes.values()
        subscribers = [node.subscriber.counts for node in nodes]
        services = [service for node in nodes for service in node.services.values()]
        events = self._events.copy()
        for counts in subscribers:
            events.update(counts.events)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return HostStatus(
            at_ns=time.monotonic_ns(),
            nodes=len(nodes),
            services=len(services),
            rows=sum(service.row_count for service in services),
            bytes_held=sum(node.holder.retained_bytes for node in nodes),
            sent=self._sent + sum(counts.sent_bytes for counts in subscribers),
            received=self._received + sum(counts.received_bytes for counts in subscribers),
            cpu_s=usage.ru_utime + usage.ru_stime,
            rss=_resident_bytes(),
            behind_s=self._loop_delay_s,
            worst_bytes=self._peak_bytes.any_node,
            worst_warm_bytes=self._peak_bytes.running_node,
            counts=dict(self._shared.counts),
            events=dict(events),
            faults=self._shared.faults[:REPORTED_FAULTS],
            fault_count=len(self._shared.faults),
        )

    def flush(self) -> None:
        """Write the steps out."""
        self._shared.steps.flush()

    # ---- watches -------------------------------------------------------------------

    def watches(self) -> list[Coroutine[Any, Any, None]]:
        """Return what has to run beside the nodes, until cancelled."""
        return [self._flush_steps(), self._watch_loop(), self._watch_bytes()]

    async def _flush_steps(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()

    async def _watch_loop(self) -> None:
        """Measure the event loop's delay: the times of a late process say nothing of control."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(LOOP_INTERVAL_S)
            delay_s = time.monotonic() - before - LOOP_INTERVAL_S
            self._loop_delay_s = max(self._loop_delay_s, delay_s)

    async def _watch_bytes(self) -> None:
        while True:
            totals = {name: node.control_bytes for name, node in self._nodes.items()}
            self._peak_bytes.read(totals)
            await asyncio.sleep(READING_INTERVAL_S)


def _resident_bytes() -> int:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()
