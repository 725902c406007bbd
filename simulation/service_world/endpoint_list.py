"""The states of the servers in the list, and how these reach the nodes.

A pushed list's change is notified to some nodes at once and to the others within the time that
the rules allow. A polled one is served by a `ListService`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING

from loadbalancer.core import Listing, State, Update
from loadbalancer.core.balancing.model import MS
from simulation.list_world.rows import KnownList, encode_row
from simulation.list_world.service import ListService
from simulation.list_world.world import knows_nothing
from simulation.service_world.counters import Count
from simulation.service_world.server import Server
from simulation.service_world.settings import (
    DRAIN_GRACE,
    LIST_DELAY,
    PAUSED_LIST_DELAY,
    RESTART_TIME,
    ServicePlan,
)

if TYPE_CHECKING:
    from simulation.service_world.node_host import NodeHost
    from simulation.service_world.world import ServiceWorld


def _uid(server: int) -> str:
    return f"s{server}"


class EndpointList:
    """The states of all servers by index; `service` is None where the list is pushed."""

    def __init__(self, world: ServiceWorld, plan: ServicePlan) -> None:
        self.states = [State.READY] * plan.servers
        self.known_at_start: Callable[[int], KnownList] = knows_nothing  # by node, if polled
        self.service: ListService | None = None
        if plan.list_readers is not None:
            self.service = ListService(world, {_uid(i): encode_row(i) for i in range(plan.servers)})
        self._world = world
        self._rev = 1

    def push_all(self, host: NodeHost) -> None:
        """Give a node that has just started the list as it is."""
        world, node, now = self._world, host.node, host.now
        local = [(server, 0, state) for server, state in enumerate(self.states)]
        world.nodes[node].on_local_list(now, self._rev, local, True)
        rows = [Listing(server, state) for server, state in enumerate(self.states)]
        host.balancer.on_members(now, Update.CACHED, rows)
        for server, state in enumerate(self.states):
            self.on_notified(node, server, state)

    def on_notified(self, node: int, server: int, state: State) -> None:
        """Note that a node knows of a server's state from now on."""
        notified_at = self._world.pool[server].drain_notified_at
        if state == State.READY:
            notified_at.pop(node, None)
        else:
            notified_at.setdefault(node, self._world.now)

    def change(self, server: int, state: State, first: Iterable[int]) -> None:
        """Change a server's state; a pushed list is notified to the nodes of `first` at once."""
        self._rev += 1
        self.states[server] = state
        if self.service is not None:
            started_ms = self._world.pool[server].started_at // MS
            is_listed = state != State.GONE
            row = encode_row(server, 0, state, started_ms) if is_listed else None
            self.service.change({_uid(server): row})
            return
        world, states, first_nodes = self._world, tuple(self.states), frozenset(first)
        for node in list(world.hosts):
            delay = 0 if node in first_nodes else LIST_DELAY
            world.call_at(world.now + delay, self._push, node, self._rev, states)

    def replace(self, server: int, first: Iterable[int]) -> None:
        """Drain a server and add another; the first is down once its grace period has ended."""
        world = self._world
        world.pool.append(Server())
        self.states.append(State.READY)
        if self.service is not None:
            self.restart([len(world.pool) - 1])
        self.change(server, State.DRAINING, first)
        world.call_at(world.now + DRAIN_GRACE, self._remove, server)

    def restart(self, servers: Sequence[int]) -> None:
        """Start these servers anew, cold, and list them so at once."""
        world = self._world
        for server in servers:
            world.pool[server].restart(max(world.now, MS))
            self.change(server, State.READY, list(world.hosts))

    def restart_overwhelmed(self, server: int) -> None:
        """A cold server got more than it can bear: it is down, and restarts after a while."""
        world = self._world
        world.count(Count.OVERWHELMED)
        world.pool[server].down = True
        world.call_at(world.now + RESTART_TIME, self.restart, (server,))

    def start_all_cold(self) -> None:
        """Let all servers have started now, where the list is polled and no node runs yet."""
        assert self.service is not None  # a pushed list has no start times
        now = self._world.now
        for index, server in enumerate(self._world.pool):
            server.started_at = now
            self.service.rows[_uid(index)] = encode_row(index, 0, State.READY, now // MS)

    def _remove(self, server: int) -> None:
        self._world.pool[server].down = True

    def _push(self, node: int, rev: int, states: tuple[State, ...]) -> None:
        """A version reaches a node in full: what has changed for the node is an update."""
        world, host = self._world, self._world.hosts.get(node)
        if host is None or world.nodes[node].local_list.rev >= rev:
            return
        if node in world.paused:
            world.call_at(world.now + PAUSED_LIST_DELAY, self._push, node, rev, states)
            return
        known = host.known_states
        changed = [(server, s) for server, s in enumerate(states) if known.get(server) != s]
        known.update(changed)
        gossip_node = world.nodes[node]
        local = [(server, 0, state) for server, state in changed]
        gossip_node.on_local_list(host.now, rev, local, False)
        for server, state in changed:
            self.on_notified(node, server, state)
        rows = [
            Listing(
                server, gossip_node.effective_state(server, 0, state) if world.gossip else state
            )
            for server, state in changed
        ]
        host.record(rev, [(listed.backend, listed.state) for listed in rows])
        host.balancer.on_members(host.now, Update.DELTA, rows)
