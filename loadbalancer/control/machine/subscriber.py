"""One node's polls of the control machines: its services follow the accepted changes.

One poll is pending for each region. It is answered with an update, with a pause, or with a redirect
to another machine; where a machine does not answer, the next one is polled. `Holder` decides what
is applied.

Its hosts are the scale benchmark's nodes; no process of this package has one. A proxy polls the
plain list of a bound listener instead (`bound_list`).
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from random import Random
from typing import NamedTuple
from urllib.parse import quote

from loadbalancer.config.address import Address, parse_address
from loadbalancer.control.machine import list_format
from loadbalancer.control.machine.list_format import ListFormatError, NodeAssignment, PollResponse
from loadbalancer.control.machine.version import version_of
from loadbalancer.core.assignment.model import START, InvalidInputError, Update
from loadbalancer.core.subscription.holder import Holder
from loadbalancer.core.subscription.updates import UpdateResult, UpdateStatus
from loadbalancer.sources.endpoint_list import LIST_PATH
from loadbalancer.sources.http_get import HttpGet, Response

MAX_SERVICES = 2048  # that one answer may name
MAX_PAUSE_S = 60.0
# For so long a node requests an answer from the machine that it polls instead of a redirect: longer
# than machines take to detect that one of them is lost.
STAY_S = 5.0
MAX_DOUBLINGS = 8  # of the pause before a retry
# Factors by which pauses vary at random, so that nodes do not poll in step.
RETRY_JITTER = (0.5, 1.0)
PAUSE_JITTER = (1.0, 1.1)  # never earlier than the machine requested
HEAD_BYTES = 48  # of a poll's head beside its target
ANSWER_BYTES = 24  # of an answer's head beside its fields
HEADER_BYTES = 4  # of a header field beside its name and value

OnUpdate = Callable[[Update, UpdateResult], None]
OnReleased = Callable[[tuple[str, ...]], None]


@dataclass(frozen=True, slots=True)
class PollTiming:
    """Times of polls in seconds."""

    hold_s: float = 4.0  # how long a machine may let a poll wait
    margin_s: float = 0.5  # beyond that it counts as silent
    connect_s: float = 1.0
    retry_s: float = 0.2  # before another machine is polled, and doubled while all fail
    max_retry_s: float = 2.0


class _ServingReport(NamedTuple):
    """What a node tells a machine that it serves, as of a generation of that machine."""

    generation: int
    serving: str  # the names as the poll has them


@dataclass(slots=True)
class _RegionPolls:
    """The polls of one region's log."""

    machine: int  # index of the one that is polled
    call: HttpGet | None = None
    timer: asyncio.TimerHandle | None = None
    failures: int = 0  # in a row
    redirect: Address | None = None  # where the last answer sent it
    stay_until: float = 0.0  # until then its polls ask not to be redirected (`redirected=1`)
    first_poll: bool = True  # the machine has sent nothing yet: it can't know what is held
    snapshot: bool = False  # the last update did not follow what is held: poll for a snapshot
    generation: int = 0  # of the last assignment from the machine that is polled
    reported: _ServingReport | None = None  # the last report to that machine


@dataclass(slots=True)
class SubscriberCounts:
    """What one subscriber has done."""

    sent_bytes: int = 0  # bytes, HTTP heads included
    received_bytes: int = 0
    events: Counter[str] = field(default_factory=Counter)


