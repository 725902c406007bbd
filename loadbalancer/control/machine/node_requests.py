"""Nodes' polls of a control machine, and its answers in the list's form."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from http import HTTPStatus

from loadbalancer.config.address import Address
from loadbalancer.control.machine import list_form
from loadbalancer.control.machine.list_form import NodeAssignment
from loadbalancer.control.machine.nodes import NodeRegistry
from loadbalancer.control.machine.version import position_of
from loadbalancer.core.assignment.model import InvalidInputError, Position
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.replicated_log.replication import Replica
from loadbalancer.core.subscription.answers import (
    Redirect,
    Refusal,
    Refused,
    RetryAfter,
    SendUpdate,
    Wait,
)
from loadbalancer.core.subscription.publisher import Publisher
from loadbalancer.sources.http_get import parse_decimal
from loadbalancer.sources.watchers import Query, Watcher

MAX_HEAD_BYTES = 64 << 10  # of a poll: it may name the services of a node
MAX_NAMES = 1024  # services that one poll may name
MAX_QUOTED = 64  # characters of a wrong name that an answer repeats
REDIRECT_PAUSE = 2 * SECOND  # for a redirected node to poll the other machine

Key = tuple[str, str]  # node and region


class SubscriberConnection(Watcher):
    """One connection of a node that knows of services."""

    max_request_bytes = MAX_HEAD_BYTES


@dataclass(slots=True)
class PollRequest:
    """What a node polls for, while it waits."""

    node: str
    region: str
    position: Position
    current: frozenset[str] | None  # services that it has as of `position`; None: it does not say
    redirected: bool
    deadline: int  # when it is answered at the latest, in nanoseconds
    timer: asyncio.TimerHandle | None = None


class NodeRequests:
    """The host of all `SubscriberConnection`s at one machine."""

    def __init__(
        self,
        nodes: NodeRegistry,
        publisher: Publisher,
        replica: Replica,
        addresses: Mapping[str, Address],
        max_watchers: int,
    ) -> None:
        """`addresses` are those for subscribers, by machine."""
        self.max_connections = max_watchers
        self.connections = 0
        self.counts: Counter[str] = Counter()
        self._nodes = nodes
        self._publisher = publisher
        self._replica = replica
        self._addresses = addresses
        self._waiting: dict[Watcher, PollRequest] = {}
        self._by_key: dict[Key, Watcher] = {}

    # ---- what a connection calls --------------------------------------------

    def ready(self) -> bool:
        """Whether polls are answered: always, each with what there is for it."""
        return True

    def is_waiting(self, caller: Watcher) -> bool:
        """Whether the connection's last poll has no answer yet."""
        return caller in self._waiting

    def cancel(self, caller: Watcher) -> None:
        """The connection's poll needs no answer any more."""
        request = self._stop_waiting(caller)
        if request is not None:
            self._publisher.cancel(request.node, request.region)
            self._nodes.on_response(time.monotonic_ns(), request.node)

    def on_list_request(self, watcher: Watcher, since: int, hold: float, query: Query) -> None:
        """A poll: the version that the node has, and for how many seconds it may wait."""
        now = time.monotonic_ns()
        try:
            request = self._decode(now, since, hold, query)
            self._on_poll(now, request, query)
        except InvalidInputError as err:
            self._refuse(watcher, str(err))
            return
        self._answer(now, watcher, request, first_poll=since == 0)

    # ---- what the machine calls ---------------------------------------------

    def wake(self, region: str, nodes: Iterable[str]) -> None:
        """There may be something new for these nodes in a region."""
        now = time.monotonic_ns()
        for node in nodes:
            watcher = self._by_key.get((node, region))
            if watcher is not None:
                self._answer_waiting(now, watcher)

    def wake_keys(self, keys: Iterable[Key]) -> None:
        """There may be something new for these nodes in these regions."""
        for node, region in keys:
            self.wake(region, (node,))

    def push_assignments(self) -> None:
        """Answer the waiting nodes whose assignment has changed."""
        now = time.monotonic_ns()
        for watcher, request in [*self._waiting.items()]:
            if self._nodes.changed_assignment(now, request.node, request.region) is not None:
                self._answer_waiting(now, watcher)

    def waiting_count(self) -> int:
        """How many polls wait for an answer."""
        return len(self._waiting)

    # ---- one poll -----------------------------------------------------------

    def _decode(self, now: int, since: int, hold: float, query: Query) -> PollRequest:
        node, region = (query.get(key, [""])[0] for key in ("node", "region"))
        if not self._nodes.is_registered(node):
            raise InvalidInputError(
                f"node: [{Refusal.UNKNOWN_NODE.value}] no node {node[:MAX_QUOTED]!r}"
            )
        current = None
        if "held" in query:
            current = frozenset(_names(query["held"][0]))
        redirected = query.get("redirected") == ["1"]
        deadline = now + int(hold * SECOND)
        return PollRequest(node, region, position_of(since), current, redirected, deadline)

    def _on_poll(self, now: int, request: PollRequest, query: Query) -> None:
        """Record that the node polls here, and the services that it reports as serving."""
        self._nodes.on_poll(now, request.node)
        if "serving" in query:
            generation = parse_decimal(query.get("generation", ["0"])[0])
            if generation is None:
                raise InvalidInputError("generation: [range] no whole number")
            self._nodes.on_report(request.node, _names(query["serving"][0]), generation)

    def _answer(
        self, now: int, watcher: Watcher, request: PollRequest, first_poll: bool = False
    ) -> None:
        """Answer now, or let the poll wait until there is something to send."""
        node, region = request.node, request.region
        services = self._nodes.services_in_region(node, region)
        answer = self._publisher.subscribe(
            now, node, region, request.position, services, request.current, request.redirected
        )
        if isinstance(answer, Refused):
            place = "region" if answer.reason is Refusal.UNKNOWN_REGION else "version"
            self._refuse(watcher, f"{place}: [{answer.reason.value}] {region[:MAX_QUOTED]!r}")
            self._nodes.on_response(now, node)
            return
        self._replica.on_reported(now, region, request.position)
        if isinstance(answer, Redirect):
            self._redirect(now, watcher, request, answer.machine)
        elif isinstance(answer, SendUpdate):
            assignment = self._nodes.changed_assignment(now, node, region, first_poll)
            body = list_form.encode(answer.update, assignment)
            self._reply(now, watcher, request, body, assignment)
        else:
            self._answer_without_update(now, watcher, request, answer, first_poll)

    def _answer_without_update(
        self,
        now: int,
        watcher: Watcher,
        request: PollRequest,
        answer: RetryAfter | Wait,
        first_poll: bool,
    ) -> None:
        """There is no update to send yet: the assignment alone, a pause, or a long poll."""
        node, region = request.node, request.region
        assignment = self._nodes.changed_assignment(now, node, region, first_poll)
        if isinstance(answer, RetryAfter):
            pause = max(answer.delay // MS, 1)
            body = list_form.encode_empty(request.position, pause_ms=pause)
            self._reply(now, watcher, request, body, None, answer.delay)
        elif assignment is not None:
            body = list_form.encode_assignment(request.position, assignment)
            self._reply(now, watcher, request, body, assignment)
        elif request.deadline <= now:
            self._reply(now, watcher, request, list_form.encode_empty(request.position), None)
        else:
            self._wait(now, watcher, request, answer.until)

    def _wait(self, now: int, watcher: Watcher, request: PollRequest, until: int | None) -> None:
        due = request.deadline if until is None else min(request.deadline, until)
        loop = asyncio.get_running_loop()
        request.timer = loop.call_later(max(due - now, 0) / SECOND, self._on_timer, watcher)
        self._waiting[watcher] = request
        self._by_key[request.node, request.region] = watcher

    def _on_timer(self, watcher: Watcher) -> None:
        self._answer_waiting(time.monotonic_ns(), watcher)

    def _answer_waiting(self, now: int, watcher: Watcher) -> None:
        request = self._stop_waiting(watcher)
        if request is not None:
            self._answer(now, watcher, request)

    def _stop_waiting(self, watcher: Watcher) -> PollRequest | None:
        """The connection's poll, which does not wait any more; None where none waited."""
        request = self._waiting.pop(watcher, None)
        if request is None:
            return None
        if request.timer is not None:
            request.timer.cancel()
        key = (request.node, request.region)
        if self._by_key.get(key) is watcher:
            del self._by_key[key]
        return request

    # ---- replies ------------------------------------------------------------

    def _refuse(self, watcher: Watcher, why: str) -> None:
        self.counts["refused"] += 1
        watcher.reply(HTTPStatus.BAD_REQUEST, why.encode())

    def _redirect(self, now: int, watcher: Watcher, request: PollRequest, machine: str) -> None:
        self.counts["sent elsewhere"] += 1
        address = str(self._addresses[machine])
        body = list_form.encode_empty(request.position, elsewhere=machine, address=address)
        self._reply(now, watcher, request, body, None, REDIRECT_PAUSE)

    def _reply(
        self,
        now: int,
        watcher: Watcher,
        request: PollRequest,
        body: bytes,
        assignment: NodeAssignment | None,
        pause: int = 0,
    ) -> None:
        """Send the answer; `pause`: nanoseconds before the node polls again."""
        self._nodes.on_response(now, request.node, pause)
        if assignment is not None:
            self._nodes.on_assignment_sent(request.node, request.region, assignment)
        self.counts["answers"] += 1
        self.counts["bytes"] += len(body)
        watcher.reply(HTTPStatus.OK, body)


def _names(text: str) -> list[str]:
    names = [name for name in text.split(",") if name]
    if len(names) > MAX_NAMES:
        raise InvalidInputError(f"names: [too-many] {len(names)}; at most {MAX_NAMES}")
    return names
