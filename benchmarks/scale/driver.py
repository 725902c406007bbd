"""Hands changes in at a steady rate, and follows the log of what is accepted."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from random import Random
from typing import Any

from benchmarks.scale.fleet import Control, call
from benchmarks.scale.referee import Accepted, Books
from benchmarks.scale.world import DrawnChange, World
from loadbalancer.control.machine.version import position_of

RETRY_S = 0.25
GIVE_UP_S = 60.0  # for one change to be accepted
FOLLOW_S = 1.0


class Driver:
    """Changes of a world, each handed in until it is accepted."""

    def __init__(
        self, world: World, controls: dict[str, Control], books: Books, rate: float
    ) -> None:
        self.accepted: list[Accepted] = []
        self.counts: Counter[str] = Counter()
        self.regions: set[str] = set(books.versions)  # whose changes are handed in
        self._world = world
        self._controls = controls
        self._books = books
        self._rate = rate
        self._random = Random(world.seed + 1)
        self._leaders: dict[str, str] = {}
        self._handing: set[asyncio.Task[None]] = set()

    async def drive(self) -> None:
        """Hand changes in until cancelled; a Poisson stream."""
        while True:
            await asyncio.sleep(self._random.expovariate(self._rate))
            change = self._world.change()
            region = self._books.regions[change.service]
            if region not in self.regions:
                self.counts["not handed in: no majority"] += 1
                continue
            task = asyncio.create_task(self._hand_in(change, region))
            self._handing.add(task)
            task.add_done_callback(self._handing.discard)

    async def settle(self) -> None:
        """Wait until what was handed in is accepted or given up."""
        while self._handing:
            await asyncio.sleep(RETRY_S)

    async def _hand_in(self, change: DrawnChange, region: str) -> None:
        body = json.dumps([change.as_json()]).encode()
        began = time.monotonic_ns()
        while time.monotonic_ns() - began < GIVE_UP_S * 1e9:
            control = self._leader(region)
            if control is None:
                self.counts["no machine"] += 1
                await asyncio.sleep(RETRY_S)
                continue
            address = control.machine.admin
            try:
                status, answer = await asyncio.to_thread(call, address, "POST", "/changes", body)
            except OSError:
                status, answer = 0, b"{}"
            if status == 200:
                (row,) = json.loads(answer)
                revision = position_of(row["version"]).revision
                self.accepted.append(
                    Accepted(change.service, region, revision, row["accepted_ns"], began)
                )
                return
            self.counts[f"answered {status}"] += 1
            self._turn(region, control, status, answer)
            await asyncio.sleep(RETRY_S)
        self.counts["given up"] += 1

    def _leader(self, region: str) -> Control | None:
        """The machine to ask: the leader as last heard, or any that lives."""
        known = self._controls.get(self._leaders.get(region, ""))
        if known is not None and known.alive():
            return known
        living = [
            control
            for control in self._controls.values()
            if control.alive() and control.machine.spec.region == region
        ]
        return self._random.choice(living) if living else None

    def _turn(self, region: str, control: Control, status: int, answer: bytes) -> None:
        """To the leader that was named, or to nobody in particular."""
        self._leaders.pop(region, None)
        if status == 409:
            leader = json.loads(answer).get("leader", "")
            if leader and leader != control.name:
                self._leaders[region] = leader
        elif status == 400:
            raise ValueError(f"a change of the world was refused: {answer[:200]!r}")

    # ---- the log ----------------------------------------------------------------

    async def follow(self) -> None:
        """Keep the books until cancelled."""
        while True:
            await asyncio.sleep(FOLLOW_S)
            await self.catch_up()

    async def catch_up(self) -> None:
        """Read all that is accepted by now, as any one living machine has it."""
        for region in self._books.versions:
            for control in self._controls.values():
                if control.alive() and await self._read(region, control):
                    break

    async def _read(self, region: str, control: Control) -> bool:
        """Read one machine's log to its end; False where it can't be read."""
        while True:
            path = f"/log?region={region}&from={self._books.versions[region]}"
            try:
                status, body = await asyncio.to_thread(call, control.machine.admin, "GET", path)
            except OSError:
                return False
            if status != 200:
                self.counts[f"log {status}"] += 1
                return False
            answer: dict[str, Any] = json.loads(body)
            if not self._books.follow(region, answer):
                return True
