"""Answers nodes' polls of a control machine, in the extended format of the endpoint list."""

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

MAX_HEAD_BYTES = 64 << 10  # of a poll, which may name all services of a node
MAX_NAMES = 1024  # services that one parameter of a poll may name
MAX_QUOTED = 64  # characters of an invalid name that an error message repeats
REDIRECT_PAUSE_NS = 2 * SECOND  # time that a redirected node has to poll the other machine


class SubscriberConnection(Watcher):
    """One connection of a node that is assigned services."""

    max_request_bytes = MAX_HEAD_BYTES


@dataclass(frozen=True, slots=True)
class ServingReport:
    """The services that a node serves, as it reports them in a poll."""

    serving: tuple[str, ...]
    generation: int  # of the last assignment that the node has received


@dataclass(frozen=True, slots=True)
class PollRequest:
    """One decoded poll of a node for the changes of a region's log."""

    node: str
    region: str
    position: Position  # up to which the node has the log
    current: frozenset[str] | None  # services that it has as of `position`; None if not stated
    redirected: bool  # the node asks not to be redirected again
    deadline_ns: int  # when the poll must be answered at the latest
    report: ServingReport | None  # None if the node's last report is still valid


class NodeRequests:
    """The request handler that all `SubscriberConnection`s of one machine share."""

    def __init__(
        self,
        nodes: NodeRegistry,
        publisher: Publisher,
        replica: Replica,
        addresses: Mapping[str, Address],
        max_watchers: int,
    ) -> None:
        """`addresses` maps each machine to its address for subscribers."""
        self.max_connections = max_watchers
        self.connections = 0
        self.counts: Counter[str] = Counter()
        self._nodes = nodes
        self._publisher = publisher
        self._replica = replica
        self._addresses = addresses
        self._pending: LongPolls[PollRequest] = LongPolls(self._on_timeout)
        self._watchers: dict[str, dict[str, Watcher]] = {}  # of pending polls, by node and region

    # Called by connections.

    def ready(self) -> bool:
        """Return True: polls are always accepted, and answered with what is available."""
        return True

    def is_waiting(self, caller: Watcher) -> bool:
        """Return whether the connection's last poll is still unanswered."""
        return caller in self._pending

    def cancel(self, caller: Watcher) -> None:
        """Drop the connection's pending poll without an answer."""
        request = self._remove_pending(caller)
        if request is not None:
            self._publisher.cancel(request.node, request.region)
            self._on_poll_ended(time.monotonic_ns(), request.node)

    def on_list_request(self, watcher: Watcher, since: int, hold_s: float, query: Query) -> None:
        """Handle a poll.

        `since` is the version that the node has, 0 for none. The response may be delayed by up to
        `hold_s` seconds.
        """
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

    # Called by the control machine.

    def wake(self, region: str, nodes: Iterable[str]) -> None:
        """Answer the pending polls of `nodes` for a region, if there is something new."""
        now = time.monotonic_ns()
        for node in nodes:
            watcher = self._watchers.get(node, {}).get(region)
            if watcher is not None:
                self._answer_pending(now, watcher)

    def wake_keys(self, keys: Iterable[SubscriberKey]) -> None:
        """Answer the pending polls of the (node, region) pairs, if there is something new."""
        for node, region in keys:
            self.wake(region, (node,))

    def push_assignments(self) -> bool:
        """Answer the pending polls of all nodes whose assignment has changed.

        Returns False if that raised an exception for some node. It is logged, and the other nodes
        are still answered.
        """
        now = time.monotonic_ns()
        pushed = [
            run_logged(self._push_assignment, now, watcher, request)
            for watcher, request in self._pending.items()
        ]
        return all(pushed)

    def _push_assignment(self, now: int, watcher: Watcher, request: PollRequest) -> None:
        if self._nodes.changed_assignment(now, request.node, request.region) is not None:
            self._answer_pending(now, watcher)

    def pending_count(self) -> int:
        """Return the number of pending polls."""
        return len(self._pending)

    def pending_nodes(self) -> frozenset[str]:
        """Return the nodes that have a pending poll."""
        return frozenset(self._watchers)

    def _decode(self, now: int, since: int, hold_s: float, query: Query) -> PollRequest:
        """Decode a poll completely, or raise an error, before any state changes.

        If a poll were recorded as open before its report turned out to be invalid, it would never
        be answered, and its node would count as present for an hour even if it is dead.
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
        """Answer a poll now, or keep it pending until there is something to send."""
        node, region = request.node, request.region
        services = self._nodes.services_in_region(node, region)
        answer = self._publisher.subscribe(
            now, node, region, request.position, services, request.current, request.redirected
        )
        if isinstance(answer, Refused):
            parameter = "region" if answer.reason is Refusal.UNKNOWN_REGION else "version"
            self._reject(watcher, f"{parameter}: [{answer.reason.value}] {region[:MAX_QUOTED]!r}")
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
        """Handle a poll without an update to send: answer with a pause or the assignment, or wait.

        At its deadline the poll gets an empty response.
        """
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
        self._pending.add(watcher, request, max(due_ns - now, 0) / SECOND)
        self._watchers.setdefault(request.node, {})[request.region] = watcher

    def _on_timeout(self, watcher: Watcher) -> None:
        self._answer_pending(time.monotonic_ns(), watcher)

    def _answer_pending(self, now: int, watcher: Watcher) -> None:
        request = self._remove_pending(watcher)
        if request is not None:
            self._answer_or_end(now, watcher, request)

    def _answer_or_end(
        self, now: int, watcher: Watcher, request: PollRequest, first_poll: bool = False
    ) -> None:
        """Answer a poll that is not pending, or close its connection if that raises an exception.

        If the exception were passed on, the other pending polls would not be answered. This poll
        would stay unanswered, and its node would count as present for an hour even if it is dead.
        Closing the connection makes the node poll again, or count as absent if it does not.
        """
        if not run_logged(self._answer, now, watcher, request, first_poll):
            self._on_poll_ended(now, request.node)
            watcher.abort()

    def _remove_pending(self, watcher: Watcher) -> PollRequest | None:
        """Remove and return the connection's pending poll, or None if it has none."""
        request = self._pending.pop(watcher)
        if request is not None:
            watchers = self._watchers[request.node]
            del watchers[request.region]
            if not watchers:
                del self._watchers[request.node]
        return request

    def _supersede(self, request: PollRequest) -> None:
        """Close the node's earlier connection if its poll for the same region is still pending.

        This happens if a connection is lost unnoticed and the node polls again on a new one. If
        both polls were kept, a response on the lost connection would count as received, and its
        late close would mark the node absent although its new poll is pending. With one pending
        poll for each node and region, the late close finds no poll to cancel.
        """
        earlier = self._watchers.get(request.node, {}).get(request.region)
        if earlier is not None:
            self._remove_pending(earlier)
            self._publisher.cancel(request.node, request.region)
            earlier.abort()

    def _on_poll_ended(self, now: int, node: str, pause_ns: int = 0) -> None:
        """Start the deadline for the node's next poll, unless one for another region is pending."""
        if node not in self._watchers:
            self._nodes.on_response(now, node, pause_ns)

    def _reject(self, watcher: Watcher, reason: str) -> None:
        self.counts["refused"] += 1
        watcher.reply(HTTPStatus.BAD_REQUEST, reason.encode())

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
        """Send a response; `pause_ns` is the delay before the node is expected to poll again."""
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
        raise InvalidInputError("generation: [range] not a non-negative integer")
    return ServingReport(tuple(_names(query["serving"][0])), generation)


def _names(text: str) -> list[str]:
    names = [name for name in text.split(",") if name]
    if len(names) > MAX_NAMES:
        raise InvalidInputError(f"names: [too-many] {len(names)}; at most {MAX_NAMES}")
    return names
