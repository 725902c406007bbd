"""Invariants of a fleet under faults, checked on all nodes at once as no node could.

Nodes keep to drains that they know of, no observation counts past its time, all nodes together
use no more slots of a server than it has, messages keep to their rate, and after all faults every
node has the same records and considers no node dead.
"""

from __future__ import annotations

from typing import NamedTuple

from loadbalancer.core import State
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.gossip.messages import DrainRecord, Observation
from loadbalancer.core.gossip.records import OBSERVATION_TTL_NS
from simulation.service_world.node_host import NodeHost
from simulation.service_world.world import ServiceWorld

CHECK_INTERVAL = 100 * MS
# Messages may be under way for so long in all: an observation's age doesn't count that.
MAX_TRANSIT = 8 * SECOND
# A node takes up what its own list allows with its next turn.
MAX_DRAIN_DELAY = 3 * CHECK_INTERVAL
MAX_MESSAGE_RATE = 45  # a second and node over the complete run: gossip, SWIM's probes, answers
MIN_DEPTH = 3  # nodes that each server is allocated to at least
AGREEMENT_WITHIN = 3 * SECOND
# After a mass kill, for limits between these, living nodes use at least this part of the slots.
SURVIVOR_LIMITS = (2, 6)
MIN_SLOT_USE = 0.7
SLOW_LATENCY_RATIO = 1.5


class EndpointKey(NamedTuple):
    """A server as one node knows it."""

    node: int
    server: int


class ObservationKey(NamedTuple):
    """One observation, wherever it is passed on."""

    server: int
    origin: int
    incarnation: int
    number: int


