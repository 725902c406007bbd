"""The host of one Balancer: its requests, attempts, timers and clock.

Every event reaches the Balancer from here, and every action starts here. An
action never calls back: outcomes it causes are queued and told once the
Balancer has returned. Nothing is decided here.
"""

from __future__ import annotations

import asyncio
import logging
import time
import traceback
from collections import deque
from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from typing import TYPE_CHECKING, Any

from loadbalancer.config.node import Config
from loadbalancer.core import Balancer, Listing, Outcome, Update
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.learned_state import restore
from loadbalancer.proxy.admin import DESCRIPTORS
from loadbalancer.proxy.exchange import Attempt, Request
from loadbalancer.proxy.flow_control import BufferBudget
from loadbalancer.proxy.upstream.pool import ConnectionPool
from loadbalancer.sources.discovery import Discovery

if TYPE_CHECKING:
    from loadbalancer.core.balancing.ports import LimitShare
    from loadbalancer.core.balancing.route_policies import RoutePolicies
    from loadbalancer.gossip_transport.transport import GossipTransport
    from loadbalancer.proxy.exchange import Client, ReceivedRequest
    from loadbalancer.proxy.routing import Routing
    from loadbalancer.sources.consul.source import ConsulMembers
    from loadbalancer.upgrade.handed_state import Inheritance

logger = logging.getLogger(__name__)

BACKSTOP = 10 * MS  # past its deadline a request the module forgot is failed
REARM = 100 * MS  # a timer whose event raised comes again after this long
NO_TIMER = 1 << 63
STALE_CLIENT = 50 * MS  # what has waited longer is sent only if its client still stands
DIAL_PART = 4  # one in so many of the dial's time is long for a dial
LOG_LINES = 20  # a second
RESERVED = 24  # descriptors for the listener, the loop, discovery and the log
OVERLAP = 8  # of them, for connections that replace one just given up
UPSTREAM_PART = 4  # one in so many descriptors is kept for backends
LINKS = 8  # descriptors to find and be found by another process of this node


