"""The host of one node's Balancer: carries out its actions in the world."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, NamedTuple

from loadbalancer.core import Balancer, Outcome, Settings, Update
from loadbalancer.core.balancing.model import MS, SECOND
from simulation.list_world.client import ListClient
from simulation.list_world.rows import decode_row
from simulation.service_world.counters import Count
from simulation.service_world.settings import CLASSES, DRAIN_GRACE, PAUSED_TIMER_DELAY

if TYPE_CHECKING:
    from simulation.service_world.world import ServiceWorld

MAX_ATTEMPTS = 4
MAX_RETRY_AFTER = 2 * SECOND


class AttemptKey(NamedTuple):
    """One attempt of a node's request; attempts count from 0."""

    request: int
    attempt: int


class OpenAttempt(NamedTuple):
    """An attempt without an outcome yet."""

    server: int
    sent_at: int


class NodeHost:
    """One incarnation of a node, with its Balancer and, where the list is polled, its client."""

    def __init__(self, world: ServiceWorld, node: int) -> None:
        self.world = world
        self.node = node
        self.incarnation = world.incarnation(node)
        settings = Settings(
            CLASSES,
            node=node,
            nodes=world.node_count,
            drain_grace=DRAIN_GRACE,
            max_attempts=MAX_ATTEMPTS,
            max_retry_after=MAX_RETRY_AFTER,
            poll=world.endpoint_list.service is not None,
        )
        self.balancer = Balancer(settings, world.random.getrandbits(32), self)
        self.known_states = dict(enumerate(world.endpoint_list.states))  # of a pushed list
        self.list_client: ListClient | None = None
        if world.endpoint_list.service is not None:
            self.list_client = ListClient(
                world,
                node,
                world.endpoint_list.service,
                world.endpoint_list.known_at_start(node),
                self._on_polled_list,
                settings,
            )
        self.open_attempts: dict[AttemptKey, OpenAttempt] = {}
        self._attempts_sent: dict[int, int] = {}  # by request
        self._answered: set[int] = set()  # requests

    @property
    def now(self) -> int:
        """The time by the node's own clock."""
        return self.world.clock(self.node)

    def is_running(self) -> bool:
        """Whether this incarnation runs or is paused."""
        return self.world.hosts.get(self.node) is self

    def record(self, *values: object) -> None:
        """Add to the digest what this node has decided, or what has been notified to it."""
        if self.world.digest is not None:
            self.world.digest.add(self.world.now, self.node, self.incarnation, *values)

    # The Balancer's actions. Their names and parameters are the product's interface.

    def send(self, request: int, backend: int, timeout: int) -> None:
        """Send the request's next attempt."""
        attempt = self._attempts_sent.get(request, 0)
        self._attempts_sent[request] = attempt + 1
        key = AttemptKey(request, attempt)
        self.open_attempts[key] = OpenAttempt(backend, self.world.now)
        self.record(request, attempt, backend, timeout)
        self.world.attempts.begin(self, key, backend, timeout)

    def refuse(self, request: int, retry_after: int) -> None:
        """Answer that the request may be repeated later."""
        self.record(request, retry_after)
        self._answer(request, Count.REFUSED)

    def fail(self, request: int) -> None:
        """Answer that the request has failed."""
        self.record(request)
        self._answer(request, Count.FAILED)

    def cancel(self, request: int, attempt: int) -> None:
        """Nothing to do: this world sends no hedged requests."""

    def set_timer(self, token: int, due: int) -> None:
        """Run the Balancer's timer at `due` by the node's clock."""
        self.world.call_at(due - self.world.clock_offsets[self.node], self._on_timer, token)

    def watch(self) -> None:
        """Poll the list; where there is no service to poll, the list is pushed."""
        if self.list_client is not None:
            self.list_client.watch()

    def log(self, text: str) -> None:
        """Drop the line."""

    # What comes of the actions.

    def on_outcome(self, key: AttemptKey, outcome: Outcome) -> None:
        """Report an attempt's outcome to the Balancer, once."""
        entry = self.open_attempts.pop(key, None)
        if entry is None or not self.is_running():
            return
        duration = self.world.now - entry.sent_at
        self.record(key.request, key.attempt, outcome, duration)
        if outcome == Outcome.OK and key.request not in self._answered:
            self._answered.add(key.request)
            self.world.count(Count.SERVED)
        elif outcome not in (Outcome.OK, Outcome.FULL):
            self.world.count(Count.LOST)
        is_answered = key.request in self._answered
        self.balancer.on_outcome(self.now, *key, outcome, duration, is_answered)

    def _answer(self, request: int, count: Count) -> None:
        if request in self._answered:
            self.world.breach(f"request {request} of node {self.node} answered twice")
        self._answered.add(request)
        self.world.count(count)

    def _on_timer(self, token: int) -> None:
        if not self.is_running():
            return
        if self.node in self.world.paused:
            self.world.call_at(self.world.now + PAUSED_TIMER_DELAY, self._on_timer, token)
            return
        self.balancer.on_timer(self.now, token)

    def _on_polled_list(self, update: Update, rows: Mapping[str, str | None]) -> None:
        """Pass on a list from the service or from another node, or that a poll has failed."""
        world, now = self.world, self.now
        clock_offset = world.clock_offsets[self.node]
        found = [decode_row(uid, text, clock_offset) for uid, text in rows.items()]
        if update != Update.FAILED:
            gossip_node = world.nodes[self.node]
            is_complete = update in (Update.FULL, Update.CACHED)
            assert self.list_client is not None  # only its own answers come here
            local = [(r.backend, max(r.boot - clock_offset, 0) // MS, r.state) for r in found]
            gossip_node.on_local_list(now, self.list_client.rev, local, is_complete)
            for row in found:
                world.endpoint_list.on_notified(self.node, row.backend, row.state)
            if world.gossip:
                found = [
                    row._replace(state=gossip_node.effective_state(row.backend, boot, row.state))
                    for row, (_, boot, _state) in zip(found, local, strict=True)
                ]
        self.balancer.on_members(now, update, found)
        if self.balancer.ready:
            world.clients.add_node(self.node)
