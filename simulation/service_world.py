"""Real Balancers and fleet modules in one world, with servers, load, and a referee's books.

A server works through what it holds in turn with a number of workers, takes so many at once
and turns further ones away; silent, it answers nothing. Drains are told by the list service to
some nodes at first and to all within the rules' time.
"""

from __future__ import annotations

import heapq
from collections import Counter, deque
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from loadbalancer.core import (
    Balancer,
    Effect,
    Listing,
    Outcome,
    RequestClass,
    Settings,
    State,
    Update,
)
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.gossip.balancer_bridge import BalancerBridge
from loadbalancer.core.gossip.messages import Message, Outgoing
from simulation.gossip_world import World
from simulation.list_world import ListClient, ListService, listing, row

BALANCE = RequestClass("balance", 800 * MS, 2 * SECOND)
CREDIT = RequestClass("credit", 750 * MS, 3 * SECOND, Effect.SIDE_EFFECT, priority_weight=5.0)
WORK = 10 * MS
WORKERS = 2
TAKES = 17  # requests that a server holds at once
GRACE = 2 * SECOND
CREDIT_PART = 0.2
USUAL = Settings((BALANCE, CREDIT))  # of which servers are cold as it says, and how they fall
DOWN = 3 * SECOND  # a server that has fallen is back, cold, after this


