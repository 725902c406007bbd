"""All connections of clients, and which of them are closed where there are too many."""

from __future__ import annotations

import asyncio
import logging
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

from loadbalancer.faults import run_logged
from loadbalancer.proxy.downstream.head_checker import HeadChecker

if TYPE_CHECKING:
    from loadbalancer.proxy.lifecycle import Lifecycle
    from loadbalancer.proxy.ports import ClientHost

logger = logging.getLogger(__name__)

MIN_IDLE_SWEEPS = 9  # without a request, after which a connection may be closed for capacity
PAUSED_CHECK_S = 0.05  # seconds between checks whether paused clients have ended their sending
FRESH_SWEEPS = 1  # for a new connection's first bytes, while clients are sent away
FLOOD_PART = 4  # one silent connection in so many is a flood of them
SURPLUS_PART = 0.5  # of the capacity for clients, above which the oldest idle ones are closed
MAX_IDLE_PART = 0.2  # of all descriptors, above which a response ends its connection


class Connection(asyncio.Protocol, ABC):
    """What the registry uses of one connection."""

    __slots__ = ()

    @abstractmethod
    def idle_sweeps(self) -> int:
        """Sweeps since it was accepted or last active."""

    @abstractmethod
    def can_close(self) -> bool:
        """Whether it can be closed without harm: nothing is under way in either direction."""

    @abstractmethod
    def close(self) -> None:
        """End the connection, on which nothing is under way."""

    @abstractmethod
    def abort_lingering(self) -> None:
        """Close without waiting for the client, once its last response has left."""

    @abstractmethod
    def finished(self) -> bool:
        """Whether a stop of the process need not wait for it."""

    @abstractmethod
    def reset_if_incomplete(self) -> None:
        """Have the connection's end be a reset where it would complete a response that is cut."""

    @abstractmethod
    def check_half_close(self) -> None:
        """Report the client's end of sending, which the loop doesn't while reading is paused."""

    @abstractmethod
    def sweep(self, sweep: int) -> None:
        """Give up a client that has stopped sending or accepting bytes."""


class Lingering(NamedTuple):
    """A connection whose end has begun on this side."""

    since_s: float  # on the loop's clock
    was_silent: bool  # no byte had ever come on it