class Node:
    """Implements loadbalancer.core.Actions over real sockets."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config = config
        self.loop = loop
        self.now = time.monotonic_ns()
        self.budget = BufferBudget(config.memory_mb)
        self.clients = 0
        self.freed: Callable[[], None] = lambda: None  # the server's, once it listens
        self.usable: Callable[[], None] = lambda: None  # told of each list that can be gone by
        self.reserved = RESERVED + (DESCRIPTORS + LINKS if config.admin else 0)
        self.sockets = config.sockets - self.reserved
        self.upstream = ConnectionPool(self)
        self.discovery: Discovery | ConsulMembers = self._members()
        self.requests: dict[int, Request] = {}
        self.open = 0
        self.labels: set[bytes] = set()  # ids that clients gave, of the open ones
        self.others: set[bytes] = set()  # the same of the process before or after this one
        self.last_id = 0
        self.inside = False
        self.outcomes: deque[tuple[Attempt, Outcome, int, Sequence[float]]] = deque()
        self.timers: list[tuple[int, int, int | Attempt | Request]] = []
        self.timer_count = 0
        self.timer: asyncio.TimerHandle | None = None
        self.armed = NO_TIMER
        self.balancer = Balancer(config.settings, config.seed, self)
        self.routing: Routing | None = None
        self.peers: GossipTransport | None = (
            None  # gossip between nodes, where the settings allow them
        )
        self.policies: RoutePolicies | None = None  # with the first routes file

    def _members(self) -> Discovery | ConsulMembers:
        config = self.config
        if not config.consul:
            return Discovery(config, self.members_told)
        # Here and not above: without its file the node is as small as ever.
        from pathlib import Path

        from loadbalancer.core.endpoints.attempt_evidence import is_alive
        from loadbalancer.sources.consul.source import ConsulMembers

        def answers(backend: int) -> bool | None:
            return is_alive(self.balancer, time.monotonic_ns(), backend)

        return ConsulMembers(Path(config.consul), config, self.members_told, is_alive=answers)

    def start(self, left: Inheritance | None = None) -> None:
        """Begin from the list in the configuration; ListError if it is malformed.

        A predecessor's list goes before that one, with what it had learned, and is
        watched at once: the two processes are to have one watch.
        """
        rows = self.discovery.load_configured(self.config.known)
        if left is not None and left.members and isinstance(self.discovery, Discovery):
            rows = self.discovery.inherit(left)
        self._meet_peers()
        if self.peers is not None:
            rows = self.peers.on_list(Update.CACHED, rows)
        self.enter()
        self.balancer.start(self.now)
        self.balancer.on_members(self.now, Update.CACHED, rows)
        if self.balancer.ready:
            self.usable()
        if left is not None:
            restore(self.balancer, self.now, left.learned)
        self.leave()
        if self.peers is not None:
            self.peers.open()
        if self.config.consul or left is not None or not self.config.settings.poll:
            # Where discovery is asked the Balancer says when, for the starts of all nodes
            # are spread. An agent that has the list pushed is asked at once: what it has
            # counts from the first moment on.
            self.discovery.watch()

    # ---- gossip between nodes --------------------------------------------

    def _meet_peers(self) -> None:
        """Take part in the fleet, where that is allowed; FleetError where its file is no good."""
        config = self.config
        if config.peer_listen is None or len(config.peers) < 2:
            return
        if config.settings.node >= len(config.peers):
            self.log(f"no gossip between nodes: peers name no node {config.settings.node}")
            return
        # Here and not above: without gossip the node is as small as ever.
        from loadbalancer.gossip_transport.transport import GossipTransport

        self.peers = GossipTransport(self, config)

    # ---- two processes as one node --------------------------------------

    def divide(self, part: LimitShare) -> None:
        """Use this part of the caps from now on."""
        self.enter()
        self.balancer.set_limit_share(self.now, part)
        self.leave()

    def lend_descriptors(self, others: int) -> None:
        """Leave so many of the node's descriptors to the other process."""
        self.sockets = self.config.sockets - self.reserved - others

    def descriptors(self) -> int:
        """The most that this process uses while it lends no further ones back."""
        return self.reserved + max(self.sockets, self.clients + self.upstream.count)

    def spare_descriptors(self) -> int:
        """How many an emptying process can leave to its successor by now."""
        used = self.clients + self.upstream.count + OVERLAP
        return max(self.config.sockets - self.reserved - used, 0)

    def be_whole(self) -> None:
        """The other process has gone."""
        self.others = set()
        self.lend_descriptors(0)
        if self.balancer.has_limit_share:
            self.enter()
            self.balancer.set_limit_share(self.now, None)
            self.leave()

    def route(self, path: str) -> None:
        """Take over the routes file at `path`, or none; RoutesError changes nothing."""
        if not path:
            # Those under way keep their policies, and the budgets these count in.
            self.routing = None
            return
        # Here and not above: without a file the node is as small as ever.
        from loadbalancer.core.balancing.route_policies import RoutePolicies
        from loadbalancer.proxy.routing import Routing

        if self.routing is None:
            self.routing = Routing(path, self.config.settings)
        else:
            self.routing.reload(path, self.config.settings)
        table = self.routing.table
        if self.policies is None:
            now = time.monotonic_ns()
            seed = self.config.seed
            self.policies = RoutePolicies(self.balancer, seed, table.node_budget, now)
            self.balancer.set_policies(self.policies)
        else:
            self.policies.replace(table.node_budget, table.names())

    def take_over(self, config: Config) -> None:
        """Go by a replaced configuration, whole; RoutesError changes nothing.

        A routes file is checked against the new settings before any of them counts.
        """
        if config.routes:
            from loadbalancer.proxy.routing import Routing

            Routing.check(config.routes, config.settings)
        changed = config.settings != self.config.settings
        self.config = config
        if changed:
            now = self.enter()
            self.balancer.on_settings(now, config.settings)
            self.leave()
            names = ", ".join(c.name for c in config.settings.classes)
            self.log(f"new settings: classes {names}")
        self.route(config.routes)

    def tell_routes(self) -> None:
        """Log what the routes refused, by reason, and what the policies sent."""
        if self.routing is None:
            return
        for reason, count in sorted(self.routing.refused.items()):
            self.log(f"refused by the routes: {reason} {count}")
        p = self.policies
        if p is not None:
            text = f"{p.retries} further attempts, {p.hedges} second copies, {p.unpaid} held back"
            self.log(f"by the routes' policies: {text}")

    # ---- events: each enters, tells the Balancer, and leaves -----------

    def enter(self) -> int:
        self.inside = True
        self.now = now = time.monotonic_ns()
        return now

    def leave(self) -> None:
        """Tell the outcomes that came up meanwhile, then set the timer anew."""
        self.tell_all()
        self.inside = False
        timers = self.timers
        if timers and timers[0][0] < self.armed:
            self.arm(timers[0][0])

    def tell_all(self) -> None:
        """Tell the Balancer the outcomes so far, and those that come up as it is told."""
        outcomes = self.outcomes
        while outcomes:
            self.tell(*outcomes.popleft())

    def request(self, client: Client, incoming: ReceivedRequest, waited: int) -> Request | None:
        """Take a client's request; None where as many are open as the settings allow.

        Also where its class has gone while it was read: its client is to come again.
        """
        if self.open >= self.config.max_open or incoming.cls.number < 0:
            return None
        now = self.enter()
        self.last_id += 1
        rid = self.last_id
        left = incoming.timeout - waited
        r = Request(rid, client, incoming, now, left, self.config.settings.max_attempts)
        self.requests[rid] = r
        self.open += 1
        self.labels.add(r.label)
        self.later(r.deadline + BACKSTOP, r)
        try:
            self.balancer.on_request(
                now,
                rid,
                incoming.cls.number,
                left,
                incoming.tenant,
                incoming.key,
                incoming.hint,
                incoming.retried,
                incoming.policy,
            )
        except Exception:
            self.broken()
            if not r.open_attempts:
                self.finish(r, 502)
        self.leave()
        return r

    def client_gone(self, r: Request) -> None:
        """The client left: nothing more is owed, attempts go on to their outcomes."""
        if r.ended:
            return
        now = self.enter()
        moving = r.started or r.receiving
        self.end(r)
        try:
            self.balancer.on_client_disconnected(now, r.id)
        except Exception:
            self.broken()
        for a in list(r.attempts):
            # Half an answer that nobody takes, or half a request that can't become
            # whole: neither may hold its server's connection.
            if moving or self.unbegun(a):
                self.give_up(a, Outcome.CANCELLED)
        self.leave()

    def client_ended(self, r: Request) -> None:
        """The client sends nothing more: it has closed, or waits for this answer alone.

        Which of the two can't be told. So nothing begins for it from here on: with nothing
        out it is refused, which is true and harmless; what a server has may still answer it.
        """
        if r.ended or r.half_closed:
            return
        now = self.enter()
        r.half_closed = True
        try:
            self.balancer.on_client_half_closed(now, r.id)
        except Exception:
            self.broken()
        for a in list(r.attempts):
            if self.unbegun(a):
                self.give_up(a, Outcome.CANCELLED)
        self.leave()

    def unbegun(self, a: Attempt) -> bool:
        """Whether an attempt's server can't have begun: not all of a whole request has left."""
        r = a.request
        if a.closed or r is None or r.flow is not None:
            return False
        return a.connection is None or not a.connection.request_written

    def may_begin(self, a: Attempt) -> bool:
        """Whether an attempt may write its first byte, now that its connection is up."""
        r = a.request
        if r is None:
            return True
        r.half_closed = r.half_closed or self.has_left(r)
        return not r.half_closed and self.balancer.may_begin(time.monotonic_ns(), r.id, a.number)

    def has_left(self, r: Request) -> bool:
        """Whether its client has ended its sending, asked of the socket: the loop may be late."""
        return r.client is not None and r.client.has_half_closed()

    def withdraw(self, backends: Sequence[int]) -> None:
        """Call off what waits for a connection to these: it has not begun."""
        for a in self.upstream.connecting(backends):
            self.give_up(a, Outcome.CANCELLED)

    def uploading(self, a: Attempt) -> None:
        """Bytes of a long body leave for the first time: they can't be sent again."""
        assert a.request is not None
        self.moves(self.balancer.on_body_started, a.request.id, a.number)

    def uploaded(self, r: Request, a: Attempt | None) -> None:
        """A long body has been read to its end, or written: its time runs from here."""
        now = time.monotonic_ns()
        if a is None:
            r.deadline = now + r.timeout
            self.later(r.deadline + BACKSTOP, r)
            for other in r.attempts:
                if not other.closed:
                    other.limit = r.deadline - other.sent
                    self.later(r.deadline, other)
            return
        a.limit = max(r.deadline - now, 0)
        a.sent = now
        self.later(r.deadline, a)
        self.moves(self.balancer.on_body_sent, r.id, a.number)

    def stalled(self, r: Request) -> None:
        """A server takes no more of a long body: the attempt never runs."""
        self.enter()
        for a in list(r.attempts):
            self.give_up(a, Outcome.TIMEOUT)
        self.leave()

    def started(self, a: Attempt) -> None:
        """A long answer has begun: with its first bytes its time is over."""
        r = a.request
        assert r is not None
        r.started = True
        self.labels.discard(r.label)
        self.moves(self.balancer.on_response_started, r.id, a.number, time.monotonic_ns() - a.sent)

    def moves(self, event: Callable[..., None], *args: Any) -> None:
        """Tell the Balancer how a long message gets on, or what other nodes say."""
        inside = self.inside
        now = self.now if inside else self.enter()
        try:
            event(now, *args)
        except Exception:
            self.broken()
        if not inside:
            self.leave()

    def members_told(self, update: Update, rows: list[Listing], stale: list[int]) -> None:
        for backend in stale:
            self.upstream.close_idle(backend)
        if self.peers is not None:
            rows = self.peers.on_list(update, rows)
        now = self.enter()
        try:
            self.balancer.on_members(now, update, rows)
        except Exception:
            self.broken()
        if self.balancer.ready or update == Update.FULL:
            self.usable()
        self.withdraw(stale)
        self.leave()

    def conclude(self, a: Attempt, outcome: Outcome, load: Sequence[float] = ()) -> None:
        """Settle an attempt's one outcome; the Balancer is told after the current event."""
        if a.closed:
            return
        a.closed = True
        a.connection = None
        inside = self.inside
        now = self.now if inside else self.enter()
        r = a.request
        if r is not None and (outcome == Outcome.OK or r.started) and not r.ended:
            self.end(r)
        self.outcomes.append((a, outcome, now - a.sent, load))
        if not inside:
            self.leave()

    def tell(self, a: Attempt, outcome: Outcome, taken: int, load: Sequence[float]) -> None:
        r = a.request
        try:
            if r is None:
                self.balancer.on_probe(self.now, a.backend, outcome, taken, load)
                return
            r.open_attempts -= 1
            if r.half_closed:
                self.balancer.on_client_half_closed(self.now, r.id)
            self.balancer.on_outcome(
                self.now, r.id, a.number, outcome, taken, r.ended, load, a.connected
            )
        except Exception:
            self.broken()
            if r is not None and not r.open_attempts and not r.ended:
                self.finish(r, 502)
        if r is not None:
            self.forget(r)

    # ---- requests -----------------------------------------------------

    def end(self, r: Request) -> None:
        r.ended = True
        r.client = None
        if r.flow is not None:
            r.flow.discard()
        self.open -= 1
        self.labels.discard(r.label)
        self.forget(r)

    def forget(self, r: Request) -> None:
        """Drop a request that has ended and has nothing out any more."""
        if r.ended and not r.open_attempts and self.requests.pop(r.id, None) is not None:
            r.body = []
            # Attempts point back at their request: left in a ring, each would wait
            # for the collector, which here comes by less and less often.
            r.attempts = []
            if r.flow is None:
                self.budget.release(r.size)

    def finish(self, r: Request, status: int, retry_after: int = 0) -> None:
        """Give a request its final answer without service."""
        if r.ended:
            return
        client, started = r.client, r.started
        self.end(r)
        if client is not None and started:
            client.abort_response()
        elif client is not None:
            client.respond_empty(status, retry_after)

    def fail_all(self) -> None:
        """At the very end of a stop: whatever is still held gets its answer."""
        for r in list(self.requests.values()):
            self.finish(r, 502)

    # ---- actions ------------------------------------------------------

    def send(self, request: int, backend: int, timeout: int) -> None:
        r = self.requests.get(request)
        if r is None:
            self.log(f"send for request {request}, which is not open")
            return
        now = self.now
        a = Attempt(r, len(r.attempts), backend, now)
        r.attempts.append(a)
        r.open_attempts += 1
        left = r.deadline - now
        limit = min(timeout, left) if timeout else left
        if now - r.arrived > STALE_CLIENT or len(r.attempts) > 1:
            r.half_closed = r.half_closed or self.has_left(r)
        if r.ended or r.half_closed or left <= 0 or len(r.attempts) > r.max_attempts:
            self.conclude(a, Outcome.MOOT)
        elif limit <= 0:
            self.conclude(a, Outcome.TIMEOUT)
        else:
            a.limit = limit
            self.later(now + limit, a)
            self.upstream.send(a)

    def refuse(self, request: int, retry_after: int) -> None:
        r = self.requests.get(request)
        if r is not None:
            self.finish(r, 503, retry_after)

    def fail(self, request: int) -> None:
        r = self.requests.get(request)
        if r is not None:
            self.finish(r, 502)

    def cancel(self, request: int, attempt: int) -> None:
        r = self.requests.get(request)
        if r is not None and 0 <= attempt < len(r.attempts):
            self.give_up(r.attempts[attempt], Outcome.CANCELLED)

    def probe(self, backend: int) -> None:
        now = self.now
        a = Attempt(None, 0, backend, now)
        a.limit = 2 * self.config.settings.connect_timeout
        self.later(now + a.limit, a)
        self.upstream.send(a)

    def watch(self) -> None:
        self.discovery.watch()

    def set_timer(self, token: int, due: int) -> None:
        self.later(due, token)

    def log(self, text: str) -> None:
        """A line of the log; past LOG_LINES a second lines are dropped."""
        logger.info("%s", text)

    # ---- time ---------------------------------------------------------

    def later(self, due: int, item: int | Attempt | Request) -> None:
        """One heap for all timers, and one timer of the loop: most are never due."""
        self.timer_count += 1
        heappush(self.timers, (due, self.timer_count, item))
        if not self.inside and due < self.armed:
            self.arm(due)

    def arm(self, due: int) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.armed = due
        # The loop rounds to whole milliseconds; an early call would only come again.
        delay = max(due - time.monotonic_ns(), 0) / SECOND + 0.0005
        self.timer = self.loop.call_later(delay, self.tick)

    def tick(self) -> None:
        self.timer = None
        self.armed = NO_TIMER
        now = self.enter()
        timers = self.timers
        while timers and timers[0][0] <= now:
            item = heappop(timers)[2]
            if isinstance(item, int):
                try:
                    self.balancer.on_timer(now, item)
                except Exception:
                    # The module sets its next timer in this event: without one
                    # from here it would never be called again.
                    self.broken()
                    self.later(now + REARM, item)
            elif isinstance(item, Attempt):
                if not item.closed and self.is_due(item, now):
                    self.give_up(item, Outcome.TIMEOUT)
            elif not (item.ended or item.started or item.receiving or item.deadline > now):
                # Late, this event ended its last attempt too: what the module says goes first.
                self.tell_all()
                if not item.ended:
                    self.overdue(item)
        self.leave()

    def is_due(self, a: Attempt, now: int) -> bool:
        """Whether an attempt's time is over: a long message has one only in between."""
        r = a.request
        return r is None or not (r.started or r.receiving or a.sent + a.limit > now)

    def give_up(self, a: Attempt, outcome: Outcome) -> None:
        """Stop waiting. Where not all of the request was written it never ran."""
        if a.closed:
            return
        connection = a.connection
        if connection is not None and not connection.abandon():
            # A machine that has vanished never lets a dial come up. Where the
            # attempt's time is shorter than the dial's, only this tells of it; a
            # moment's wait may be our own lateness and tells nothing.
            waited = (self.now - a.sent) * DIAL_PART >= self.config.settings.connect_timeout
            dead = outcome == Outcome.TIMEOUT and waited
            outcome = Outcome.CONNECT_FAILED if dead else Outcome.MOOT
        self.conclude(a, outcome)

    def overdue(self, r: Request) -> None:
        """The module owed an answer and gave none; the client must not be left waiting."""
        self.log(f"request {r.id} was overdue")
        self.finish(r, 504)
        try:
            self.balancer.on_client_disconnected(self.now, r.id)
        except Exception:
            self.broken()

    def broken(self) -> None:
        self.log("the decision module raised: " + traceback.format_exc(limit=-4))

    def sweep(self) -> None:
        self.upstream.close_expired(time.monotonic_ns())

    # ---- descriptors --------------------------------------------------

    def most_clients(self) -> int:
        """How many clients fit, leaving backends their part."""
        return self.sockets - max(self.sockets // UPSTREAM_PART, self.upstream.count)

    def room_for_client(self) -> bool:
        return self.clients < self.most_clients()

    def drop_beyond_part(self) -> None:
        """Give up an idle connection to a backend for a client, never of their own part."""
        if self.upstream.count > self.sockets // UPSTREAM_PART:
            self.upstream.close_oldest()

    def may_open_upstream(self) -> bool:
        """Whether one more connection to a backend fits, giving up an idle one for it."""
        used = self.clients + self.upstream.count
        if used < self.sockets:
            return True
        # What is given up is closed with the next turn of the loop: until then
        # both stand, within what RESERVED leaves.
        return used < self.sockets + OVERLAP and self.upstream.close_oldest()
