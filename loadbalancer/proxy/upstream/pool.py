"""The pool of connections to backends: which one carries an attempt, which are closed."""

from __future__ import annotations

import time
from collections.abc import Sequence
from typing import TYPE_CHECKING

from loadbalancer.core import Outcome
from loadbalancer.proxy.upstream.connection import BackendConnection

if TYPE_CHECKING:
    from loadbalancer.proxy.exchange import Attempt
    from loadbalancer.proxy.ports import BackendHost

IDLE_MARGIN_NS = 2_000_000_000  # closed so long before the backend would close it


class ConnectionPool:
    """All connections to backends, those that are idle by backend and by age.

    The rules:

    1. An attempt goes out on the connection to its backend that became idle last, so that
       the surplus grows old and is closed.
    2. One that the backend has closed, as far as the kernel knows, is not used.
    3. Without a usable one a new one is opened, if the host has a descriptor for it. If
       not, the attempt is moot: the backend is not to blame.
    4. A connection comes back after a complete response that leaves it reusable, unless
       its backend's address has changed or its backend has been removed.
    5. The idle connections of a backend that is removed or changes its address are closed
       at once.
    6. The oldest idle connection is closed where descriptors are needed otherwise, and
       each one some time before its backend would close it.
    """

    __slots__ = ("by_age", "count", "host", "idle", "pending")

    def __init__(self, host: BackendHost) -> None:
        self.host = host
        self.count = 0  # descriptors, of connections not yet established too
        self.pending: dict[BackendConnection, None] = {}  # not yet established
        self.idle: dict[int, list[BackendConnection]] = {}  # by backend, oldest first
        self.by_age: dict[BackendConnection, None] = {}  # the same ones, oldest first

    def send(self, attempt: Attempt) -> None:
        """Send an attempt (rules 1 to 3); its outcome may be settled before this returns."""
        host, backend = self.host, attempt.backend
        address = host.discovery.endpoint_list.endpoints.get(backend)
        if address is None:
            host.record_outcome(attempt, Outcome.CONNECT_FAILED)
            return
        while (conn := self._take_idle(backend)) is not None:
            if conn.usable():
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
        """Attempts that wait for a connection to one of these to be established."""
        return [c.attempt for c in self.pending if c.attempt is not None and c.backend in backends]

    def _take_idle(self, backend: int) -> BackendConnection | None:
        conns = self.idle.get(backend)
        if not conns:
            return None
        conn = conns.pop()
        if not conns:
            del self.idle[backend]
        del self.by_age[conn]
        return conn

    def release(self, conn: BackendConnection) -> None:
        """Take a connection back for the next attempt, by rule 4."""
        if self.host.discovery.endpoint_list.endpoints.get(conn.backend) != conn.address:
            conn.abandon()
            return
        conn.idle_since = time.monotonic_ns()
        self.idle.setdefault(conn.backend, []).append(conn)
        self.by_age[conn] = None

    def remove(self, conn: BackendConnection) -> None:
        """Forget a connection that closes, whatever its state was."""
        self.pending.pop(conn, None)
        if conn in self.by_age:
            del self.by_age[conn]
            conns = self.idle[conn.backend]
            conns.remove(conn)
            if not conns:
                del self.idle[conn.backend]

    def close_idle(self, backend: int) -> None:
        """Close the idle connections to a backend, by rule 5."""
        for conn in list(self.idle.get(backend, ())):
            conn.abandon()

    def idle_count(self) -> int:
        """How many connections are idle."""
        return len(self.by_age)

    def trim(self, max_idle: int) -> None:
        """Close the oldest idle connections beyond this number."""
        while len(self.by_age) > max_idle and self.close_oldest():
            pass

    def close_oldest(self) -> bool:
        """Close the connection that has been idle longest; False where none is idle."""
        conn = next(iter(self.by_age), None)
        if conn is None:
            return False
        conn.abandon()
        return True

    def close_expired(self, now: int) -> None:
        """Close what has been idle nearly as long as backends allow; `now` in nanoseconds.

        Failure: at the limit itself a request crosses the backend's close, is answered by
        a reset, and counts as one that may have run.
        """
        limit = self.host.config.idle_close
        oldest = now - max(limit - IDLE_MARGIN_NS, limit // 2)
        while (conn := next(iter(self.by_age), None)) is not None and conn.idle_since < oldest:
            conn.abandon()
