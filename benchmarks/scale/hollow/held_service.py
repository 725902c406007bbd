"""One service that a hollow node holds: its endpoint list and its Balancer."""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import Any, cast

from benchmarks.scale.hollow.actions import HollowActions
from benchmarks.scale.hollow.shared import CLASSES, ZONES, Shared
from loadbalancer.config.node import Config
from loadbalancer.core.balancing.balancer import Balancer
from loadbalancer.sources.endpoint_list import EndpointList, backend_id


class HeldService:
    """A node's list of one service, and the Balancer that chooses from it."""

    def __init__(self, shared: Shared, service: str, node: str, zone: str, seed: int) -> None:
        config = cast(Config, SimpleNamespace(zones=ZONES, kinds=("m2",)))
        settings = shared.settings(service, zone)
        self._endpoints = EndpointList(config)
        self._actions = HollowActions(shared, node, settings.drain_grace)
        self._balancer = Balancer(settings, seed, self._actions)
        self._actions.balancer = self._balancer
        self._balancer.start(time.monotonic_ns())
        self._revision = 0

    @property
    def row_count(self) -> int:
        """Rows of the list."""
        return len(self._endpoints.endpoints)

    def apply(self, complete: bool, rows: list[dict[str, Any]]) -> None:
        """Apply a complete list or a change of it, as a node does."""
        self._revision += 1
        raw = {"rev": self._revision, "all": complete, "targets": rows}
        update, listings, endpoints = self._endpoints.decode(raw)
        self._endpoints.apply(self._revision, update, listings, endpoints)
        now = time.monotonic_ns()
        self._note_drains(now, complete, rows)
        self._balancer.on_members(now, update, listings)

    def _note_drains(self, now: int, complete: bool, rows: list[dict[str, Any]]) -> None:
        """Note since when each backend has been draining, for the check of probes."""
        noticed = self._actions.drain_noticed
        if complete:
            listed = {backend_id(row["uid"]) for row in rows}
            for backend in [backend for backend in noticed if backend not in listed]:
                noticed[backend] = min(noticed[backend], now)
        for row in rows:
            backend = backend_id(row["uid"])
            if row["state"] == "active":
                noticed.pop(backend, None)
            else:
                noticed.setdefault(backend, now)

    def send_probe(self, request: int) -> None:
        """Let the Balancer choose a backend for one request."""
        self._balancer.on_request(time.monotonic_ns(), request, 0, CLASSES[0].deadline)

    def close(self) -> None:
        """End the Balancer's timers."""
        self._actions.close()
