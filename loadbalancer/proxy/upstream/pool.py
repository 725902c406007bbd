"""The pool of connections to backends: selects, opens, retains and closes connections."""

from __future__ import annotations

import time
from collections.abc import Sequence
from typing import TYPE_CHECKING

from loadbalancer.core import Outcome
from loadbalancer.core.connection_reuse import select_idle
from loadbalancer.proxy.upstream.connection import BackendConnection

if TYPE_CHECKING:
    from loadbalancer.proxy.exchange import Attempt
    from loadbalancer.proxy.ports import BackendHost

# Idle connections are closed this long before the backend would close them.
IDLE_MARGIN_NS = 2_000_000_000


class ConnectionPool:
    """All connections to backends; idle ones are indexed by backend and by age.

    Rules:

    1. An attempt is sent on the idle connection to its backend that `connection_reuse` selects.
    2. An idle connection is not used if the kernel has received the backend's close or any bytes.
    3. If no idle connection can be used, a new one is opened, provided that a descriptor is
       available. Otherwise the attempt's outcome is MOOT, which does not count against the
       backend.
    4. After a complete response a reusable connection becomes idle, unless the backend's address
       has changed or the backend has been removed.
    5. When a backend is removed or its address changes, its idle connections are closed
       immediately.
    6. The oldest idle connection is closed when its descriptor is needed for something else.
       Every idle connection is closed some time before the backend would close it.
    7. If bytes arrive while an attempt's last byte is withheld, its connection is closed and the
       attempt is sent again by rules 1 to 3.
    """

    __slots__ = ("by_age", "count", "host", "idle", "pending")

    def __init__(self, host: BackendHost) -> None:
        self.host = host
        self.count = 0  # open descriptors, including those of connections not yet established
        self.pending: dict[BackendConnection, None] = {}  # connections not yet established
        self.idle: dict[int, list[BackendConnection]] = {}  # by backend, oldest first
        self.by_age: dict[BackendConnection, None] = {}  # all idle connections, oldest first

    def send(self, attempt: Attempt) -> None:
        """Send an attempt by rules 1 to 3. Its outcome may be settled before this returns."""
        host, backend = self.host, attempt.backend
        address = host.discovery.endpoint_list.endpoints.get(backend)
        if address is None:
            host.record_outcome(attempt, Outcome.CONNECT_FAILED)
            return
        while (conn := self._take_idle(backend)) is not None:
            if conn.is_usable():
                conn.begin(attempt)
                return
            conn.abandon()
        if not host.may_open_upstream():
            host.record_outcome(attempt, Outcome.MOOT)
            return
        conn = BackendConnection(self, backend, address)
        attempt.connection = conn
        try:
            conn.connect(attempt)
        except OSError:
            conn.abandon()
            attempt.connection = None
            host.record_outcome(attempt, Outcome.MOOT)

    def connecting_attempts(self, backends: Sequence[int]) -> list[Attempt]:
        """Attempts that wait for a connection to one of these backends to be established."""
        return [c.attempt for c in self.pending if c.attempt is not None and c.backend in backends]

    def _take_idle(self, backend: int) -> BackendConnection | None:
        conns = self.idle.get(backend)
        if not conns:
            return None
        conn = conns.pop(select_idle(conns, time.monotonic_ns()))
        if not conns:
            del self.idle[backend]
        del self.by_age[conn]
        return conn

    def release(self, conn: BackendConnection) -> None:
        """Make a connection idle, or close it if its backend's address has changed (rule 4)."""
        if self.host.discovery.endpoint_list.endpoints.get(conn.backend) != conn.address:
            conn.abandon()
            return
        conn.idle_since = time.monotonic_ns()
        self.idle.setdefault(conn.backend, []).append(conn)
        self.by_age[conn] = None

    def remove(self, conn: BackendConnection) -> None:
        """Remove a closing connection, in whatever state it was."""
        self.pending.pop(conn, None)
        if conn in self.by_age:
            del self.by_age[conn]
            conns = self.idle[conn.backend]
            conns.remove(conn)
            if not conns:
                del self.idle[conn.backend]

    def close_idle(self, backend: int) -> None:
        """Close the idle connections to a backend (rule 5)."""
        for conn in list(self.idle.get(backend, ())):
            conn.abandon()

    def idle_count(self) -> int:
        """The number of idle connections."""
        return len(self.by_age)

    def trim(self, max_idle: int) -> None:
        """Close the oldest idle connections until at most `max_idle` are left."""
        while len(self.by_age) > max_idle and self.close_oldest():
            pass

    def close_oldest(self) -> bool:
        """Close the connection that has been idle longest; returns False if none is idle."""
        conn = next(iter(self.by_age), None)
        if conn is None:
            return False
        conn.abandon()
        return True

    def close_expired(self, now: int) -> None:
        """Close connections that have been idle nearly as long as backends allow.

        At the limit itself a request could be sent just as the backend closes the connection.
        The backend would answer with a reset, and the request would count as possibly executed.

        Args:
            now: nanoseconds of the monotonic clock.
        """
        limit = self.host.config.idle_close
        oldest = now - max(limit - IDLE_MARGIN_NS, limit // 2)
        while (conn := next(iter(self.by_age), None)) is not None and conn.idle_since < oldest:
            conn.abandon()
