"""Nodes that need a list, the service that all ask, and its lines a second: a world of starts.

The service works through calls in turn, so many lines a second for all, and turns away who has
waited too long; it works on for callers that have given up. Each node asks as the program does:
its Balancer says when, its fleet module whether it is this node's to ask, and a watch goes on
from answer to answer.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable, Mapping
from functools import lru_cache
from random import Random
from typing import NamedTuple

from loadbalancer.core import Balancer, Listing, RequestClass, Settings, State, Update
from loadbalancer.core.balancing.model import MS, SECOND, Timer
from loadbalancer.core.endpoints.poll_backoff import PollBackoff, classify_failure
from loadbalancer.core.endpoints.poll_timing import HOLD_MARGIN_NS, HOLD_NS
from loadbalancer.core.endpoints.revisions import OlderAnswerFilter, Revisions
from loadbalancer.core.endpoints.shared_list import ListUpdate
from loadbalancer.core.gossip.gossip_node import GossipNode
from loadbalancer.core.gossip.messages import Message, Outgoing
from simulation.gossip_world import GossipWorld

LINES = 200  # a second, for all callers
PATIENCE = 3 * SECOND  # a call that has waited so long is turned away, as on the platform
TRIP = MS  # to the service and back
CLASS = RequestClass("balance", 800 * MS, 2 * SECOND)


def row(server: int, life: int = 0, state: str = "active", boot_ms: int = 0) -> str:
    """A server as discovery tells of it, some of it drawn so that it packs as real rows do."""
    drawn = (server * 2654435761 + life * 40503) & 0xFFFFFFFF
    return json.dumps(
        {
            "uid": f"s-{drawn:08x}", "endpoint": f"10.{server % 7}.{drawn % 251}.18:8080",
            "az": "abc"[server % 3], "model": "m2", "pod_group": server % 5, "state": state,
            "capacity_hint": 1.0, "boot_ms": boot_ms,
        },
        sort_keys=True, separators=(",", ":"),
    )  # fmt: skip


@lru_cache(1 << 16)
def _read(text: str) -> tuple[State, int]:
    found = json.loads(text)
    return (State.READY if found["state"] == "active" else State.DRAINING), found["boot_ms"]


def listing(uid: str, text: str | None, skew: int) -> Listing:
    """A row as a node's host reads it, whose clock is that far on."""
    if text is None:
        return Listing(int(uid[1:]), State.GONE)
    state, boot_ms = _read(text)
    return Listing(int(uid[1:]), state, boot=boot_ms * MS + skew if boot_ms else 0)


class Asked(NamedTuple):
    """One call as it waits."""

    asker: ListClient
    number: int
    since: int  # the version asked from, -1 for the whole list
    hold: int


Answer = tuple[int, Mapping[str, str | None], bool]  # version, rows, whether these are all


