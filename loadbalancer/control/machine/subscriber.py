"""A node's client of the control machines: keeps its assigned services up to date.

The client has one poll pending for each region. The response is an update, a request to pause, or
a redirect to another machine. If a machine does not respond, the next one is polled. `Holder`
decides which updates are applied.

Only the nodes of the scale benchmark use this client, no process of this package does. A proxy
polls the plain list of a bound listener instead (see `bound_list`).
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

MAX_SERVICES = 2048  # services that the assignment in one response may name
MAX_PAUSE_S = 60.0
# After a move to another machine a node asks for this long not to be redirected: longer than the
# machines take to detect that one of them has failed.
STAY_S = 5.0
MAX_DOUBLINGS = 8  # of the delay before a retry
# Ranges of the random factors for delays, so that nodes do not poll in lockstep.
RETRY_JITTER = (0.5, 1.0)
PAUSE_JITTER = (1.0, 1.1)  # never earlier than the machine requested
# Estimates for the byte counters.
HEAD_BYTES = 48  # head of a poll without its request target
ANSWER_BYTES = 24  # head of a response without its header fields
HEADER_BYTES = 4  # header field without its name and value

OnUpdate = Callable[[Update, UpdateResult], None]
OnReleased = Callable[[tuple[str, ...]], None]


@dataclass(frozen=True, slots=True)
class PollTiming:
    """Timing of polls, in seconds."""

    hold_s: float = 4.0  # how long a machine may keep a poll pending
    margin_s: float = 0.5  # time beyond `hold_s` until the poll times out
    connect_s: float = 1.0  # connect timeout
    retry_s: float = 0.2  # delay before the next machine is polled, doubled after each failure
    max_retry_s: float = 2.0


class _ServingReport(NamedTuple):
    """A report of the services that a node serves."""

    generation: int  # of the last assignment that the node has received
    serving: str  # service names, encoded as in the poll's query


@dataclass(slots=True)
class _RegionPolls:
    """State of the polls for one region's log."""

    machine: int  # index of the machine that is polled
    call: HttpGet | None = None  # the pending poll
    timer: asyncio.TimerHandle | None = None  # for the next poll
    failures: int = 0  # consecutive ones
    redirect: Address | None = None  # address to which the last response redirected
    stay_until: float = 0.0  # until then polls ask not to be redirected (`redirected=1`)
    first_poll: bool = True  # the machine has sent no update yet and does not know what is held
    snapshot: bool = False  # the last update did not fit: poll for a snapshot
    generation: int = 0  # of the last assignment from the polled machine
    reported: _ServingReport | None = None  # the last report to the polled machine


@dataclass(slots=True)
class SubscriberCounts:
    """Traffic and event counters of one subscriber."""

    sent_bytes: int = 0  # estimate, including HTTP heads
    received_bytes: int = 0  # estimate, including HTTP heads
    events: Counter[str] = field(default_factory=Counter)