class InvariantChecker:
    """Checks at an interval from its creation on; breaches go to the world."""

    def __init__(self, world: ServiceWorld) -> None:
        self._world = world
        self._first_seen: dict[ObservationKey, int] = {}  # by any node
        self._drained: dict[EndpointKey, int] = {}  # the node's incarnation that knew of it
        self._used_since: dict[EndpointKey, int] = {}  # though the node knows that it drains
        world.call_at(CHECK_INTERVAL, self._check)

    def check_survivors(self) -> None:
        """With most nodes dead and known as such, the living use the dead ones' slots."""
        world = self._world
        living = len(world.hosts)
        limits = [host.balancer.concurrency_limit for host in world.hosts.values()]
        lowest, highest = SURVIVOR_LIMITS
        if living * 2 > world.node_count or any(x > highest or x < lowest for x in limits):
            return
        if any(world.nodes[n].members.alive_count() != living for n in world.hosts):
            return
        used = available = 0.0
        mean_limit = sum(limits) / living
        for server in range(len(world.pool)):
            endpoints = [host.balancer.endpoints[server] for host in world.hosts.values()]
            # A server that is slow, cold or draining has fewer slots whoever lives.
            if all(
                endpoint.latency_ratio < SLOW_LATENCY_RATIO
                and not endpoint.cold_until
                and endpoint.state == State.READY
                for endpoint in endpoints
            ):
                used += sum(endpoint.cap for endpoint in endpoints)
                available += min(
                    mean_limit, world.settings[0].slots_per_server * living / world.node_count
                )
        if used < MIN_SLOT_USE * available:
            world.breach(f"{living} living nodes use {used} slots of {available:.0f}")

    def check_end(self) -> None:
        """After all faults, and some time: nodes agree, and have kept to the rate of messages."""
        world = self._world
        for node, gossip_node in world.nodes.items():
            dead = [member.node for member in gossip_node.members.non_alive_records()]
            if dead:
                world.breach(f"node {node} still considers {dead} dead")
        if not world.run(world.now + AGREEMENT_WITHIN, lambda: len(self._record_digests()) == 1):
            world.breach(f"{len(self._record_digests())} different sets of records at the end")
        highest_rate = max(world.sent.values()) * SECOND / world.now
        if highest_rate > MAX_MESSAGE_RATE:
            world.breach(f"{highest_rate:.0f} messages a second of one node")

    def _record_digests(self) -> set[tuple[int, ...]]:
        return {tuple(node.records.digest) for node in self._world.nodes.values()}

    def _check(self) -> None:
        world = self._world
        self._check_slots()
        for node, host in world.hosts.items():
            for server in host.balancer.endpoints:
                key = EndpointKey(node, server)
                self._check_observations(key)
                self._check_return(key, host)
                self._check_drain(key, host)
        world.call_at(world.now + CHECK_INTERVAL, self._check)

    def _check_observations(self, key: EndpointKey) -> None:
        """No observation counts for longer than its time since any node first had it."""
        world = self._world
        for entry in world.nodes[key.node].records.records_of_server(key.server):
            record = entry.record
            if not isinstance(record, Observation):
                continue
            name = ObservationKey(
                record.server, record.origin, record.incarnation, record.sequence_number
            )
            age = world.now - self._first_seen.setdefault(name, world.now)
            if age > OBSERVATION_TTL_NS + MAX_TRANSIT and key.node not in world.paused:
                world.breach(f"node {key.node} uses an observation of {age / SECOND:.0f} s ago")

    def _check_return(self, key: EndpointKey, host: NodeHost) -> None:
        """A drained server stays drained at a node: in these runs none is listed ready again."""
        if host.balancer.endpoints[key.server].state != State.READY:
            self._drained[key] = host.incarnation
        elif self._drained.get(key) == host.incarnation:
            self._world.breach(f"server {key.server} came back at node {key.node}")

    def _check_drain(self, key: EndpointKey, host: NodeHost) -> None:
        """A node that another has notified of a drain stops using the server."""
        world, gossip_node = self._world, self._world.nodes[key.node]
        local_list = gossip_node.local_list
        knows_of_drain = any(
            isinstance(entry.record, DrainRecord) and entry.record.rev > local_list.rev
            for entry in gossip_node.records.records_of_server(key.server)
        )
        is_used = (
            knows_of_drain
            and host.balancer.endpoints[key.server].state == State.READY
            and key.node not in world.paused
        )
        # A node drains only so many servers that its own list has as ready.
        if not is_used or len(local_list.drained_by_gossip) >= local_list.max_drained_by_gossip():
            self._used_since.pop(key, None)
        elif world.now - self._used_since.setdefault(key, world.now) > MAX_DRAIN_DELAY:
            world.breach(f"node {key.node} knows that {key.server} drains and uses it")

    def _check_slots(self) -> None:
        """All nodes' caps at a server are at most its slots, or what the least depth needs."""
        world = self._world
        slots = world.settings[0].slots_per_server
        hosts = world.hosts.values()
        all_alive = all(
            world.nodes[node].members.alive_count() == world.node_count for node in world.hosts
        )
        # Under pressure the living use the slots of dead nodes.
        if not all_alive and any(host.balancer.concurrency_limit > slots - 1 for host in hosts):
            return
        ready = {_ready_servers(host) for host in hosts}
        if len(ready) > 1:
            return  # slots are allocated by the list, and nodes have different ones
        needed = -(-MIN_DEPTH * world.node_count // max(len(min(ready, default=())), 1))
        for server in range(len(world.pool)):
            # A paused node sends nothing, and adjusts its caps before it does again.
            active = [host for node, host in world.hosts.items() if node not in world.paused]
            endpoints = [host.balancer.endpoints[server] for host in active]
            if any(endpoint.cold_until for endpoint in endpoints):
                continue  # allocated by how warm it is, as without gossip
            total = sum(e.cap for e in endpoints if e.state == State.READY)
            if total > max(slots, needed):
                world.breach(f"{total} slots at server {server}")


def _ready_servers(host: NodeHost) -> tuple[int, ...]:
    endpoints = sorted(host.balancer.endpoints.items())
    return tuple(server for server, endpoint in endpoints if endpoint.state == State.READY)
