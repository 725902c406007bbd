"""Keeps track of all clients' connections, and closes idle ones when capacity runs short."""

from __future__ import annotations

import asyncio
import logging
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

from loadbalancer.faults import run_logged
from loadbalancer.proxy.bounded_reads import BoundedReader
from loadbalancer.proxy.downstream.head_checker import HeadChecker

if TYPE_CHECKING:
    from loadbalancer.proxy.lifecycle import Lifecycle
    from loadbalancer.proxy.ports import ClientHost

logger = logging.getLogger(__name__)

MIN_IDLE_SWEEPS = 9  # after which an idle connection may be closed to save capacity
PAUSED_CHECK_S = 0.05  # seconds between checks for half-closes on connections not being read
SILENT_GRACE_SWEEPS = 1  # time for the first bytes on a new connection during a gradual close
FLOOD_DIVISOR = 4  # a connection flood: more than 1/FLOOD_DIVISOR of the clients send nothing
SURPLUS_FRACTION = 0.5  # of the capacity for clients, above which the oldest idle ones are closed
MAX_IDLE_FRACTION = 0.2  # of all descriptors; with more idle, a response closes its connection


class Connection(BoundedReader, ABC):
    """The interface of a client's connection that the registry uses."""

    __slots__ = ()

    @abstractmethod
    def idle_sweeps(self) -> int:
        """The number of sweeps since the connection was accepted or last active."""

    @abstractmethod
    def can_close(self) -> bool:
        """Whether closing loses nothing: no open request, unread input or unsent output."""

    @abstractmethod
    def close(self) -> None:
        """Close the connection gracefully, unless a request is open."""

    @abstractmethod
    def abort_lingering(self) -> None:
        """Abort without waiting for the client to close, if its last response has been flushed."""

    @abstractmethod
    def is_drained(self) -> bool:
        """Whether the process may exit without waiting for this connection."""

    @abstractmethod
    def reset_if_incomplete(self) -> None:
        """Make the close a reset if it would make a truncated response look complete."""

    @abstractmethod
    def check_half_close(self) -> None:
        """Report a half-close, which the event loop does not report while reading is paused."""

    @abstractmethod
    def sweep(self, sweep: int) -> None:
        """End the connection if the client has timed out, either sending or receiving."""


class Lingering(NamedTuple):
    """What is known of a connection that this process has shut down and its client has not."""

    since_s: float  # the time of the shutdown, on the event loop's clock
    was_silent: bool  # no byte had been received by then


