"""Nodes' polls of a control machine, and its answers in the list's form."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from http import HTTPStatus

from loadbalancer.config.address import Address
from loadbalancer.control.long_polls import LongPolls
from loadbalancer.control.machine import list_format
from loadbalancer.control.machine.list_format import NodeAssignment
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
from loadbalancer.core.subscription.subscribers import SubscriberKey
from loadbalancer.faults import run_logged
from loadbalancer.sources.http_get import parse_decimal
from loadbalancer.sources.watchers import Query, Watcher

MAX_HEAD_BYTES = 64 << 10  # of a poll: it may name the services of a node
MAX_NAMES = 1024  # services that one poll may name
MAX_QUOTED = 64  # characters of a wrong name that an answer repeats
REDIRECT_PAUSE_NS = 2 * SECOND  # for a redirected node to poll the other machine


class SubscriberConnection(Watcher):
    """One connection of a node that knows of services."""

    max_request_bytes = MAX_HEAD_BYTES


@dataclass(frozen=True, slots=True)
class ServingReport:
    """The services that a node serves, as of the assignment of a generation."""

    serving: tuple[str, ...]
    generation: int


@dataclass(frozen=True, slots=True)
class PollRequest:
    """What a node polls for, while it waits."""

    node: str
    region: str
    position: Position
    current: frozenset[str] | None  # services that it has as of `position`; None: it does not say
    redirected: bool
    deadline_ns: int  # when it is answered at the latest
    report: ServingReport | None  # None where the last one still holds


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
        self._waiting: LongPolls[PollRequest] = LongPolls(self._on_timeout)
        self._watchers: dict[str, dict[str, Watcher]] = {}  # whose poll waits, by node and region

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
            self._on_poll_ended(time.monotonic_ns(), request.node)

    def on_list_request(self, watcher: Watcher, since: int, hold_s: float, query: Query) -> None:
        """A poll: the version that the node has, and for how many seconds it may wait."""
        now = time.monotonic_ns()
        try:
            request = self._decode(now, since, hold_s, query)
        except InvalidInputError as err:
            self._reject(watcher, str(err))
            return
        self._supersede(request)
        self._nodes.on_poll(now, request.node)
        report = request.report
        if report is None:
            self._nodes.on_report_unchanged(request.node)
        else:
            self._nodes.on_report(request.node, report.serving, report.generation)
            self._nodes.on_generation(request.node, request.region, report.generation)
        self._answer_or_end(now, watcher, request, first_poll=since == 0)

    # ---- what the machine calls ---------------------------------------------

    def wake(self, region: str, nodes: Iterable[str]) -> None:
        """There may be something new for these nodes in a region."""
        now = time.monotonic_ns()
        for node in nodes:
            watcher = self._watchers.get(node, {}).get(region)
            if watcher is not None:
                self._answer_waiting(now, watcher)

    def wake_keys(self, keys: Iterable[SubscriberKey]) -> None:
        """There may be something new for these nodes in these regions."""
        for node, region in keys:
            self.wake(region, (node,))

    def push_assignments(self) -> bool:
        """Answer the waiting nodes whose assignment has changed; False after a fault at one."""
        now = time.monotonic_ns()
        pushed = [
            run_logged(self._push_assignment, now, watcher, request)
            for watcher, request in self._waiting.items()
        ]
        return all(pushed)

    def _push_assignment(self, now: int, watcher: Watcher, request: PollRequest) -> None:
        if self._nodes.changed_assignment(now, request.node, request.region) is not None:
            self._answer_waiting(now, watcher)

    def waiting_count(self) -> int:
        """How many polls wait for an answer."""
        return len(self._waiting)

    def waiting_nodes(self) -> frozenset[str]:
        """The nodes whose polls wait for an answer."""
        return frozenset(self._watchers)

    # ---- one poll -----------------------------------------------------------

    def _decode(self, now: int, since: int, hold_s: float, query: Query) -> PollRequest:
        """All of a poll, or an error: from one that is rejected nothing may be taken.

        Failure: a poll is noted as one that waits before its report turns out to be unreadable. It
        is never answered, and its node counts as present for an hour, dead or not.
        """
        node, region = (query.get(key, [""])[0] for key in ("node", "region"))
        if not self._nodes.is_registered(node):
            raise InvalidInputError(
                f"node: [{Refusal.UNKNOWN_NODE.value}] no node {node[:MAX_QUOTED]!r}"
            )
        current = None
        if "held" in query:
            current = frozenset(_names(query["held"][0]))
        redirected = query.get("redirected") == ["1"]
        deadline_ns = now + int(hold_s * SECOND)
        position = position_of(since)
        report = _report(query)
        return PollRequest(node, region, position, current, redirected, deadline_ns, report)

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
            self._reject(watcher, f"{place}: [{answer.reason.value}] {region[:MAX_QUOTED]!r}")
            self._on_poll_ended(now, node)
            return
        self._replica.on_reported(now, region, request.position)
        if isinstance(answer, Redirect):
            self._redirect(now, watcher, request, answer.machine)
        elif isinstance(answer, SendUpdate):
            assignment = self._nodes.changed_assignment(now, node, region, first_poll)
            body = list_format.encode(answer.update, assignment)
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
            pause = max(answer.delay_ns // MS, 1)
            body = list_format.encode_empty(request.position, pause_ms=pause)
            self._reply(now, watcher, request, body, None, answer.delay_ns)
        elif assignment is not None:
            body = list_format.encode_assignment(request.position, assignment)
            self._reply(now, watcher, request, body, assignment)
        elif request.deadline_ns <= now:
            self._reply(now, watcher, request, list_format.encode_empty(request.position), None)
        else:
            self._wait(now, watcher, request, answer.until_ns)

    def _wait(self, now: int, watcher: Watcher, request: PollRequest, until_ns: int | None) -> None:
        due_ns = request.deadline_ns if until_ns is None else min(request.deadline_ns, until_ns)
        self._waiting.add(watcher, request, max(due_ns - now, 0) / SECOND)
        self._watchers.setdefault(request.node, {})[request.region] = watcher

    def _on_timeout(self, watcher: Watcher) -> None:
        self._answer_waiting(time.monotonic_ns(), watcher)

    def _answer_waiting(self, now: int, watcher: Watcher) -> None:
        request = self._stop_waiting(watcher)
        if request is not None:
            self._answer_or_end(now, watcher, request)

    def _answer_or_end(
        self, now: int, watcher: Watcher, request: PollRequest, first_poll: bool = False
    ) -> None:
        """Answer a poll that does not wait, or end its connection.

        Failure: the answer raises. The walk over the other waiting polls ends with it, and this
        one gets no answer, while its node counts as present for an hour, dead or not. A fault ends
        this connection alone, and its node has to poll again in time.
        """
        if not run_logged(self._answer, now, watcher, request, first_poll):
            self._on_poll_ended(now, request.node)
            watcher.abort()

    def _stop_waiting(self, watcher: Watcher) -> PollRequest | None:
        """The connection's poll, which does not wait any more; None where none waited."""
        request = self._waiting.take(watcher)
        if request is not None:
            watchers = self._watchers[request.node]
            del watchers[request.region]
            if not watchers:
                del self._watchers[request.node]
        return request

    def _supersede(self, request: PollRequest) -> None:
        """End the node's earlier connection if its poll for the region waits still.

        Failure: a connection is lost unnoticed, and the node polls on a new one. Answers on the
        lost one count as received; its late end makes the node absent although its new poll waits.
        With one poll for each node and region, that end finds no poll to cancel.
        """
        earlier = self._watchers.get(request.node, {}).get(request.region)
        if earlier is not None:
            self._stop_waiting(earlier)
            self._publisher.cancel(request.node, request.region)
            earlier.abort()

    def _on_poll_ended(self, now: int, node: str, pause_ns: int = 0) -> None:
        """The node has to poll again after a pause, unless another region's poll of it waits."""
        if node not in self._watchers:
            self._nodes.on_response(now, node, pause_ns)

    # ---- replies ------------------------------------------------------------

    def _reject(self, watcher: Watcher, why: str) -> None:
        self.counts["refused"] += 1
        watcher.reply(HTTPStatus.BAD_REQUEST, why.encode())

    def _redirect(self, now: int, watcher: Watcher, request: PollRequest, machine: str) -> None:
        self.counts["sent elsewhere"] += 1
        address = str(self._addresses[machine])
        body = list_format.encode_empty(request.position, elsewhere=machine, address=address)
        self._reply(now, watcher, request, body, None, REDIRECT_PAUSE_NS)

    def _reply(
        self,
        now: int,
        watcher: Watcher,
        request: PollRequest,
        body: bytes,
        assignment: NodeAssignment | None,
        pause_ns: int = 0,
    ) -> None:
        """Send the answer; `pause_ns`: before the node polls again."""
        self._on_poll_ended(now, request.node, pause_ns)
        if assignment is not None:
            self._nodes.on_assignment_sent(request.node, request.region, assignment)
        self.counts["answers"] += 1
        self.counts["bytes"] += len(body)
        watcher.reply(HTTPStatus.OK, body)


def _report(query: Query) -> ServingReport | None:
    if "serving" not in query:
        return None
    generation = parse_decimal(query.get("generation", ["0"])[0])
    if generation is None:
        raise InvalidInputError("generation: [range] no whole number")
    return ServingReport(tuple(_names(query["serving"][0])), generation)


def _names(text: str) -> list[str]:
    names = [name for name in text.split(",") if name]
    if len(names) > MAX_NAMES:
        raise InvalidInputError(f"names: [too-many] {len(names)}; at most {MAX_NAMES}")
    return names