def trouble(world: Service, what: str) -> None:
    """`drain`: of 3 servers, told to node 0 first; `silent`, `slow`, `tight` (takes 4): one in
    eight is; `kill`: 3 are silent, and 7 nodes in 10 are killed with them; `cut`: every message is
    lost; `replaced`: 6 servers in 10 within 7 s, each told to one node first."""
    if what == "kill":
        for node in range(len(world.terms) * 7 // 10):
            world.kill(node)
    if what == "cut":
        world.links.loss = 1.0
        return
    if what == "replaced":
        for server in range(len(world.pool) * 6 // 10):
            at = world.now + server * 7 * SECOND // (len(world.pool) * 6 // 10)
            first = world.random.randrange(len(world.terms))
            world.later(at, world.replace, server, [first])
        return
    few = len(world.pool) // 8 if what in ("silent", "slow", "tight") else 3
    for server in range(1, 1 + few):
        if what == "drain":
            world.relist(server, State.DRAINING, [0])
        elif what == "slow":
            world.pool[server].slow = 8
        elif what == "tight":
            world.pool[server].takes = 4
        else:
            world.pool[server].silent = True


class Server:
    """One server's books."""

    def __init__(self) -> None:
        self.silent = False
        self.gone = False
        self.slow = 1  # times the usual work
        self.takes = TAKES
        self.held = 0
        self.most = 0
        self.free = [0] * WORKERS  # when each worker is done with what it has been given
        self.told: dict[int, int] = {}  # node -> when the list service told it of the drain
        self.boot = 0  # when it started, 0 for long ago
        self.came: deque[int] = deque()  # requests, while it is cold

    def warmth(self, now: int) -> float:
        """The part of its capacity that it has by now."""
        if not self.boot:
            return 1.0
        warm = (now - self.boot) / USUAL.cold
        return min(USUAL.cold_from + (1.0 - USUAL.cold_from) * warm, 1.0)

    def falls(self, now: int) -> bool:
        """Whether one request more is too much for a server as cold as this (rule four)."""
        warm = self.warmth(now)
        if warm >= 1.0:
            return False
        self.came.append(now)
        while self.came[0] <= now - USUAL.fall:
            self.came.popleft()
        usual = USUAL.fall_multiple * warm * WORKERS * USUAL.fall / WORK
        return bool(len(self.came) > usual + 3 * usual**0.5 + 3)


class Sent(NamedTuple):
    """An attempt as its host knows it."""

    server: int
    at: int
    key: tuple[int, int]  # a request, over its whole life


class Host:
    """Carries out one Balancer's actions in the world."""

    def __init__(self, world: Service, node: int) -> None:
        self.world = world
        self.node = node
        self.life = world.lives(node)
        settings = Settings(
            (BALANCE, CREDIT), node=node, nodes=len(world.terms), drain_grace=GRACE,
            max_attempts=4, max_retry_after=2 * SECOND, poll=world.lists is not None,
        )  # fmt: skip
        self.balancer = Balancer(settings, world.random.getrandbits(32), self)
        self.listed = dict(enumerate(world.states))
        self.client: ListClient | None = None
        if world.lists is not None:
            known = world.known(node)
            self.client = ListClient(world, node, world.lists, known, self.told, settings)
        self.attempts: dict[int, list[Sent]] = {}
        self.open: dict[tuple[int, int], Sent] = {}
        self.ended: set[int] = set()
        self.due: list[tuple[Sent, int, int, Outcome]] = []

    @property
    def now(self) -> int:
        return self.world.clock(self.node)

    def alive(self) -> bool:
        return self.world.hosts.get(self.node) is self

    def decided(self, *values: object) -> None:
        """For the digest: something that this node has decided or was told to do."""
        if self.world.digest is not None:
            self.world.digest.add(self.world.now, self.node, self.life, *values)

    # ---- actions -----------------------------------------------------------

    def send(self, request: int, backend: int, timeout: int) -> None:
        sent = self.attempts.setdefault(request, [])
        attempt = len(sent)
        entry = Sent(backend, self.world.now, (self.node << 16 | self.life, request))
        sent.append(entry)
        self.open[request, attempt] = entry
        self.decided(request, attempt, backend, timeout)
        self.world.attempt(self, request, attempt, backend, timeout)

    def refuse(self, request: int, retry_after: int) -> None:
        self.decided(request, retry_after)
        self.end(request, "refused")

    def fail(self, request: int) -> None:
        self.decided(request)
        self.end(request, "failed")

    def end(self, request: int, how: str) -> None:
        if request in self.ended:
            self.world.breach(f"request {request} of node {self.node} answered twice")
        self.ended.add(request)
        self.world.count(how)

    def cancel(self, request: int, attempt: int) -> None:
        """Not used: no second copies here."""

    def set_timer(self, token: int, due: int) -> None:
        self.world.later(due - self.world.skew[self.node], self.world.timer, self, token)

    def probe(self, backend: int) -> None:
        """Not used."""

    def watch(self) -> None:
        """Where there is no service to ask, the list is pushed."""
        if self.client is not None:
            self.client.watch()

    def told(self, update: Update, rows: Mapping[str, str | None]) -> None:
        """A list has come, from the service or from another node."""
        world, now = self.world, self.now
        skew = world.skew[self.node]
        found = [listing(uid, text, skew) for uid, text in rows.items()]
        if update != Update.FAILED:
            fleet = world.nodes[self.node]
            whole = update in (Update.FULL, Update.CACHED)
            assert self.client is not None
            boots = [(r.backend, max(r.boot - skew, 0) // MS, r.state) for r in found]
            fleet.on_local_list(now, self.client.rev, boots, whole)
            for r in found:
                world.tell(self.node, r.backend, r.state)
            if world.gossip:
                found = [
                    r._replace(state=fleet.effective_state(r.backend, boot, r.state))
                    for r, (_, boot, _s) in zip(found, boots, strict=True)
                ]
        self.balancer.on_members(now, update, found)
        if self.balancer.ready:
            world.takes_clients(self.node)

    def log(self, text: str) -> None:
        """Nobody reads it."""

    # ---- outcomes ------------------------------------------------------------

    def outcome(self, request: int, attempt: int, outcome: Outcome) -> None:
        entry = self.open.pop((request, attempt), None)
        if entry is None or not self.alive():
            return
        taken = self.world.now - entry.at
        self.decided(request, attempt, outcome, taken)
        if outcome == Outcome.OK and request not in self.ended:
            self.ended.add(request)
            self.world.count("served")
        elif outcome not in (Outcome.OK, Outcome.FULL):
            self.world.count("attempts lost")
        done = request in self.ended
        self.balancer.on_outcome(self.now, request, attempt, outcome, taken, done)


class Service(World):
    """See the module's docstring; `gossip` off is the program as it is without peers."""

    def __init__(
        self,
        nodes: int,
        servers: int,
        seed: int,
        gossip: bool,
        rate: float,
        hot: Sequence[int] = (),
        times: int = 8,
        slots: int = 15,
        readers: int | None = None,
    ) -> None:
        """`rate`: requests a second in all; `hot` nodes get so many `times` what others do.

        With `readers` the list is asked of a service, by so many for all (0: each for itself).
        """
        listed = 0 if readers is not None else servers
        super().__init__(nodes, listed, seed, slots=slots, readers=readers or 0)
        self.lists: ListService | None = None
        if readers is not None:
            self.lists = ListService(self, {f"s{i}": row(i) for i in range(servers)})
        self.known: Callable[[int], tuple[int, dict[str, str]]] = lambda _node: (0, {})
        self.gossip = gossip
        self._weights = {node: times for node in hot}
        self.pool = [Server() for _ in range(servers)]
        self.hosts: dict[int, Host] = {}
        self.bridges: dict[int, BalancerBridge] = {}
        self.breaches: list[str] = []
        self.counts: Counter[str] = Counter()
        self.by_second: dict[int, Counter[str]] = {}
        self.rev = 1
        self.states = [State.READY] * servers
        self._gap = int(SECOND / max(rate, 1e-9))
        self._requests = 0
        self._ran: Counter[tuple[int, int]] = Counter()
        self._credits: set[tuple[int, int]] = set()
        self._front: list[int] = []

    def lives(self, node: int) -> int:
        return self._lives[node]

    def breach(self, text: str) -> None:
        self.breaches.append(f"{self.now / 1e9:.3f} s: {text}")

    def count(self, what: str) -> None:
        self.counts[what] += 1
        self.by_second.setdefault(self.now // SECOND, Counter())[what] += 1

    # ---- nodes --------------------------------------------------------------

    def rows(self) -> list[Listing]:
        return [Listing(s, state) for s, state in enumerate(self.states)]

    def start(self, node: int):  # type: ignore[no-untyped-def]
        """A node with its Balancer; the front sends it clients from now on."""
        fleet = super().start(node)
        host = self.hosts[node] = Host(self, node)
        now = self.clock(node)
        if self.gossip:
            self.bridges[node] = BalancerBridge(fleet, host.balancer)
        host.balancer.start(now)
        if host.client is not None:
            host.client.begin()
            return fleet
        listed = [(s, 0, state) for s, state in enumerate(self.states)]
        fleet.on_local_list(now, self.rev, listed, True)
        host.balancer.on_members(now, Update.CACHED, self.rows())
        for server, state in enumerate(self.states):
            self.tell(node, server, state)
        self.takes_clients(node)
        return fleet

    def takes_clients(self, node: int) -> None:
        """The front has heard it say yes."""
        if node not in self._front:
            self._front += [node] * self._weights.get(node, 1)

    def tell(self, node: int, server: int, state: State) -> None:
        """The list service has told a node of a server's state."""
        if state == State.READY:
            self.pool[server].told.pop(node, None)
        else:
            self.pool[server].told.setdefault(node, self.now)

    def kill(self, node: int) -> None:
        super().kill(node)
        host = self.hosts.pop(node, None)
        self.bridges.pop(node, None)
        self._front = [n for n in self._front if n != node]
        if host is not None and host.client is not None:
            host.client.service.forget(host.client)
        if host is not None:
            for sent in host.open.values():
                self.pool[sent.server].held -= 1

    def send(self, node: int, out: list[Outgoing]) -> None:
        if self.gossip:
            super().send(node, out)

    def timer(self, host: Host, token: int) -> None:
        if not host.alive():
            return
        if host.node in self.stopped:
            self.later(self.now + 50 * MS, self.timer, host, token)
            return
        host.balancer.on_timer(host.now, token)

    def _turn(self, node: int, due: int) -> None:
        bridge = self.bridges.get(node)
        if bridge is not None and node not in self.stopped:
            bridge.report(self.clock(node))
        super()._turn(node, due)
        self._settle(node)

    def _deliver(self, source: int, target: int, message: Message) -> None:
        super()._deliver(source, target, message)
        self._settle(target)

    def _settle(self, node: int) -> None:
        host, bridge = self.hosts.get(node), self.bridges.get(node)
        if host is None or bridge is None or node in self.stopped:
            return
        if host.client is not None:
            host.client.after()
        update = bridge.collect(self.clock(node))
        if update is not None:
            if self.digest is not None:
                told = [(c.server, c.verdict, c.latency_ratio, c.cold) for c in update.verdicts]
                drains = [(row.backend, row.state) for row in update.draining]
                host.decided(told, drains, update.reallocate)
            bridge.apply(self.clock(node), update)

    # ---- the list --------------------------------------------------------------

    def relist(self, server: int, state: State, nodes: Sequence[int]) -> None:
        """A change that the list service tells these nodes now and the others 5 s later."""
        self.rev += 1
        self.states[server] = state
        if self.lists is not None:
            boot = self.pool[server].boot // MS
            text = "active" if state == State.READY else "leaving"
            gone = state == State.GONE
            self.lists.change({f"s{server}": None if gone else row(server, 0, text, boot)})
            return
        states = tuple(self.states)
        for node in list(self.hosts):
            wait = 0 if node in nodes else 5 * SECOND
            self.later(self.now + wait, self._told, node, self.rev, states)

    def replace(self, server: int, nodes: Sequence[int]) -> None:
        """A server is to leave, another has come, and the first is gone once its grace is over."""
        self.pool.append(Server())
        self.states.append(State.READY)
        if self.lists is not None:
            self.cold([len(self.pool) - 1])
        self.relist(server, State.DRAINING, nodes)
        self.later(self.now + GRACE, self._leave, server)

    def _leave(self, server: int) -> None:
        self.pool[server].gone = True

    def black_start(self) -> None:
        """All servers and all nodes start at this moment, and nodes know of none of them."""
        assert self.lists is not None
        self.now += MS
        for server, book in enumerate(self.pool):
            book.boot = self.now
            self.lists.rows[f"s{server}"] = row(server, 0, "active", self.now // MS)
        self.start_all()

    def cold(self, servers: Sequence[int]) -> None:
        """These have just started, and the list says so."""
        for server in servers:
            book = self.pool[server]
            book.boot, book.gone = max(self.now, MS), False
            book.came.clear()
            self.relist(server, State.READY, list(self.hosts))

    def fall(self, server: int) -> None:
        """A cold server got more than it can bear: it is back after a while."""
        self.count("falls of cold servers")
        self.pool[server].gone = True
        self.later(self.now + DOWN, self.cold, (server,))

    def _told(self, node: int, rev: int, states: tuple[State, ...]) -> None:
        """A version comes whole: what of it the node had not heard is news."""
        host = self.hosts.get(node)
        if host is None or self.nodes[node].local_list.rev >= rev:
            return
        if node in self.stopped:
            self.later(self.now + 100 * MS, self._told, node, rev, states)
            return
        now = self.clock(node)
        fleet = self.nodes[node]
        known = host.listed
        news = [(s, state) for s, state in enumerate(states) if known.get(s) != state]
        known.update(news)
        fleet.on_local_list(now, rev, [(s, 0, state) for s, state in news], False)
        for server, state in news:
            self.tell(node, server, state)
        rows = [
            Listing(s, fleet.effective_state(s, 0, state) if self.gossip else state)
            for s, state in news
        ]
        host.decided(rev, [(row.backend, row.state) for row in rows])
        host.balancer.on_members(now, Update.DELTA, rows)

    # ---- requests ---------------------------------------------------------------

    def load(self, until: int) -> None:
        """Clients at a steady rate, each at a node that runs."""
        self.later(self.now + self._gap, self._client, until)

    def _client(self, until: int) -> None:
        if self.now < until:
            self.later(self.now + self._gap, self._client, until)
        node = self.random.choice(self._front) if self._front else -1
        host = self.hosts.get(node)
        if host is None:
            self.count("asked")
            self.count("no node to ask")
            return
        if node in self.stopped:
            self.count("at a stopped node")
            return
        self._requests += 1
        credit = self.random.random() < CREDIT_PART
        if credit:
            self._credits.add((node << 16 | host.life, self._requests))
        cls = CREDIT if credit else BALANCE
        self.count("asked")
        host.balancer.on_request(host.now, self._requests, int(credit), cls.deadline)

    def attempt(self, host: Host, request: int, number: int, backend: int, limit: int) -> None:
        server = self.pool[backend]
        if self.states[backend] != State.READY:
            told = server.told.get(host.node, self.now)
            if self.now - told > GRACE:
                self.breach(f"node {host.node} sent to {backend}, told {self.now - told} ns ago")
            self.count("sent to a drained server")
        self.later(self.now + limit, self._timed_out, host, request, number)
        server.held += 1
        server.most = max(server.most, server.held)
        if not server.gone and server.falls(self.now):
            self.fall(backend)
        if server.gone:
            self.count("sent to a server that is gone")
            self.later(
                self.now + MS, self._done, host, request, number, server, Outcome.CONNECT_FAILED
            )
            return
        if server.silent:
            self.count("sent to a silent server")
            if not host.balancer.endpoints[backend].consecutive_failures:
                self.count("sent to a silent server unmet")
            return
        if server.held > server.takes:
            self.count("turned away")
            self.later(self.now + MS, self._done, host, request, number, server, Outcome.FULL)
            return
        self._work(host, request, number, server)

    def _work(self, host: Host, request: int, number: int, server: Server) -> None:
        key = (host.node << 16 | host.life, request)
        self._ran[key] += 1
        if key in self._credits and self._ran[key] > 1:
            self.breach(f"credit {key} ran {self._ran[key]} times")
        # In turn, each by the worker that is free first: half to one and a half of the mean.
        slow = server.slow / server.warmth(self.now)
        took = int(WORK * slow * (0.5 + self.random.random()))
        due = max(self.now, heapq.heappop(server.free)) + took
        heapq.heappush(server.free, due)
        self.later(due, self._done, host, request, number, server, Outcome.OK)

    def _done(
        self, host: Host, request: int, number: int, server: Server, outcome: Outcome
    ) -> None:
        if (request, number) in host.open and host.alive():
            server.held -= 1
            host.outcome(request, number, outcome)

    def _timed_out(self, host: Host, request: int, number: int) -> None:
        sent = host.open.get((request, number))
        if sent is not None and host.alive():
            self.pool[sent.server].held -= 1
            host.outcome(request, number, Outcome.TIMEOUT)
