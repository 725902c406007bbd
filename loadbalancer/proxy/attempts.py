"""Sends and aborts the attempts that the Balancer asks for, and tracks their long messages."""

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

# Before a request that arrived longer ago than this is sent, or any request is retried, its
# client's socket is checked for a half-close. The request may have lain in the kernel since.
HALF_CLOSE_CHECK_AGE_NS = 50 * MS
# An attempt that times out before its request is written counts as a failed connect, and so
# against its backend, if it has waited for at least the connect timeout divided by this.
CONNECT_TIMEOUT_DIVISOR = 4
# A request that the Balancer has not answered is failed this long after its deadline.
ANSWER_GRACE_NS = 10 * MS


class AttemptHost(BalancerEvents, ABC):
    """The part of a host that makes the attempts requested by the Balancer."""

    upstream: ConnectionPool

    def send(self, request: int, backend: int, timeout: int) -> None:
        """Send the next attempt of a request.

        Args:
            request: the number of the request.
            backend: the number of the backend.
            timeout: in nanoseconds; 0 for the remaining time of the request.
        """
        open_request = self.requests.get(request)
        if open_request is None:
            # The Balancer still has a request that the host has forgotten, because both raised
            # while they ended it. The slot that the Balancer counts for it stays in use: the
            # outcome that would free it has to name the attempt by its number, and only the
            # forgotten request could give it that number.
            logger.info("cannot send request %d for the balancer: it is not open", request)
            return
        now = self.now
        attempt = Attempt(open_request, len(open_request.attempts), backend, now)
        open_request.attempts.append(attempt)
        open_request.open_attempts += 1
        remaining = open_request.deadline - now
        limit = min(timeout, remaining) if timeout else remaining
        if now - open_request.received_at > HALF_CLOSE_CHECK_AGE_NS or attempt.number:
            self._check_half_closed(open_request)
        if (
            open_request.ended
            or open_request.half_closed
            or remaining <= 0
            or len(open_request.attempts) > open_request.max_attempts
        ):
            self.record_outcome(attempt, Outcome.MOOT)
        elif limit <= 0:
            self.record_outcome(attempt, Outcome.TIMEOUT)
        else:
            attempt.timeout = limit
            self._timers.add(now + limit, attempt)
            self.upstream.send(attempt)

    def cancel(self, request: int, attempt: int) -> None:
        """Cancel an attempt; does nothing if it is settled or unknown."""
        open_request = self.requests.get(request)
        if open_request is not None and 0 <= attempt < len(open_request.attempts):
            self.abort_attempt(open_request.attempts[attempt], Outcome.CANCELLED)

    def may_begin(self, attempt: Attempt) -> bool:
        """Whether an attempt whose connection was just established may write its first byte.

        While it was connecting, its client may have left or the Balancer may have dropped the
        attempt. Sent nevertheless, the request would be executed for nobody, or twice.
        """
        request = attempt.request
        self._check_half_closed(request)
        if request.half_closed:
            return False
        return self.balancer.may_begin(time.monotonic_ns(), request.id, attempt.number)

    def _check_half_closed(self, request: Request) -> None:
        """Update `half_closed` from the client's socket.

        The socket is read directly because the event loop may not have reported the end yet.
        """
        if not request.half_closed and request.client is not None:
            request.half_closed = request.client.has_half_closed()

    def abort_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """Close an attempt's connection and settle the attempt, unless it is settled already.

        If the request's last byte never left this process, the attempt was not executed, and
        `outcome` is replaced by one that says so. Otherwise it may have been executed.
        """
        if attempt.settled:
            return
        connection = attempt.connection
        if connection is not None and not connection.abandon():
            outcome = self._outcome_if_unwritten(attempt, outcome)
        self.record_outcome(attempt, outcome)

    def _outcome_if_unwritten(self, attempt: Attempt, outcome: Outcome) -> Outcome:
        """The outcome of an attempt that is aborted before its request was written.

        A machine that has failed never answers a connect. If attempts time out before the
        connect timeout, only their timeouts show that the backend is unreachable, so they count
        as failed connects. A short wait may be due to a delay in this process and does not
        count against the backend.
        """
        waited_ns = self.now - attempt.sent_at
        is_long = waited_ns * CONNECT_TIMEOUT_DIVISOR >= self.config.settings.connect_timeout
        return Outcome.CONNECT_FAILED if outcome is Outcome.TIMEOUT and is_long else Outcome.MOOT

    def abort_unwritten_attempts(self, request: Request) -> None:
        """Abort those attempts of a request that no backend can have begun to execute."""
        for attempt in list(request.attempts):
            connection = attempt.connection
            if connection is None or not connection.request_written:
                self.abort_attempt(attempt, Outcome.CANCELLED)

    def cancel_connecting(self, backends: Sequence[int]) -> None:
        """Cancel the attempts that wait for a connection to one of these backends."""
        for attempt in self.upstream.connecting_attempts(backends):
            self.abort_attempt(attempt, Outcome.CANCELLED)

    # Streaming of long bodies and responses.

    def on_body_started(self, attempt: Attempt) -> None:
        """Tell the Balancer that a long body is about to be written, so it can't be sent again."""
        self.notify_balancer(self.balancer.on_body_started, attempt.request.id, attempt.number)

    def on_body_received(self, request: Request, received_at: int) -> None:
        """Start the timeouts of a request whose long body has been received completely.

        While the body is being received, neither the request's nor its attempts' timeouts
        apply, because that time depends on the client.

        Args:
            request: the request.
            received_at: when its last byte arrived, in nanoseconds of the monotonic clock. It may
                have lain in the kernel for long, while the backend accepted no more.
        """
        request.deadline = received_at + request.timeout
        self._timers.add(request.deadline + ANSWER_GRACE_NS, request)
        for attempt in request.attempts:
            if not attempt.settled:
                # The attempt may have been sent long before the end of the body, so its own
                # shorter timeout does not apply; it may last until the request's deadline.
                attempt.timeout = request.deadline - attempt.sent_at
                self._timers.add(request.deadline, attempt)
        self._timers.arm()

    def on_body_sent(self, attempt: Attempt) -> None:
        """Measure an attempt from the end of its long body, which has been written.

        The time before that depends on how fast the backend accepted the body.
        """
        request = attempt.request
        now = time.monotonic_ns()
        # As in `on_body_received`, the attempt may last until the request's deadline.
        attempt.timeout = max(request.deadline - now, 0)
        attempt.sent_at = now
        self._timers.add(request.deadline, attempt)
        self.notify_balancer(self.balancer.on_body_sent, request.id, attempt.number)

    def on_response_started(self, attempt: Attempt) -> None:
        """Handle the start of a long response's streaming to the client.

        The attempt's timeout no longer applies. The Balancer is notified before `started` is
        set, so that it can cancel the other attempts of a hedged request: once `started` is
        set, the outcome of any attempt also ends the request, and the outcome of another
        attempt would cut this response off.
        """
        request = attempt.request
        request.delivering = True
        duration = time.monotonic_ns() - attempt.sent_at
        event = self.balancer.on_response_started
        self.notify_balancer(event, request.id, attempt.number, duration)
        request.started = True
