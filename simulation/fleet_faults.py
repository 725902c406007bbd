"""Seeds of faults before real Balancers with messages between them, and a referee.

    python -m simulation.fleet_faults --seeds 300  # all cores; each seed that fails as a command
    python -m simulation.fleet_faults --seed 17            # one again
    python -m simulation.fleet_faults --digest --seeds 20  # a digest of each seed's run

Drawn from each seed: nodes, servers, loss, delay, doubles, cuts, kills, stops, restarts,
drains, servers that fall silent. Then all heals. The referee keeps books of its own: the four
rules at the servers, slots over all nodes, drains that must not come undone, messages by pace,
and one picture at the end with nobody held for dead.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from random import Random
from typing import Any

from loadbalancer.core.balancing.model import MS, SECOND, State
from loadbalancer.core.gossip.messages import DrainRecord, MemberStatus, Observation
from loadbalancer.core.gossip.records import OBSERVATION_TTL_NS
from loadbalancer.core.gossip.slot_leases import SlotLeases
from simulation.digest import Digest
from simulation.seeds import run
from simulation.service_world.settings import ServicePlan
from simulation.service_world.world import ServiceWorld

FAULTS_FOR = 12 * SECOND
SETTLE = 12 * SECOND
LOOK = 100 * MS
LATE = 8 * SECOND  # that messages may be under way in all: what a link takes is not in their age
MAX_MESSAGES = 45  # a node and second over the whole: the pace, SWIM's own, and answers


def _always(*_: Any) -> bool:
    return True


def _old_merge(self: Any, now: int, accuser: int, life: Any) -> bool:
    """A merge that believes whatever came last."""
    if life.node == self.me:
        return False
    self.peers[life.node].incarnation = life.incarnation
    self._set_status(now, life.node, MemberStatus(life.status))
    return True


def _ageless(self: Any, now: int, key: tuple[int, int]) -> Any:
    """What is passed on is as if just seen."""
    held = self._records.get(key[0], {}).get(key[1])
    return held and held.record


def _bottomless(self: Any, deal: int, depth: int, servers: int) -> int:
    return 40


def _forget(self: Any, server: int, boot: int, rev: int) -> None:
    return None


def _endless(self: Any, now: int, lender: int, serial: int, classes: int) -> None:
    """A borrower that counts from when the message came, and far."""
    _on_grant(self, now, lender, serial, classes)
    lease = self.active.get(lender)
    if lease is not None:
        self.active[lender] = lease._replace(expires_at=now + 20 * SECOND)


_on_grant = SlotLeases.on_grant


MUTANTS: dict[str, tuple[str, str, Callable[..., Any]]] = {
    "old-incarnation-believed": ("Membership", "merge", _old_merge),
    "drain-forgotten": ("RecordStore", "drain_state", _forget),
    "ages-begin-anew": ("RecordStore", "get", _ageless),
    "observation-without-an-end": ("RecordStore", "expire", lambda self, now: None),
    "slots-without-a-bound": ("SlotAllocation", "depth", _bottomless),
    "dead-node-s-slots-kept": ("SlotAllocation", "depth", lambda self, deal, depth, servers: depth),
    "lease-without-an-end": ("SlotLeases", "on_grant", _endless),
    "lent-and-used": ("SlotLeases", "granted_classes", lambda self: 0),
}


class Referee:
    """Looks at the world as nobody in it can."""

    def __init__(self, world: ServiceWorld) -> None:
        self.world = world
        self.first: dict[tuple[int, ...], int] = {}  # when an observation was first held by anyone
        self.drained: dict[tuple[int, int], int] = {}  # (node, server) -> its life then
        self.used: dict[tuple[int, int], int] = {}  # since when though known to drain
        self.world.later(LOOK, self.look)

    def observations(self, node: int, server: int) -> None:
        """An observation counts for its time from when it was first seen anywhere."""
        world = self.world
        for held in world.nodes[node].records.of_server(server):
            r = held.record
            if isinstance(r, Observation):
                name = (r.server, r.origin, r.incarnation, r.number)
                age = world.now - self.first.setdefault(name, world.now)
                if age > OBSERVATION_TTL_NS + LATE and node not in world.stopped:
                    world.breach(f"node {node} believes a sight of {age / 1e9:.0f} s")

    def look(self) -> None:
        world = self.world
        self.slots()
        for node, host in world.hosts.items():
            fleet = world.nodes[node]
            for server, backend in host.balancer.endpoints.items():
                key = (node, server)
                self.observations(node, server)
                known = any(
                    isinstance(h.record, DrainRecord) and h.record.rev > fleet.local_list.rev
                    for h in fleet.records.of_server(server)
                )
                if backend.state != State.READY:
                    self.drained[key] = host.incarnation
                elif self.drained.get(key) == host.incarnation:
                    # No server here is ever listed as ready again.
                    world.breach(f"server {server} came back at node {node}")
                used = known and backend.state == State.READY and node not in world.stopped
                if not used or len(fleet.local_list.drained) >= fleet.local_list.max_drained():
                    self.used.pop(key, None)
                # Room that our own list has made is taken up with the next turn.
                elif world.now - self.used.setdefault(key, world.now) > 3 * LOOK:
                    world.breach(f"node {node} knows that {server} drains and uses it")
        world.later(world.now + LOOK, self.look)

    def slots(self) -> None:
        """All nodes' caps at a server: what it takes, but where pressure goes past the dead."""
        world = self.world
        most = world.terms[0].slots
        whole = all(world.nodes[n].members.alive_count() == len(world.terms) for n in world.hosts)
        if not whole and any(h.balancer.concurrency_limit > most - 1 for h in world.hosts.values()):
            return
        lists = {
            tuple(s for s, b in sorted(h.balancer.endpoints.items()) if b.state == State.READY)
            for h in world.hosts.values()
        }
        if len(lists) > 1:
            return  # the order of slots follows the list, and these go by two
        least = -(-3 * len(world.terms) // max(len(min(lists, default=())), 1))
        for server in range(len(world.pool)):
            # One that is stopped sends nothing, and sees to its caps before it does again.
            going = [h for n, h in world.hosts.items() if n not in world.stopped]
            caps = [h.balancer.endpoints[server] for h in going]
            if any(b.cold_until for b in caps):
                continue  # dealt by warmth, as without gossip
            total = sum(b.cap for b in caps if b.state == State.READY)
            if total > max(most, least):
                world.breach(f"{total} slots at server {server}")

    def survivors(self) -> None:
        """With nodes dead and known as such, the living hold about the level together."""
        world = self.world
        living = len(world.hosts)
        if living * 2 > len(world.terms) or any(
            h.balancer.concurrency_limit > 6 or h.balancer.concurrency_limit < 2
            for h in world.hosts.values()
        ):
            return
        for node in world.hosts:
            if world.nodes[node].members.alive_count() != living:
                return
        held = level = 0.0
        asked = sum(h.balancer.concurrency_limit for h in world.hosts.values()) / living
        for server in range(len(world.pool)):
            rows = [h.balancer.endpoints[server] for h in world.hosts.values()]
            # One that is slow, cold or draining has fewer slots whoever lives.
            if all(
                b.latency_ratio < 1.5 and not b.cold_until and b.state == State.READY for b in rows
            ):
                held += sum(b.cap for b in rows)
                level += min(asked, world.terms[0].slots * living / len(world.terms))
        if held < 0.7 * level:
            world.breach(f"{living} living nodes hold {held} slots of {level:.0f}")

    def pictures(self) -> set[tuple[int, ...]]:
        return {tuple(f.records.digest) for f in self.world.nodes.values()}

    def end(self) -> None:
        """All has healed, and time has passed."""
        world = self.world
        for node, fleet in world.nodes.items():
            dead = [life.node for life in fleet.members.not_alive()]
            if dead:
                world.breach(f"node {node} still holds {dead} for dead")
        if not world.run(world.now + 3 * SECOND, lambda: len(self.pictures()) == 1):
            world.breach(f"{len(self.pictures())} pictures at the end")
        busiest = max(world.sent.values()) * SECOND / world.now
        if busiest > MAX_MESSAGES:
            world.breach(f"{busiest:.0f} messages a second of one node")


def play(seed: int, digest: Digest | None = None) -> list[str]:
    """One seed's breaches; what is sent and decided goes into `digest`."""
    draw = Random(seed)
    nodes, servers = draw.randint(3, 9), draw.randint(4, 8)
    # Every other seed has few slots, and one node that gets most of what all servers can do.
    rate, hot, slots = (150.0, (0,), 6) if seed % 2 else (30.0, (), 15)
    world = ServiceWorld(
        ServicePlan(
            nodes=nodes,
            servers=servers,
            seed=seed,
            gossip=True,
            rate=rate * servers,
            hot_nodes=hot,
            hot_weight=16,
            slots=slots,
        )
    )
    world.digest = digest
    referee = Referee(world)
    world.start_all()
    world.run(2 * SECOND)
    world.clients.run(world.now + FAULTS_FOR + SETTLE // 2)
    world.links.loss = draw.choice([0.0, 0.1, 0.3])
    world.links.jitter = draw.choice([MS, 50 * MS, 2 * SECOND])
    world.links.double = draw.choice([0.0, 0.2])
    until = world.now + FAULTS_FOR
    while world.now < until:
        _fault(world, draw)
        world.run(world.now + draw.randrange(SECOND // 5, 2 * SECOND))
    if draw.random() < 0.5:
        _mass_kill(world, referee, draw)
    _heal(world)
    world.run(world.now + SETTLE)
    world.run(world.now + OBSERVATION_TTL_NS)  # what was seen in the faults has had its time
    referee.end()
    return world.breaches


def _fault(world: ServiceWorld, draw: Random) -> None:
    nodes, running = len(world.terms), list(world.hosts)
    what = draw.choice(["cut", "one-way", "mend", "kill", "start", "stop", "go", "drain", "silent"])
    if what == "cut":
        side = {n for n in range(nodes) if draw.random() < 0.5}
        world.links.part(side, set(range(nodes)) - side)
    elif what == "one-way":
        world.links.cut |= {(draw.randrange(nodes), draw.randrange(nodes)) for _ in range(3)}
    elif what == "mend":
        world.links.cut = set()
    elif what == "kill" and len(running) > 1:
        world.kill(draw.choice(running))
    elif what == "start":
        _start(world)
    elif what == "stop" and running:
        node = draw.choice(running)
        if node not in world.stopped:
            world.stop(node)
    elif what == "go":
        _go_on(world)
    elif (
        what == "drain"
        and running
        and sum(s == State.READY for s in world.endpoint_list.states) > 2
    ):
        server = draw.choice(
            [i for i, s in enumerate(world.endpoint_list.states) if s == State.READY]
        )
        world.endpoint_list.change(server, State.DRAINING, [draw.choice(running)])
    elif what == "silent":
        world.pool[draw.randrange(len(world.pool))].silent ^= True


def _mass_kill(world: ServiceWorld, referee: Referee, draw: Random) -> None:
    """Seven in ten at once, the rest well linked, and a look once they know."""
    _heal(world)
    world.run(world.now + 6 * SECOND)
    for node in draw.sample(list(world.hosts), len(world.hosts) * 7 // 10):
        world.kill(node)
    world.run(world.now + 9 * SECOND)
    referee.survivors()


def _start(world: ServiceWorld) -> None:
    for node in range(len(world.terms)):
        if node not in world.hosts:
            world.start(node)


def _go_on(world: ServiceWorld) -> None:
    for node in list(world.stopped):
        world.go_on(node)


def _heal(world: ServiceWorld) -> None:
    world.links.cut, world.links.loss, world.links.jitter = set(), 0.0, MS
    for server in world.pool:
        server.silent = False
    _go_on(world)
    _start(world)


def digest_of(seed: int) -> str:
    """The digest of one seed's run."""
    digest = Digest()
    play(seed, digest)
    return digest.value()


def main() -> int:
    """0 where no seed breaks a rule, 1 where one does."""
    return run(__doc__, "simulation.fleet_faults", play, 300, None, digest_of)


if __name__ == "__main__":
    sys.exit(main())
