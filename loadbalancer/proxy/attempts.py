"""Attempts as a host makes them: sent, given up, and how their long messages get on."""

from __future__ import annotations

import logging
import time
from abc import ABC
from collections.abc import Sequence
from typing import TYPE_CHECKING

from loadbalancer.core import Outcome
from loadbalancer.core.balancing.model import MS
from loadbalancer.proxy.balancer_events import BalancerEvents
from loadbalancer.proxy.exchange import Attempt, Request

if TYPE_CHECKING:
    from loadbalancer.proxy.upstream.pool import ConnectionPool

logger = logging.getLogger(__name__)

# A request that is older than this is sent only if its client still has its side open.
HALF_CLOSE_CHECK_AGE_NS = 50 * MS
# A connection that is not established after this fraction of the connect timeout counts
# against its backend where its attempt times out first.
CONNECT_TIMEOUT_FRACTION = 4
# So long after its deadline a request that the Balancer has given no answer is failed.
BACKSTOP_NS = 10 * MS


class AttemptHost(BalancerEvents, ABC):
    """Makes the attempts that the Balancer asks for."""

    upstream: ConnectionPool

    # ---- actions of the Balancer -----------------------------------------

    def send(self, request: int, backend: int, timeout: int) -> None:
        """Send a request's next attempt; `timeout` in nanoseconds, 0 for the request's own."""
        open_request = self.requests.get(request)
        if open_request is None:
            # Failure: the Balancer has a request that the host has forgotten, as both their ends
            # of it raised. It shows as this line, and as a slot in use that no outcome frees: an
            # outcome names its attempt by the number, which only the forgotten request had.
            logger.info("send for request %d, which is not open", request)
            return
        now = self.now
        attempt = Attempt(open_request, len(open_request.attempts), backend, now)
        open_request.attempts.append(attempt)
        open_request.open_attempts += 1
        remaining = open_request.deadline - now
        limit = min(timeout, remaining) if timeout else remaining
        if now - open_request.arrived > HALF_CLOSE_CHECK_AGE_NS or attempt.number:
            self._check_half_closed(open_request)
        if (
            open_request.ended
            or open_request.half_closed
            or remaining <= 0
            or len(open_request.attempts) > open_request.max_attempts
        ):
            self.conclude(attempt, Outcome.MOOT)
        elif limit <= 0:
            self.conclude(attempt, Outcome.TIMEOUT)
        else:
            attempt.limit = limit
            self._timers.add(now + limit, attempt)
            self.upstream.send(attempt)

    def cancel(self, request: int, attempt: int) -> None:
        """Cancel an attempt; nothing where it is settled or not known."""
        open_request = self.requests.get(request)
        if open_request is not None and 0 <= attempt < len(open_request.attempts):
            self.give_up(open_request.attempts[attempt], Outcome.CANCELLED)

    # ---- before the first byte -------------------------------------------

    def may_begin(self, attempt: Attempt) -> bool:
        """Whether an attempt may write its first byte, now that its connection is established.

        Failure: while it connected, its client has left or the Balancer has given it up. A
        backend would run a request that nobody waits for, or run it a second time.
        """
        request = attempt.request
        self._check_half_closed(request)
        if request.half_closed:
            return False
        return self.balancer.may_begin(time.monotonic_ns(), request.id, attempt.number)

    def _check_half_closed(self, request: Request) -> None:
        """Learn whether a request's client has ended its sending.

        The client's socket is asked: the event loop may have the end still to report.
        """
        if not request.half_closed and request.client is not None:
            request.half_closed = request.client.has_half_closed()

    # ---- giving up ---------------------------------------------------------

    def give_up(self, attempt: Attempt, outcome: Outcome) -> None:
        """Close an attempt's connection and settle it, unless it is settled.

        Where the request's last byte never left this process the attempt has not been
        executed, whatever `outcome` says. Everywhere else it may have been.
        """
        if attempt.closed:
            return
        connection = attempt.connection
        if connection is not None and not connection.abandon():
            outcome = self._outcome_unwritten(attempt, outcome)
        self.conclude(attempt, outcome)

    def _outcome_unwritten(self, attempt: Attempt, outcome: Outcome) -> Outcome:
        """The outcome of an attempt that is given up with its request not written.

        Failure: a machine that has vanished never answers a connect. Where attempts time
        out before the connect does, nothing else shows that the backend is gone. A short
        wait may be this process's own lateness, and does not count against the backend.
        """
        waited_ns = self.now - attempt.sent
        is_long = waited_ns * CONNECT_TIMEOUT_FRACTION >= self.config.settings.connect_timeout
        return Outcome.CONNECT_FAILED if outcome is Outcome.TIMEOUT and is_long else Outcome.MOOT

    def give_up_unwritten(self, request: Request) -> None:
        """Give up those of a request's attempts that no backend can have begun."""
        for attempt in list(request.attempts):
            connection = attempt.connection
            if connection is None or not connection.request_written:
                self.give_up(attempt, Outcome.CANCELLED)

    def withdraw(self, backends: Sequence[int]) -> None:
        """Give up what waits for a connection to these backends to be established."""
        for attempt in self.upstream.connecting(backends):
            self.give_up(attempt, Outcome.CANCELLED)

    # ---- long messages -------------------------------------------------------

    def body_begins(self, attempt: Attempt) -> None:
        """The first bytes of a long body are about to be written: it can't be sent again."""
        self.notify_balancer(self.balancer.on_body_started, attempt.request.id, attempt.number)

    def body_received(self, request: Request) -> None:
        """A long body has been read from its client to the end.

        Until then neither the request's timeout nor its attempts' run: the time is the
        client's.
        """
        now = time.monotonic_ns()
        request.deadline = now + request.timeout
        self._timers.add(request.deadline + BACKSTOP_NS, request)
        for attempt in request.attempts:
            if not attempt.closed:
                # The time of an upload runs only from the end of its body, so the attempt's
                # own shorter timeout does not apply: the request's deadline bounds it.
                attempt.limit = request.deadline - attempt.sent
                self._timers.add(request.deadline, attempt)
        self._timers.arm()

    def body_sent(self, attempt: Attempt) -> None:
        """A long body has been written to its end, by this attempt.

        Until then the time is that of the backend, which takes the bytes slowly.
        """
        request = attempt.request
        now = time.monotonic_ns()
        # As in `body_received`: what is left of the request's time, from here on.
        attempt.limit = max(request.deadline - now, 0)
        attempt.sent = now
        self._timers.add(request.deadline, attempt)
        self.notify_balancer(self.balancer.on_body_sent, request.id, attempt.number)

    def response_begins(self, attempt: Attempt) -> None:
        """A long response has begun to go to the client: with that its timeout is over.

        Failure: another attempt of a hedged request answers too, in the middle of this
        response. The Balancer cancels the others first; only then does an attempt's end
        also end the request.
        """
        request = attempt.request
        self.open_request_ids.discard(request.client_request_id)
        duration = time.monotonic_ns() - attempt.sent
        event = self.balancer.on_response_started
        self.notify_balancer(event, request.id, attempt.number, duration)
        request.started = True
