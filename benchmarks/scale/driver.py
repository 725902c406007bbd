"""Submits a random stream of changes to the control machines; follows the log of accepted ones."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from http import HTTPStatus
from random import Random
from typing import Any, NamedTuple

from benchmarks.scale.accepted import AcceptedChange, AcceptedServices
from benchmarks.scale.fleet import Control, call
from benchmarks.scale.world import DrawnChange, World
from loadbalancer.control.machine.version import position_of

RETRY_S = 0.25
SUBMIT_TIMEOUT_S = 60.0  # for one change to be accepted
FOLLOW_INTERVAL_S = 1.0


class Answer(NamedTuple):
    """A control machine's answer to a change; status 0 if there was none."""

    status: int
    body: bytes


NO_ANSWER = Answer(0, b"{}")


class Driver:
    """Draws changes from a world and submits each until it is accepted or given up."""

    def __init__(
        self, world: World, controls: dict[str, Control], log: AcceptedServices, rate: float
    ) -> None:
        """`rate`: changes a second, on average. The regions' logs are loaded."""
        self.accepted: list[AcceptedChange] = []
        self.counts: Counter[str] = Counter()  # of all results but an acceptance, by their names
        self.regions: set[str] = set(log.versions)  # whose changes are submitted
        self._world = world
        self._controls = controls
        self._log = log
        self._rate = rate
        self._random = Random(world.seed + 1)
        self._leaders: dict[str, str] = {}  # names by region, as last reported
        self._submissions: set[asyncio.Task[None]] = set()

    # ---- changes -----------------------------------------------------------------

    async def drive(self) -> None:
        """Submit a Poisson stream of changes until cancelled."""
        while True:
            await asyncio.sleep(self._random.expovariate(self._rate))
            change = self._world.change()
            region = self._log.regions[change.service]
            if region not in self.regions:
                self.counts["not handed in: no majority"] += 1
                continue
            task = asyncio.create_task(self._submit(change, region))
            self._submissions.add(task)
            task.add_done_callback(self._submissions.discard)

    async def settle(self) -> None:
        """Wait until each submitted change is accepted or given up."""
        while self._submissions:
            await asyncio.sleep(RETRY_S)

    async def _submit(self, change: DrawnChange, region: str) -> None:
        body = json.dumps([change.as_json()]).encode()
        began = time.monotonic_ns()
        while time.monotonic_ns() - began < SUBMIT_TIMEOUT_S * 1e9:
            control = self._submission_target(region)
            if control is None:
                self.counts["no machine"] += 1
                await asyncio.sleep(RETRY_S)
                continue
            answer = await _post_changes(control, body)
            if answer.status == HTTPStatus.OK:
                self._record_accepted(change, region, began, answer)
                return
            self.counts[f"answered {answer.status}"] += 1
            self._learn_leader(region, control, answer)
            await asyncio.sleep(RETRY_S)
        self.counts["given up"] += 1

    def _record_accepted(
        self, change: DrawnChange, region: str, submitted_ns: int, answer: Answer
    ) -> None:
        (row,) = json.loads(answer.body)
        revision = position_of(row["version"]).revision
        self.accepted.append(
            AcceptedChange(change.service, region, revision, row["accepted_ns"], submitted_ns)
        )

    def _submission_target(self, region: str) -> Control | None:
        """Return the leader as last reported, or any machine of the region that runs."""
        known = self._controls.get(self._leaders.get(region, ""))
        if known is not None and known.alive():
            return known
        running = [
            control
            for control in self._controls.values()
            if control.alive() and control.machine.spec.region == region
        ]
        return self._random.choice(running) if running else None

    def _learn_leader(self, region: str, control: Control, answer: Answer) -> None:
        """Record the leader that a rejection names; ValueError if the change itself is invalid."""
        self._leaders.pop(region, None)
        if answer.status == HTTPStatus.CONFLICT:
            leader = json.loads(answer.body).get("leader", "")
            if leader and leader != control.name:
                self._leaders[region] = leader
        elif answer.status == HTTPStatus.BAD_REQUEST:
            raise ValueError(f"a change of the world was rejected: {answer.body[:200]!r}")

    # ---- the log ------------------------------------------------------------------

    async def follow(self) -> None:
        """Read the log every second until cancelled."""
        while True:
            await asyncio.sleep(FOLLOW_INTERVAL_S)
            await self.catch_up()

    async def catch_up(self) -> None:
        """Read all that is accepted by now, from the first machine that answers."""
        for region in self._log.versions:
            for control in self._controls.values():
                if control.alive() and await self._read_log(region, control):
                    break

    async def _read_log(self, region: str, control: Control) -> bool:
        """Read one machine's log to its end; False if it can't be read."""
        while True:
            path = f"/log?region={region}&from={self._log.versions[region]}"
            try:
                status, body = await asyncio.to_thread(call, control.machine.admin, "GET", path)
            except OSError:
                return False
            if status != HTTPStatus.OK:
                self.counts[f"log {status}"] += 1
                return False
            answer: dict[str, Any] = json.loads(body)
            if not self._log.follow(region, answer):
                return True


async def _post_changes(control: Control, body: bytes) -> Answer:
    try:
        status, answer = await asyncio.to_thread(
            call, control.machine.admin, "POST", "/changes", body
        )
    except OSError:
        return NO_ANSWER
    return Answer(status, answer)