class Subscriber:
    """Keeps one `Holder` up to date by polling the control machines.

    Args:
        holder: the node's services.
        regions: the regions whose logs are polled.
        machines: addresses of the control machines, in the order in which they are tried.
        on_update: called with each update and the result of applying it.
        seed: of the random delays.
        timing: None for the defaults.
        on_released: called with the services that are no longer held.
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
        """Start polling all regions."""
        for region in self._regions:
            self._poll(region)

    def close(self) -> None:
        """Stop polling."""
        for state in self._regions.values():
            if state.call is not None:
                state.call.drop()
                state.call = None
            if state.timer is not None:
                state.timer.cancel()
                state.timer = None

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
        """Build the request target: path and query."""
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
            parts.append("redirected=1")  # do not redirect
        return "&".join(parts)

    def _address(self, state: _RegionPolls) -> Address:
        """Return the address of the machine that is polled for a region."""
        return state.redirect or self._machines[state.machine]

    def _at_same_machine(self, state: _RegionPolls) -> list[_RegionPolls]:
        """Return the regions that are polled at the same machine as this one, including itself."""
        address = self._address(state)
        return [other for other in self._regions.values() if self._address(other) == address]

    def _generation(self, state: _RegionPolls) -> int:
        """Return the generation of the last assignment from the polled machine, 0 for none.

        Each machine numbers its generations independently. A report with another machine's
        generation could be treated as up to date although the node made it before it knew this
        machine's assignment.
        """
        return max(other.generation for other in self._at_same_machine(state))

    def _poll_later(self, region: str, seconds: float) -> None:
        """Schedule the next poll; even without a delay it starts in the next loop iteration."""
        loop = asyncio.get_running_loop()
        self._regions[region].timer = loop.call_later(seconds, self._poll, region)

    def _on_answer(self, region: str, answer: Response | None) -> None:
        state = self._regions[region]
        state.call = None
        if answer is None or answer.status != HTTPStatus.OK:
            event = "silent" if answer is None else f"status {answer.status}"
            self._on_failure(region, state, event)
            return
        self.counts.received_bytes += _size(answer)
        try:
            self._on_response(region, state, list_format.decode(answer.body, MAX_SERVICES))
        except (ListFormatError, InvalidInputError):
            self._on_failure(region, state, "unusable answers")

    def _on_failure(self, region: str, state: _RegionPolls, event: str) -> None:
        """Move to the next machine after a failed poll.

        The next machine may not have noticed yet that the previous one has failed, and would
        redirect the node back to it. So the node asks not to be redirected for STAY_S.
        """
        self.counts.events[event] += 1
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
        """Follow a redirect; a redirect directly after another one is delayed.

        Without the delay, two machines that redirect to each other would be polled in a busy loop.
        """
        self.counts.events["moved"] += 1
        is_repeated = state.redirect is not None
        state.redirect = address
        state.stay_until = time.monotonic() + STAY_S
        if address in self._machines:
            state.machine = self._machines.index(address)
        self._forget_machine(state)
        self._poll_later(region, self._timing.retry_s if is_repeated else 0.0)

    def _forget_machine(self, state: _RegionPolls) -> None:
        """Reset what the polled machine is known to have sent and received."""
        state.first_poll, state.reported, state.generation = True, None, 0

    def _on_assignment(self, state: _RegionPolls, assignment: NodeAssignment) -> None:
        if assignment.generation < state.generation:
            # Responses for one region arrive in order, so the machine has restarted and numbers
            # its generations from the start again.
            for other in self._at_same_machine(state):
                other.generation = 0
        elif assignment.generation < self._generation(state):
            # A newer assignment has already arrived with another region's response. Applying this
            # one would bring back services that have moved away, or drop newly assigned ones.
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
                f"update: received region {update.region!r}, expected {region!r}"
            )
        result = self.holder.on_update(time.monotonic_ns(), update)
        self.counts.events[result.status.name.lower()] += 1
        state.first_poll = False
        state.snapshot = result.status in (UpdateStatus.GAP, UpdateStatus.MALFORMED)
        self._on_update(update, result)


def ordered_machines(
    machines: Mapping[str, tuple[str, Address]], region: str, seed: int
) -> list[Address]:
    """Order the addresses of control machines, those of the node's own region first.

    Within both groups the order is random but determined by the seed, so that nodes are spread
    over the machines.

    Args:
        machines: region and address of each machine, by name.
        region: the node's own region.
        seed: the node's own seed.
    """
    own = sorted(name for name, (home, _) in machines.items() if home == region)
    others = sorted(name for name, (home, _) in machines.items() if home != region)
    random = Random(seed)
    random.shuffle(own)
    random.shuffle(others)
    return [machines[name][1] for name in (*own, *others)]


def _names(names: Iterable[str]) -> str:
    return ",".join(quote(name) for name in sorted(names))


def _size(answer: Response) -> int:
    """Estimate the response's size on the wire in bytes."""
    fields = sum(len(name) + len(value) + HEADER_BYTES for name, value in answer.headers.items())
    return ANSWER_BYTES + fields + len(answer.body)
