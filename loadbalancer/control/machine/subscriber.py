"""One node's questions to the control machines: what it holds follows what is accepted.

One question is out for each region. It is answered with an update, with a pause, or with another
machine's name; where it falls silent, the next machine is asked. `Holder` decides what is taken.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random
from urllib.parse import quote

from loadbalancer.config.address import Address, parse_address
from loadbalancer.control.machine import list_form as listform
from loadbalancer.control.machine.list_form import ListFormError, NodeAssignment
from loadbalancer.control.machine.version import version_of
from loadbalancer.core.assignment.model import START, InvalidInputError, Update
from loadbalancer.core.subscription.holder import Holder
from loadbalancer.core.subscription.updates import UpdateResult, UpdateStatus
from loadbalancer.sources.http_get import Answer, Call
from loadbalancer.sources.watchers import LIST

MOST_SERVICES = 2048  # that one answer may name
MOST_PAUSE_S = 60.0
STRAY_S = 5.0  # longer than machines take to notice that one of them is lost
HEAD_BYTES = 48  # of a question's head beside its target
ANSWER_BYTES = 24  # of an answer's head beside its fields

Told = Callable[[Update, UpdateResult], None]
Released = Callable[[tuple[str, ...]], None]


@dataclass(frozen=True, slots=True)
class PollTiming:
    """Seconds."""

    hold_s: float = 4.0  # how long a machine may keep a question
    margin_s: float = 0.5  # beyond that it counts as silent
    connect_s: float = 1.0
    retry_s: float = 0.2  # before another machine is asked, and doubled while all fail
    max_retry_s: float = 2.0


@dataclass(slots=True)
class _Region:
    """The questions about one region's log."""

    machine: int  # index of the one that is asked
    call: Call | None = None
    timer: asyncio.TimerHandle | None = None
    failures: int = 0  # in a row
    redirect: Address | None = None  # where the last answer sent it
    stray_until: float = 0.0  # so long it is answered where it asks, wherever it belongs
    first_poll: bool = True  # the machine has sent nothing yet: it can't know what is held
    snapshot: bool = False  # what is held does not follow: ask for the whole
    reported: tuple[int, str] | None = None  # generation and services last told


@dataclass(slots=True)
class Counts:
    """What one subscriber has done."""

    sent: int = 0  # bytes, HTTP's and what it carries
    received: int = 0
    events: Counter[str] = field(default_factory=Counter)


