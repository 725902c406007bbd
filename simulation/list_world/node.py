"""One node's Balancer without requests: it says when the list is polled."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from loadbalancer.core import Balancer, RequestClass, Settings, Update
from loadbalancer.core.balancing.model import MS, SECOND, Timer
from simulation.list_world.client import ListClient
from simulation.list_world.rows import decode_row

if TYPE_CHECKING:
    from simulation.list_world.world import ListWorld

REQUEST_CLASS = RequestClass("balance", 800 * MS, 2 * SECOND)


class ListNode:
    """One incarnation of a node, the host of its Balancer."""

    def __init__(self, world: ListWorld, node: int) -> None:
        self.ready_at: int | None = None  # the world's time when it first had a list
        self._world = world
        self._node = node
        settings = Settings(
            (REQUEST_CLASS,), node=node, nodes=world.settings[node].nodes, poll=True
        )
        self.balancer = Balancer(settings, world.random.getrandbits(32), self)
        self.list_client = ListClient(
            world, node, world.service, world.known_at_start(node), self._on_list, settings
        )

    def begin(self) -> None:
        """Start the Balancer, with the list that the node has at its start."""
        self.balancer.start(self._world.clock(self._node))
        self.list_client.begin()

    # The Balancer's actions. Their names and parameters are the product's interface.

    def send(self, request: int, backend: int, timeout: int) -> None:
        """Never called: no requests arrive."""
        raise NotImplementedError

    def refuse(self, request: int, retry_after: int) -> None:
        """Never called: no requests arrive."""
        raise NotImplementedError

    def fail(self, request: int) -> None:
        """Never called: no requests arrive."""
        raise NotImplementedError

    def cancel(self, request: int, attempt: int) -> None:
        """Never called: no requests arrive."""
        raise NotImplementedError

    def set_timer(self, token: int, due: int) -> None:
        """Run the Balancer's timer at `due` by the node's clock; no requests are to balance."""
        if token != Timer.CYCLE:
            self._world.call_at(due - self._world.clock_offsets[self._node], self._on_timer, token)

    def watch(self) -> None:
        """Poll the list."""
        self.list_client.watch()

    def log(self, text: str) -> None:
        """Drop the line."""

    def _on_timer(self, token: int) -> None:
        world = self._world
        if world.list_nodes.get(self._node) is self and self._node in world.nodes:
            self.balancer.on_timer(world.clock(self._node), token)

    def _on_list(self, update: Update, rows: Mapping[str, str | None]) -> None:
        """Pass on a list from the service or from another node, or that a poll has failed."""
        if self.ready_at is None and rows:
            self.ready_at = self._world.now
        if update == Update.DELTA and not rows:
            return  # without requests it would only divide the same servers again
        clock_offset = self._world.clock_offsets[self._node]
        listings = [decode_row(uid, text, clock_offset) for uid, text in rows.items()]
        self.balancer.on_members(self._world.clock(self._node), update, listings)
