"""The host of one Balancer of a hollow node: timers, and probes in place of requests."""

from __future__ import annotations

import asyncio
import time

from benchmarks.scale.hollow.shared import Shared
from loadbalancer.core.balancing.balancer import Balancer
from loadbalancer.core.balancing.model import MS, SECOND, Outcome, Timer


class HollowActions:
    """Implements `Actions` of one Balancer. Each probe is answered at once, with success."""

    def __init__(self, shared: Shared, node: str, drain_grace_ns: int) -> None:
        self.balancer: Balancer | None = None  # None before the start and after the end
        self.drain_noticed: dict[int, int] = {}  # monotonic ns by draining backend
        self._shared = shared
        self._node = node
        self._drain_grace_ns = drain_grace_ns
        self._timers: set[asyncio.TimerHandle] = set()

    def send(self, request: int, backend: int, timeout: int) -> None:  # noqa: ARG002 - part of Actions
        """Count the probe, and record a fault if its backend has been draining for too long."""
        now = time.monotonic_ns()
        noticed = self.drain_noticed.get(backend)
        self._shared.counts["probes sent"] += 1
        if noticed is not None and now - noticed > self._drain_grace_ns:
            late_s = (now - noticed) / SECOND
            fault = f"{self._node}: probe to {backend} {late_s:.3f} s after its drain"
            self._shared.faults.append(fault)
        asyncio.get_running_loop().call_soon(self._answer, request)

    def _answer(self, request: int) -> None:
        if self.balancer is not None:
            now = time.monotonic_ns()
            self.balancer.on_outcome(now, request, 0, Outcome.OK, MS, True)

    def refuse(self, request: int, retry_after: int) -> None:  # noqa: ARG002 - part of Actions
        """Count a probe for which there was no capacity."""
        self._shared.counts["probes refused"] += 1

    def fail(self, request: int) -> None:  # noqa: ARG002 - part of Actions
        """Count a probe that failed."""
        self._shared.counts["probes failed"] += 1

    def cancel(self, request: int, attempt: int) -> None:
        """Do nothing: an attempt has its answer before it could be cancelled."""

    def probe(self, backend: int) -> None:
        """Do nothing: no backend listens."""

    def watch(self) -> None:
        """Do nothing: the node's subscriber polls for the list."""

    def log(self, text: str) -> None:  # noqa: ARG002 - part of Actions
        """Count a line."""
        self._shared.counts["log lines"] += 1

    def set_timer(self, token: int, due: int) -> None:
        """Set a timer; that of the cycle takes `stretch` times as long."""
        wait_s = max(due - time.monotonic_ns(), 0) / SECOND
        if token == Timer.CYCLE:
            wait_s *= self._shared.plan.stretch
        loop = asyncio.get_running_loop()
        handle: asyncio.TimerHandle
        handle = loop.call_later(wait_s, lambda: self._fire(handle, token))
        self._timers.add(handle)

    def _fire(self, handle: asyncio.TimerHandle, token: int) -> None:
        self._timers.discard(handle)
        if self.balancer is None:
            return
        before = time.thread_time_ns()
        self.balancer.on_timer(time.monotonic_ns(), token)
        if token == Timer.CYCLE:
            self._shared.counts["cycles"] += 1
            self._shared.counts["cycles_cpu_ns"] += time.thread_time_ns() - before

    def close(self) -> None:
        """Cancel all timers; the Balancer is called no more."""
        self.balancer = None
        for handle in self._timers:
            handle.cancel()
        self._timers.clear()