class Subscriber:
    """Keeps one `Holder` current.

    `told` gets each update and what came of it, `released` the services that are held no more.
    """

    def __init__(
        self,
        holder: Holder,
        regions: Sequence[str],
        machines: Sequence[Address],
        told: Told,
        seed: int,
        timing: PollTiming | None = None,
        released: Released | None = None,
    ) -> None:
        self.holder = holder
        self.counts = Counts()
        self.generation = 0
        self._machines = tuple(machines)
        self._told = told
        self._released = released
        self._random = Random(seed)
        self._timing = timing or PollTiming()
        self._regions = {region: _Region(0) for region in regions}

    def start(self) -> None:
        """ServiceQuery now."""
        for region in self._regions:
            self._ask(region)

    def close(self) -> None:
        """ServiceQuery no more."""
        for state in self._regions.values():
            if state.call is not None:
                state.call.drop()
                state.call = None
            if state.timer is not None:
                state.timer.cancel()
                state.timer = None

    # ---- questions ---------------------------------------------------------

    def _ask(self, region: str) -> None:
        state = self._regions[region]
        state.timer = None
        target = self._target(region, state)
        address = state.redirect or self._machines[state.machine]
        timing = self._timing
        self.counts.sent += HEAD_BYTES + len(target) + len(str(address))
        self.counts.events["questions"] += 1

        def answered(answer: Answer | None) -> None:
            self._answered(region, answer)

        state.call = Call(
            address, target, timing.hold_s + timing.margin_s, answered, connect=timing.connect_s
        )

    def _target(self, region: str, state: _Region) -> str:
        position = START if state.snapshot else self.holder.position(region)
        parts = [
            f"{LIST}?from={version_of(position)}",
            f"hold_ms={int(self._timing.hold_s * 1000)}",
            f"node={quote(self.holder.name)}",
            f"region={quote(region)}",
        ]
        current = self.holder.current(region)
        behind = current != self.holder.subscription(region)
        if (state.first_poll or behind) and position != START:
            parts.append(f"held={_names(current) or ','}")
        report = (self.generation, _names(self.holder.serving()))
        if state.reported != report:
            state.reported = report
            parts.append(f"serving={report[1]}&generation={report[0]}")
        if time.monotonic() < state.stray_until:
            parts.append("redirected=1")
        return "&".join(parts)

    def _later(self, region: str, seconds: float) -> None:
        """ServiceQuery after a time, from this turn of the loop on at the earliest."""
        loop = asyncio.get_running_loop()
        self._regions[region].timer = loop.call_later(seconds, self._ask, region)

    # ---- answers ------------------------------------------------------------

    def _answered(self, region: str, answer: Answer | None) -> None:
        state = self._regions[region]
        state.call = None
        if answer is None or answer.status != 200:
            why = "silent" if answer is None else f"status {answer.status}"
            self._failed(region, state, why)
            return
        self.counts.received += _size(answer)
        try:
            found = listform.decode(answer.body, MOST_SERVICES)
            self._take(region, state, found)
        except (ListFormError, InvalidInputError):
            self._failed(region, state, "unusable answers")

    def _failed(self, region: str, state: _Region, why: str) -> None:
        """ServiceQuery the next machine, which knows nothing of what is held here."""
        self.counts.events[why] += 1
        timing = self._timing
        state.machine = (state.machine + 1) % len(self._machines)
        state.redirect = None
        # The next may not know yet that this one is lost, and would send it back.
        state.stray_until = time.monotonic() + STRAY_S
        state.first_poll, state.reported = True, None
        pause = min(timing.retry_s * 2 ** min(state.failures, 8), timing.max_retry_s)
        state.failures += 1
        self._later(region, pause * self._random.uniform(0.5, 1.0))

    def _take(self, region: str, state: _Region, found: listform.PollResponse) -> None:
        state.failures = 0
        if found.redirect_address:
            self._move(region, state, parse_address(found.redirect_address))
            return
        if found.assignment is not None:
            self._take_orders(found.assignment)
        if found.update is not None:
            self._take_update(region, state, found.update)
        else:
            self.holder.on_nothing_newer(time.monotonic_ns(), region, found.position)
        dropped = self.holder.released()
        if dropped and self._released is not None:
            self._released(dropped)
        pause = min(found.pause_ms / 1000, MOST_PAUSE_S)
        if pause:
            pause *= self._random.uniform(1.0, 1.1)
        self._later(region, pause)

    def _move(self, region: str, state: _Region, address: Address) -> None:
        """To the machine that it was told; two that send it to and fro cost a pause."""
        self.counts.events["moved"] += 1
        again = state.redirect is not None
        state.redirect = address
        state.stray_until = time.monotonic() + STRAY_S
        if address in self._machines:
            state.machine = self._machines.index(address)
        state.first_poll, state.reported = True, None
        self._later(region, self._timing.retry_s if again else 0.0)

    def _take_orders(self, orders: NodeAssignment) -> None:
        self.generation = orders.generation
        over = self.holder.on_wanted(time.monotonic_ns(), orders.wanted, orders.releasable)
        if over:
            self.counts.events["services over the bound"] += len(over)

    def _take_update(self, region: str, state: _Region, update: Update) -> None:
        if update.region != region:
            raise InvalidInputError(
                f"update: region {update.region!r} where {region!r} was asked for"
            )
        taken = self.holder.on_update(time.monotonic_ns(), update)
        self.counts.events[taken.status.name.lower()] += 1
        state.first_poll = False
        state.snapshot = taken.status in (UpdateStatus.GAP, UpdateStatus.MALFORMED)
        self._told(update, taken)


def _names(names: frozenset[str]) -> str:
    return ",".join(quote(name) for name in sorted(names))


def _size(answer: Answer) -> int:
    fields = sum(len(name) + len(value) + 4 for name, value in answer.headers.items())
    return ANSWER_BYTES + fields + len(answer.body)


def ordered_machines(
    machines: Mapping[str, tuple[str, Address]], region: str, seed: int
) -> list[Address]:
    """Addresses of these machines (by name: region and address), the node's own region first."""
    own = sorted(name for name, (where, _) in machines.items() if where == region)
    rest = sorted(name for name, (where, _) in machines.items() if where != region)
    random = Random(seed)
    random.shuffle(own)
    random.shuffle(rest)
    return [machines[name][1] for name in (*own, *rest)]