class ConnectionRegistry:
    """The connections of all clients, and what each of them needs of its surroundings."""

    def __init__(self, host: ClientHost, lifecycle: Lifecycle) -> None:
        self.host = host
        self.lifecycle = lifecycle
        self.heads = HeadChecker(host)
        self.connections: set[Connection] = set()
        # Without an open request, longest first: those that have had one, and those on which
        # no byte has come yet.
        self.idle: dict[Connection, None] = {}
        self.fresh: dict[Connection, None] = {}
        self.lingering: dict[Connection, Lingering] = {}  # longest first
        self.paused: dict[Connection, None] = {}  # not read from
        self._unknown: set[Connection] = set()  # those whose `finished` has raised
        self.sweeps = 0
        self.max_idle = int(MAX_IDLE_PART * host.config.sockets)
        self._paused_check: asyncio.TimerHandle | None = None

    def sweep(self) -> None:
        """One more sweep: clients that have stopped sending or accepting bytes are given up."""
        self.sweeps += 1
        for conn in list(self.connections):
            run_logged(conn.sweep, self.sweeps)  # a fault at one ends no other's time-outs
        self._close_surplus()

    def finished(self) -> bool:
        """Whether none holds anything that a stop must wait for.

        Failure: one connection raises here, and again with each look. The stop would go on for
        its full time, though all clients have their answers. Nothing can be learned of that
        connection, so it is logged once and not waited for.
        """
        return all(conn in self._unknown or self._is_finished(conn) for conn in self.connections)

    def _is_finished(self, conn: Connection) -> bool:
        try:
            return conn.finished()
        except Exception:
            logger.exception("stopping: a connection is not waited for, as its state raised")
            self._unknown.add(conn)
            return True

    def reset_incomplete(self) -> None:
        """The process is about to exit: what it cuts must not look complete."""
        for conn in self.connections:
            run_logged(conn.reset_if_incomplete)

    # ---- connections that are not read from ------------------------------

    def watch_paused(self, conn: Connection) -> None:
        """Watch for the client's end of sending on a connection that is not read from.

        Failure: the loop reports an end only to who reads. A request would wait in a queue,
        or be sent, for a client that has gone.
        """
        self.paused[conn] = None
        if self._paused_check is None:
            self._schedule_paused_check()

    def _schedule_paused_check(self) -> None:
        self._paused_check = self.host.loop.call_later(PAUSED_CHECK_S, self._check_paused)

    def _check_paused(self) -> None:
        for conn in list(self.paused):
            run_logged(conn.check_half_close)
        self._paused_check = None
        if self.paused:
            self._schedule_paused_check()

    # ---- capacity ----------------------------------------------------------

    def too_many_idle(self) -> bool:
        """Whether so many connections are idle that a further one is not kept open.

        Failure: clients that send one request and keep their connection, closed only after
        MIN_IDLE_SWEEPS, hold all places while those with a request wait unaccepted. It
        shows as rejections while backends are idle. An end that comes with the response
        crosses no request, so it may come at once; each end frees one place, so the number
        of idle ones stays at the limit. Harm: where more clients than that send requests
        again and again, those beyond it need a new connection for each.
        """
        return len(self.idle) > self.max_idle

    def close_oldest(self, accepting: int) -> bool:
        """Close the connection that has been idle longest; False where none may be closed.

        Those on which nothing ever came go first, once they had a moment to: hundreds of
        silent ones must not displace clients that send requests. But where few are silent
        the oldest idle one goes at once, or those that send one request and stay would
        hold all places for seconds each. `accepting`: how many are accepted and not among
        the connections yet.
        """
        # Those just ended count too: with each batch of them gone, a flood would seem over.
        ended = sum(linger.was_silent for linger in self.lingering.values())
        silent = len(self.fresh) + accepting + ended
        flooded = silent * FLOOD_PART > self.host.clients
        return self._close_first(self.fresh, 1) or self._close_first(
            self.idle, MIN_IDLE_SWEEPS if flooded else 0
        )

    def _close_first(self, conns: dict[Connection, None], min_sweeps: int) -> bool:
        """Close the first that can be closed, of those idle for at least so many sweeps."""
        for conn in conns:
            if conn.idle_sweeps() < min_sweeps:
                return False
            if conn.can_close():
                conn.close()
                return True
        return False

    def _close_surplus(self) -> None:
        """Close the oldest idle connections before descriptors run out.

        Failure: clients that keep connections and send nothing on them. At the limit, each
        new client would wait for one of them to be closed. Harm: a client that sends a
        request just then has to send it again on a new connection.
        """
        surplus = self.host.clients - int(SURPLUS_PART * self.host.max_clients())
        while surplus > 0 and self._close_first(self.idle, MIN_IDLE_SWEEPS):
            surplus -= 1

    # ---- sending clients away ------------------------------------------------

    def send_away(self, now: int) -> None:
        """Close as many idle connections as `Lifecycle` has it, longest idle first; `now` in ns.

        One on which a request lies unread is no longer idle. One that has only just been
        accepted is left for a moment: its first request, such as a front's readiness check,
        is about to come.
        """
        fresh = [conn for conn in self.fresh if conn.idle_sweeps() > FRESH_SWEEPS]
        idle = [*self.idle, *fresh]
        for conn in idle[: self.lifecycle.idle_close_count(now, len(idle))]:
            if conn.can_close():
                conn.close()

    def close_idle(self) -> None:
        """Close every connection on which nothing is under way."""
        for conn in [*self.idle, *self.fresh]:
            if conn.can_close():
                conn.close()