class ListService:
    """One service for all; `down` refuses, `refusing` turns away that part, `old` lies."""

    def __init__(self, world: GossipWorld, rows: Mapping[str, str]) -> None:
        self.world = world
        self.list: Revisions[str] = Revisions(41)
        self.list.rows = dict(rows)
        self.old: tuple[int, dict[str, str]] | None = None  # what it answers instead
        self.down = False
        self.refusing = 0.0
        self.slow = 1  # times as long for each line
        self.patience = PATIENCE
        self.counts: Counter[str] = Counter()
        self.lines: Counter[int] = Counter()  # by second
        self.free = 0
        self._watching: list[Asked] = []

    @property
    def rows(self) -> dict[str, str]:
        return self.list.rows

    def change(self, rows: Mapping[str, str | None], rev: int = 0) -> None:
        """These rows are others by now, `rev` where it counts from anew; watches are answered."""
        if rev:
            had, self.list = self.list.rows, Revisions(rev - 1)
            self.list.rows = had
        self.list.advance(self.list.rev + 1, rows)
        waiting, self._watching = self._watching, []
        for asked in waiting:
            self._serve(asked)

    def call(self, asked: Asked) -> None:
        self.counts["calls"] += 1
        if self.down or self.world.random.random() < self.refusing:
            self.counts["turned away"] += 1
            self._end(asked, self.world.now + TRIP, None)
        elif asked.since == self._rev():
            self._watching.append(asked)
            self.world.call_at(self.world.now + asked.hold, self._nothing, asked)
        else:
            self._serve(asked)

    def _rev(self) -> int:
        return self.old[0] if self.old else self.list.rev

    def _nothing(self, asked: Asked) -> None:
        if asked in self._watching:
            self._watching.remove(asked)
            self._end(asked, self.world.now + TRIP, (self._rev(), {}, False))

    def _serve(self, asked: Asked) -> None:
        """In turn, by lines; what it says is as of when it says it."""
        now = self.world.now
        said, whole = (self.old[1], True) if self.old else self.list.since(asked.since)
        lines = max(len(said), 1)
        begin = max(self.free, now)
        if begin - now > self.patience:
            self.counts["turned away"] += 1
            self._end(asked, now + self.patience, None)
            return
        each = self.slow * SECOND // LINES
        self.free = begin + lines * each
        self.counts["lines"] += lines
        self.counts["whole lists"] += whole
        for i in range(lines):
            self.lines[(begin + i * each) // SECOND] += 1
        self._end(asked, self.free + TRIP, (self._rev(), dict(said), whole))

    def _end(self, asked: Asked, due: int, answer: Answer | None) -> None:
        self.world.call_at(due, asked.asker.answered, asked.number, answer)

    def forget(self, asker: ListClient) -> None:
        """Its connection has gone."""
        self._watching = [a for a in self._watching if a.asker is not asker]


class ListClient:
    """One node's list, and its calls for it, as the program's discovery makes them."""

    def __init__(
        self,
        world: GossipWorld,
        node: int,
        service: ListService,
        known: tuple[int, dict[str, str]],
        told: Callable[[Update, Mapping[str, str | None]], None],
        settings: Settings,
    ) -> None:
        """`told`: the update and its rows, as the host is to hear them."""
        self.world, self.node, self.service = world, node, service
        self.rev, self.rows = known
        self.lag = OlderAnswerFilter()
        self._told = told
        self._watching = False
        self._waits = False  # the call that is out is a watch
        self._calls = 0
        self._reads = False
        self._fleet = world.nodes[node]
        self._caller = PollBackoff(settings, Random(world.random.getrandbits(32)))
        if self._fleet.shared_list is not None:
            self._caller.share()
        self._asked_at = self._limit = 0  # of the call that is out
        self._not_before = 0  # the next call after a failure

    def _alive(self) -> bool:
        return self.world.nodes.get(self.node) is self._fleet

    def begin(self) -> None:
        shared = self._fleet.shared_list
        if shared is not None and self.rows:
            shared.replica.begin(self.rev, self.rows)
        self._told(Update.CACHED, self.rows)

    def watch(self) -> None:
        shared = self._fleet.shared_list
        if self._watching or not self._alive() or (shared is not None and not shared.polls):
            return
        if self.world.now < self._not_before:
            due, self._not_before = self._not_before, 0
            self.world.call_at(due, self.watch)
            return
        self._watching = True
        unread = shared is not None and not shared.replica.version.epoch
        if unread:
            self.lag.accept_next()
        self._next(-1 if unread else self.rev, 0)

    def _next(self, since: int, hold: int) -> None:
        self._calls += 1
        self._waits = hold > 0
        asked = Asked(self, self._calls, since, hold)
        limit = hold + HOLD_MARGIN_NS if hold else self._caller.answer_timeout(len(self.rows))
        self._asked_at, self._limit = self.world.now, limit
        self.world.call_at(self.world.now + TRIP, self.service.call, asked)
        self.world.call_at(self.world.now + limit, self.answered, self._calls, None)

    def answered(self, number: int, answer: Answer | None) -> None:
        """What the program's discovery does with it."""
        if not (self._alive() and self._watching) or number != self._calls:
            return
        if self.node in self.world.paused:
            self.world.call_at(self.world.now + 100 * MS, self.answered, number, answer)
            return
        now = self.world.clock(self.node)
        shared = self._fleet.shared_list
        if answer is None and self._waits:
            self._next(self.rev, 0)
            return
        took = 0 if self._waits else self.world.now - self._asked_at
        if answer is None or not self.lag.accepts(answer[0], answer[2], self.rev):
            self._watching = False
            self._calls += 1
            if shared is not None:
                shared.on_failure(now, answer is not None)
            failure = classify_failure(took, self._limit, True, answer is not None)
            pause = self._caller.on_failure(failure, took, len(self.rows))
            self._not_before = self.world.now + pause
            self._told(Update.FAILED, {})
            return
        if not self._waits:
            self._caller.on_answer(took)
        taken = ListUpdate(*answer)
        if shared is not None:
            self._fleet.on_list_read(now, *taken)
            self.world.reschedule_turn(self.node)
        self._take(taken)
        self._next(self.rev, HOLD_NS)

    def _take(self, taken: ListUpdate) -> None:
        before = {} if taken.complete else self.rows
        merged = dict[str, str | None](before) | dict(taken.rows)
        self.rows = {u: r for u, r in merged.items() if r is not None}
        self.rev = taken.rev
        self._told(Update.FULL if taken.complete else Update.DELTA, taken.rows)

    def after(self) -> None:
        """What `loadbalancer/gossip_transport/shared_list.py` does after each turn and word."""
        shared = self._fleet.shared_list
        if shared is None or not self._alive():
            return
        if shared.polls != self._reads:
            self._reads = shared.polls
            if self._reads:
                self.watch()
            else:
                self._watching = False
                self.service.forget(self)
        news, shared.updates = shared.updates, []
        for taken in news:
            self.lag = OlderAnswerFilter()
            self._take(taken)


class Starter:
    """One node's Balancer without requests: it says when the list is asked for."""

    def __init__(self, world: ListWorld, node: int) -> None:
        self.world, self.node = world, node
        self.ready = -1  # when it first could serve
        terms = world.settings[node]
        settings = Settings((CLASS,), node=node, nodes=terms.nodes, poll=True)
        self.balancer = Balancer(settings, world.random.getrandbits(32), self)
        known = world.known(node)
        self.list = ListClient(world, node, world.service, known, self._told, settings)

    def begin(self) -> None:
        self.balancer.start(self.world.clock(self.node))
        self.list.begin()

    def _told(self, update: Update, rows: Mapping[str, str | None]) -> None:
        if self.ready < 0 and rows:
            self.ready = self.world.now
        if update == Update.DELTA and not rows:
            return  # without requests all it does is to deal the same servers anew
        skew = self.world.clock_offsets[self.node]
        found = [listing(uid, text, skew) for uid, text in rows.items()]
        self.balancer.on_members(self.world.clock(self.node), update, found)

    def watch(self) -> None:
        self.list.watch()

    def set_timer(self, token: int, due: int) -> None:
        if token == Timer.CYCLE:
            return  # no requests: nothing to balance
        self.world.call_at(due - self.world.clock_offsets[self.node], self._timer, token)

    def _timer(self, token: int) -> None:
        if self.world.starters.get(self.node) is self and self.node in self.world.nodes:
            self.balancer.on_timer(self.world.clock(self.node), token)

    def __getattr__(self, action: str) -> Callable[..., None]:
        return lambda *_: None  # no requests here


class ListWorld(GossipWorld):
    """See the module's docstring; `readers` 0 is the program with each node on its own."""

    def __init__(self, nodes: int, servers: int, seed: int, readers: int) -> None:
        super().__init__(nodes, 0, seed, readers=readers)
        self.service = ListService(self, {f"s{i}": row(i) for i in range(servers)})
        self.starters: dict[int, Starter] = {}
        self.known: Callable[[int], tuple[int, dict[str, str]]] = lambda _node: (0, {})

    def start(self, node: int) -> GossipNode:
        fleet = super().start(node)
        starter = self.starters[node] = Starter(self, node)
        starter.begin()
        return fleet

    def kill(self, node: int) -> None:
        super().kill(node)
        self.service.forget(self.starters[node].list)

    def send(self, node: int, out: list[Outgoing]) -> None:
        if self.settings[0].readers:
            super().send(node, out)

    def _take_turn(self, node: int, due: int) -> None:
        if not any(terms.readers for terms in self.settings):
            return  # nobody speaks: there is nothing to say and nothing to hear
        super()._take_turn(node, due)
        self._after(node)

    def deliver(self, source: int, target: int, word: Message) -> None:
        super().deliver(source, target, word)
        self._after(target)

    def _after(self, node: int) -> None:
        if node in self.nodes and node not in self.paused:
            self.starters[node].list.after()

    def current(self) -> bool:
        """Whether every node has the service's rows."""
        rows = self.service.rows
        return all(self.starters[n].list.rows == rows for n in self.nodes)

    def last_ready(self) -> float:
        """Seconds until the last node could serve; infinite where one can't yet."""
        times = [self.starters[n].ready for n in self.nodes]
        return max(times) / SECOND if min(times) >= 0 else float("inf")