class ConnectionRegistry:
    """All clients' connections, and the objects that they share."""

    def __init__(self, host: ClientHost, lifecycle: Lifecycle) -> None:
        self.host = host
        self.lifecycle = lifecycle
        self.head_checker = HeadChecker(host)
        self.connections: set[Connection] = set()
        # Connections without an open request, the longest idle first. `idle` have had a request;
        # on `silent` no byte has been received yet.
        self.idle: dict[Connection, None] = {}
        self.silent: dict[Connection, None] = {}
        self.lingering: dict[Connection, Lingering] = {}  # the longest lingering first
        self.paused: dict[Connection, None] = {}  # those on which reading is paused
        self._unreadable: set[Connection] = set()  # those whose `is_drained` has raised
        self.sweeps = 0
        self.max_idle = int(MAX_IDLE_FRACTION * host.config.sockets)
        self._paused_check: asyncio.TimerHandle | None = None

    def sweep(self) -> None:
        """Check all connections for timeouts, then close surplus idle ones."""
        self.sweeps += 1
        for conn in list(self.connections):
            run_logged(conn.sweep, self.sweeps)  # a fault here must not disable others' timeouts
        run_logged(self.host.budget.resume_paused)
        self._close_surplus()

    def all_drained(self) -> bool:
        """Whether the process may exit without waiting for any connection.

        A connection whose check raises each time would delay the exit up to the full limit,
        although all clients have their responses. As its state can't be found out, it is logged
        once and no longer waited for.
        """
        return all(
            conn in self._unreadable or self._is_drained_or_failing(conn)
            for conn in self.connections
        )

    def _is_drained_or_failing(self, conn: Connection) -> bool:
        try:
            return conn.is_drained()
        except Exception:
            logger.exception("stopping: not waiting for a connection whose state check raised")
            self._unreadable.add(conn)
            return True

    def reset_incomplete(self) -> None:
        """Prevent responses that the process's exit truncates from looking complete."""
        for conn in self.connections:
            run_logged(conn.reset_if_incomplete)

    def watch_paused(self, conn: Connection) -> None:
        """Check a connection regularly for a half-close while reading is paused.

        The event loop reports a half-close only while it reads. Without this check, a request
        could wait in a queue, or be sent to a backend, for a client that has disconnected.
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

    def too_many_idle(self) -> bool:
        """Whether too many connections are idle to keep a further one alive.

        Without this limit, clients that send one request and keep the connection would use up
        the capacity for MIN_IDLE_SWEEPS each, while clients with requests wait to be accepted.
        That shows as rejections while backends are idle. A close announced in the response can't
        cross a request in flight, so it needs no waiting time. Each such close frees capacity for
        one client, so the number of idle connections stays at the limit. The drawback is that if
        more clients than that send requests repeatedly, those beyond the limit need a new
        connection for each request.
        """
        return len(self.idle) > self.max_idle

    def close_oldest(self, establishing: int) -> bool:
        """Close the connection that has been idle longest; False if none may be closed.

        Silent connections, on which nothing was ever received, are closed first, after one sweep
        in which to send something: hundreds of them must not displace clients that send requests.
        During such a flood, other idle connections are protected for MIN_IDLE_SWEEPS. Otherwise
        the oldest idle one is closed at once, or clients that send one request and stay would use
        up the capacity for seconds each. `establishing`: the connections that have been accepted
        but are not yet registered.
        """
        # Silent connections that linger count too: otherwise a flood would seem over each time a
        # batch of them has been closed.
        lingering_silent = sum(linger.was_silent for linger in self.lingering.values())
        silent_clients = len(self.silent) + establishing + lingering_silent
        is_flood = silent_clients * FLOOD_DIVISOR > self.host.clients
        return self._close_first(self.silent, 1) or self._close_first(
            self.idle, MIN_IDLE_SWEEPS if is_flood else 0
        )

    def _close_first(self, conns: dict[Connection, None], min_sweeps: int) -> bool:
        """Close the first closable connection that has been idle for at least `min_sweeps`."""
        for conn in conns:
            if conn.idle_sweeps() < min_sweeps:
                return False
            if conn.can_close():
                conn.close()
                return True
        return False

    def _close_surplus(self) -> None:
        """Close the oldest idle connections before descriptors run out.

        Otherwise, clients that keep connections without using them could reach the limit, and each
        new client would have to wait until one of them is closed. The drawback is that a client
        that sends a request at the moment of the close has to send it again on a new connection.
        """
        surplus = self.host.clients - int(SURPLUS_FRACTION * self.host.max_clients())
        while surplus > 0 and self._close_first(self.idle, MIN_IDLE_SWEEPS):
            surplus -= 1

    def close_idle_gradually(self, now: int) -> None:
        """Close the idle connections that `Lifecycle` schedules for this tick; `now` in ns.

        The longest idle are closed first. A connection with an unread request does not count as
        idle. A connection just accepted is left alone for SILENT_GRACE_SWEEPS: its first request,
        such as a load balancer's readiness check, is about to arrive.
        """
        silent = [conn for conn in self.silent if conn.idle_sweeps() > SILENT_GRACE_SWEEPS]
        idle = [*self.idle, *silent]
        for conn in idle[: self.lifecycle.idle_close_count(now, len(idle))]:
            if conn.can_close():
                conn.close()

    def close_idle(self) -> None:
        """Close every connection that `can_close`."""
        for conn in [*self.idle, *self.silent]:
            if conn.can_close():
                conn.close()