class Subscriber:
    """Keeps one `Holder` current.

    `on_update` gets each update and what came of it, `on_released` the services that are not held
    any more.
    """

    def __init__(
        self,
        holder: Holder,
        regions: Sequence[str],
        machines: Sequence[Address],
        on_update: OnUpdate,
        seed: int,
        timing: PollTiming | None = None,
        on_released: OnReleased | None = None,
    ) -> None:
        self.holder = holder
        self.counts = SubscriberCounts()
        self._machines = tuple(machines)
        self._on_update = on_update
        self._on_released = on_released
        self._random = Random(seed)
        self._timing = timing or PollTiming()
        self._regions = {region: _RegionPolls(0) for region in regions}

    def start(self) -> None:
        """Poll now."""
        for region in self._regions:
            self._poll(region)

    def close(self) -> None:
        """Poll no more."""
        for state in self._regions.values():
            if state.call is not None:
                state.call.drop()
                state.call = None
            if state.timer is not None:
                state.timer.cancel()
                state.timer = None

    # ---- polls --------------------------------------------------------------

    def _poll(self, region: str) -> None:
        state = self._regions[region]
        state.timer = None
        target = self._target(region, state)
        address = self._address(state)
        timing = self._timing
        self.counts.sent_bytes += HEAD_BYTES + len(target) + len(str(address))
        self.counts.events["questions"] += 1

        def on_answer(answer: Response | None) -> None:
            self._on_answer(region, answer)

        state.call = HttpGet(
            address,
            target,
            timing.hold_s + timing.margin_s,
            on_answer,
            connect_timeout_s=timing.connect_s,
        )

    def _target(self, region: str, state: _RegionPolls) -> str:
        """The request target: path and query."""
        position = START if state.snapshot else self.holder.position(region)
        parts = [
            f"{LIST_PATH}?from={version_of(position)}",
            f"hold_ms={int(self._timing.hold_s * 1000)}",
            f"node={quote(self.holder.name)}",
            f"region={quote(region)}",
        ]
        current = self.holder.current_services(region)
        behind = current != self.holder.subscribed_services(region)
        if (state.first_poll or behind) and position != START:
            parts.append(f"held={_names(current) or ','}")
        report = _ServingReport(self._generation(state), _names(self.holder.serving()))
        if state.reported != report:
            state.reported = report
            parts.append(f"serving={report.serving}&generation={report.generation}")
        if time.monotonic() < state.stay_until:
            parts.append("redirected=1")  # asks not to be redirected
        return "&".join(parts)

    def _address(self, state: _RegionPolls) -> Address:
        """The machine that a region's log is polled at."""
        return state.redirect or self._machines[state.machine]

    def _at_same_machine(self, state: _RegionPolls) -> list[_RegionPolls]:
        """The regions whose logs are polled at the same machine as this one's, itself included."""
        address = self._address(state)
        return [other for other in self._regions.values() if self._address(other) == address]

    def _generation(self, state: _RegionPolls) -> int:
        """The generation of the last assignment from the machine that is polled, 0 for none.

        Machines number their generations each for itself. Guards against a report that one counts
        by a generation of another: it could count although it was made before the node learnt what
        this machine wants back.
        """
        return max(other.generation for other in self._at_same_machine(state))

    def _poll_later(self, region: str, seconds: float) -> None:
        """Poll after a time, in the next turn of the loop at the earliest."""
        loop = asyncio.get_running_loop()
        self._regions[region].timer = loop.call_later(seconds, self._poll, region)

    # ---- answers ------------------------------------------------------------

    def _on_answer(self, region: str, answer: Response | None) -> None:
        state = self._regions[region]
        state.call = None
        if answer is None or answer.status != HTTPStatus.OK:
            why = "silent" if answer is None else f"status {answer.status}"
            self._on_failure(region, state, why)
            return
        self.counts.received_bytes += _size(answer)
        try:
            self._on_response(region, state, list_format.decode(answer.body, MAX_SERVICES))
        except (ListFormatError, InvalidInputError):
            self._on_failure(region, state, "unusable answers")

    def _on_failure(self, region: str, state: _RegionPolls, why: str) -> None:
        """Poll the next machine, which knows nothing of what is held here.

        It may not know yet that this one is lost, and would redirect the node back: for a while the
        node asks to be answered where it polls.
        """
        self.counts.events[why] += 1
        timing = self._timing
        state.machine = (state.machine + 1) % len(self._machines)
        state.redirect = None
        state.stay_until = time.monotonic() + STAY_S
        self._forget_machine(state)
        pause = min(timing.retry_s * 2 ** min(state.failures, MAX_DOUBLINGS), timing.max_retry_s)
        state.failures += 1
        self._poll_later(region, pause * self._random.uniform(*RETRY_JITTER))

    def _on_response(self, region: str, state: _RegionPolls, response: PollResponse) -> None:
        state.failures = 0
        if response.redirect_address:
            self._move(region, state, parse_address(response.redirect_address))
            return
        if response.assignment is not None:
            self._on_assignment(state, response.assignment)
        if response.update is not None:
            self._apply(region, state, response.update)
        else:
            self.holder.on_up_to_date(time.monotonic_ns(), region, response.position)
        released = self.holder.drain_released()
        if released and self._on_released is not None:
            self._on_released(released)
        pause = min(response.pause_ms / 1000, MAX_PAUSE_S)
        if pause:
            pause *= self._random.uniform(*PAUSE_JITTER)
        self._poll_later(region, pause)

    def _move(self, region: str, state: _RegionPolls, address: Address) -> None:
        """Poll another machine; one redirect that follows another costs a pause.

        Otherwise two machines that each take the other for the right one would be polled in a loop
        without end.
        """
        self.counts.events["moved"] += 1
        again = state.redirect is not None
        state.redirect = address
        state.stay_until = time.monotonic() + STAY_S
        if address in self._machines:
            state.machine = self._machines.index(address)
        self._forget_machine(state)
        self._poll_later(region, self._timing.retry_s if again else 0.0)

    def _forget_machine(self, state: _RegionPolls) -> None:
        """Another machine is polled from now on, or the same one anew."""
        state.first_poll, state.reported, state.generation = True, None, 0

    def _on_assignment(self, state: _RegionPolls, assignment: NodeAssignment) -> None:
        if assignment.generation < state.generation:
            # One region's answers come in order: the machine has restarted and numbers anew.
            for other in self._at_same_machine(state):
                other.generation = 0
        elif assignment.generation < self._generation(state):
            # Late: a newer one has come with another region's answer. Taken, it would bring back
            # services that have moved away since, or drop those that have come.
            self.counts.events["older assignments"] += 1
            return
        state.generation = assignment.generation
        exceeding = self.holder.on_assignment(
            time.monotonic_ns(), assignment.wanted, assignment.releasable
        )
        if exceeding:
            self.counts.events["services over the bound"] += len(exceeding)

    def _apply(self, region: str, state: _RegionPolls, update: Update) -> None:
        if update.region != region:
            raise InvalidInputError(
                f"update: region {update.region!r} where {region!r} was asked for"
            )
        result = self.holder.on_update(time.monotonic_ns(), update)
        self.counts.events[result.status.name.lower()] += 1
        state.first_poll = False
        state.snapshot = result.status in (UpdateStatus.GAP, UpdateStatus.MALFORMED)
        self._on_update(update, result)


def ordered_machines(
    machines: Mapping[str, tuple[str, Address]], region: str, seed: int
) -> list[Address]:
    """Addresses of these machines (by name: region and address), the node's own region first.

    Within both groups the order is drawn from the seed, so that nodes spread over the machines.
    """
    own = sorted(name for name, (where, _) in machines.items() if where == region)
    others = sorted(name for name, (where, _) in machines.items() if where != region)
    random = Random(seed)
    random.shuffle(own)
    random.shuffle(others)
    return [machines[name][1] for name in (*own, *others)]


def _names(names: Iterable[str]) -> str:
    return ",".join(quote(name) for name in sorted(names))


def _size(answer: Response) -> int:
    """About how many bytes the answer took on the wire."""
    fields = sum(len(name) + len(value) + HEADER_BYTES for name, value in answer.headers.items())
    return ANSWER_BYTES + fields + len(answer.body)
