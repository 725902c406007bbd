"""Nodes' questions to a control machine, and its answers in the list's form."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from loadbalancer.config.address import Address
from loadbalancer.control.machine import list_form as listform
from loadbalancer.control.machine.nodes import NodeRegistry
from loadbalancer.control.machine.version import position_of
from loadbalancer.core.assignment.model import InvalidInputError, Position
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.replicated_log.replication import Replica
from loadbalancer.core.subscription import answers
from loadbalancer.core.subscription.answers import Refusal
from loadbalancer.core.subscription.publisher import Publisher
from loadbalancer.sources.http_get import whole_number
from loadbalancer.sources.watchers import Query, Watcher

MOST_HEAD = 64 << 10  # bytes of a question: it may name the services of a node
MOST_NAMES = 1024  # services that one question may name
ELSEWHERE_PAUSE = 2 * SECOND  # a node that is sent on has so long to be heard at the other

Key = tuple[str, str]  # node and region


class SubscriberConnection(Watcher):
    """One connection of a node that knows of services."""

    most_bytes = MOST_HEAD


@dataclass(slots=True)
class PollRequest:
    """What a node asked, and waits for."""

    node: str
    region: str
    position: Position
    held: frozenset[str] | None
    redirected: bool
    until: int  # when it is answered at the latest
    timer: asyncio.TimerHandle | None = None


class NodeRequests:
    """The host of all `SubscriberConnection`s at one machine."""

    def __init__(
        self,
        nodes: NodeRegistry,
        publisher: Publisher,
        replica: Replica,
        addresses: Mapping[str, Address],
        most_watchers: int,
    ) -> None:
        self.most_watchers = most_watchers
        self.connections = 0
        self.counts: Counter[str] = Counter()
        self._nodes = nodes
        self._publisher = publisher
        self._replica = replica
        self._addresses = addresses  # of the machines, for subscribers
        self._waiting: dict[Watcher, PollRequest] = {}
        self._by_key: dict[Key, Watcher] = {}

    # ---- what a connection asks its host ----------------------------------

    def ready(self) -> bool:
        """Each question is answered on its own terms."""
        return True

    def waits(self, caller: Watcher) -> bool:
        return caller in self._waiting

    def forget(self, caller: Watcher) -> None:
        question = self._leave(caller)
        if question is not None:
            self._publisher.cancel(question.node, question.region)
            self._nodes.on_response(time.monotonic_ns(), question.node)

    def asked(self, watcher: Watcher, since: int, hold: float, query: Query) -> None:
        now = time.monotonic_ns()
        try:
            question = self._question(now, since, hold, query)
            self._heard(now, question, query)
        except InvalidInputError as err:
            self._refuse(watcher, str(err))
            return
        anew = since == 0
        self._answer(now, watcher, question, anew)

    # ---- what the machine tells it ----------------------------------------

    def wake(self, region: str, nodes: Iterable[str]) -> None:
        """There may be news for these."""
        now = time.monotonic_ns()
        for node in nodes:
            watcher = self._by_key.get((node, region))
            if watcher is not None:
                self._again(now, watcher)

    def wake_keys(self, keys: Iterable[Key]) -> None:
        """There may be news for these nodes in these regions."""
        for node, region in keys:
            self.wake(region, (node,))

    def push_assignments(self) -> None:
        """Answer the waiting nodes whose orders have changed."""
        now = time.monotonic_ns()
        for watcher, question in [*self._waiting.items()]:
            if self._nodes.changed_assignment(now, question.node, question.region) is not None:
                self._again(now, watcher)

    def waiting_count(self) -> int:
        """How many questions wait for an answer."""
        return len(self._waiting)

    # ---- one question ------------------------------------------------------

    def _question(self, now: int, since: int, hold: float, query: Query) -> PollRequest:
        node, region = (query.get(key, [""])[0] for key in ("node", "region"))
        if not self._nodes.is_registered(node):
            raise InvalidInputError(f"node: [{Refusal.UNKNOWN_NODE.value}] no node {node[:64]!r}")
        held = None
        if "held" in query:
            held = frozenset(_names(query["held"][0]))
        redirected = query.get("redirected") == ["1"]
        until = now + int(hold * SECOND)
        return PollRequest(node, region, position_of(since), held, redirected, until)

    def _heard(self, now: int, question: PollRequest, query: Query) -> None:
        """Take what the question says of the node itself."""
        self._nodes.on_poll(now, question.node)
        if "serving" in query:
            generation = whole_number(query.get("generation", ["0"])[0])
            if generation is None:
                raise InvalidInputError("generation: [range] no whole number")
            self._nodes.on_report(question.node, _names(query["serving"][0]), generation)

    def _refuse(self, watcher: Watcher, why: str) -> None:
        self.counts["refused"] += 1
        watcher.reply(400, why.encode())

    def _again(self, now: int, watcher: Watcher) -> None:
        question = self._leave(watcher)
        if question is not None:
            self._answer(now, watcher, question, False)

    def _answer(self, now: int, watcher: Watcher, question: PollRequest, anew: bool) -> None:
        """Answer now, or keep the question until there is something to say."""
        node, region = question.node, question.region
        services = self._nodes.services_in_region(node, region)
        found = self._publisher.subscribe(
            now, node, region, question.position, services, question.held, question.redirected
        )
        if isinstance(found, answers.Refused):
            place = "region" if found.reason is Refusal.UNKNOWN_REGION else "version"
            self._refuse(watcher, f"{place}: [{found.reason.value}] {region[:64]!r}")
            self._nodes.on_response(now, node)
            return
        self._replica.on_reported(now, region, question.position)
        if isinstance(found, answers.Redirect):
            self._send_on(now, watcher, question, found.machine)
        elif isinstance(found, answers.SendUpdate):
            orders = self._nodes.changed_assignment(now, node, region, anew)
            self._reply(now, watcher, question, listform.encode(found.update, orders), orders)
        else:
            self._put_off(now, watcher, question, found, anew)

    def _put_off(
        self,
        now: int,
        watcher: Watcher,
        question: PollRequest,
        found: answers.RetryAfter | answers.Wait,
        anew: bool,
    ) -> None:
        """There is nothing to send yet: orders alone, or a pause, or a wait."""
        orders = self._nodes.changed_assignment(now, question.node, question.region, anew)
        if isinstance(found, answers.RetryAfter):
            pause = max(found.delay // MS, 1)
            body = listform.encode_empty(question.position, pause_ms=pause)
            self._reply(now, watcher, question, body, None, found.delay)
        elif orders is not None:
            body = listform.encode_assignment(question.position, orders)
            self._reply(now, watcher, question, body, orders)
        elif question.until <= now:
            self._reply(now, watcher, question, listform.encode_empty(question.position), None)
        else:
            self._keep(now, watcher, question, found.until)

    def _keep(self, now: int, watcher: Watcher, question: PollRequest, until: int | None) -> None:
        due = question.until if until is None else min(question.until, until)
        loop = asyncio.get_running_loop()
        question.timer = loop.call_later(max(due - now, 0) / SECOND, self._expired, watcher)
        self._waiting[watcher] = question
        self._by_key[question.node, question.region] = watcher

    def _expired(self, watcher: Watcher) -> None:
        self._again(time.monotonic_ns(), watcher)

    def _leave(self, watcher: Watcher) -> PollRequest | None:
        """The question no longer waits."""
        question = self._waiting.pop(watcher, None)
        if question is None:
            return None
        if question.timer is not None:
            question.timer.cancel()
        key = (question.node, question.region)
        if self._by_key.get(key) is watcher:
            del self._by_key[key]
        return question

    def _send_on(self, now: int, watcher: Watcher, question: PollRequest, machine: str) -> None:
        self.counts["sent elsewhere"] += 1
        more: dict[str, Any] = {"elsewhere": machine, "address": str(self._addresses[machine])}
        body = listform.encode_empty(question.position, **more)
        self._reply(now, watcher, question, body, None, ELSEWHERE_PAUSE)

    def _reply(
        self,
        now: int,
        watcher: Watcher,
        question: PollRequest,
        body: bytes,
        orders: listform.NodeAssignment | None,
        pause: int = 0,
    ) -> None:
        self._nodes.on_response(now, question.node, pause)
        if orders is not None:
            self._nodes.on_assignment_sent(question.node, question.region, orders)
        self.counts["answers"] += 1
        self.counts["bytes"] += len(body)
        watcher.reply(200, body)


def _names(text: str) -> list[str]:
    names = [name for name in text.split(",") if name]
    if len(names) > MOST_NAMES:
        raise InvalidInputError(f"names: [too-many] {len(names)}; at most {MOST_NAMES}")
    return names
