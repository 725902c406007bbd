"""The events that client connections report to the host: requests, disconnects, stalled uploads."""

from __future__ import annotations

import asyncio
import time
from abc import ABC
from typing import TYPE_CHECKING

from loadbalancer.core import Outcome
from loadbalancer.proxy.attempts import ANSWER_GRACE_NS, AttemptHost
from loadbalancer.proxy.exchange import Request
from loadbalancer.proxy.open_requests import BAD_GATEWAY

if TYPE_CHECKING:
    from loadbalancer.config.node import Config
    from loadbalancer.proxy.exchange import Client, ReceivedRequest


class ClientEvents(AttemptHost, ABC):
    """Admits requests, and ends them when their clients disconnect."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(config, loop)
        self._last_request_id = 0

    def admit_request(
        self, client: Client, incoming: ReceivedRequest, waited_ns: int
    ) -> Request | None:
        """Admit a client's request, or return None if the client has to retry.

        It is not admitted if `max_open` requests are open already, or if a reload has removed
        its class while it was being read.

        Args:
            client: the connection that it arrived on, which may be answered within this call.
            incoming: the request.
            waited_ns: how much of its timeout has passed since it was read, in nanoseconds.
        """
        if self.open_count >= self.config.max_open or incoming.cls.number < 0:
            return None
        now = self.begin_event()
        self._last_request_id += 1
        number = self._last_request_id
        remaining = incoming.timeout - waited_ns
        max_attempts = self.config.settings.max_attempts
        request = Request(number, client, incoming, now, waited_ns, max_attempts)
        self.requests[number] = request
        self.open_count += 1
        self.request_ids.begin(request.client_request_id, number)
        self._timers.add(request.deadline + ANSWER_GRACE_NS, request)
        try:
            self.balancer.on_request(
                now,
                number,
                incoming.cls.number,
                remaining,
                incoming.tenant,
                incoming.key,
                incoming.hint,
                incoming.retried,
                incoming.policy,
            )
        except Exception:  # noqa: BLE001 -- an exception of the Balancer must not end the process
            self._log_fault()
            if not request.open_attempts:
                self.end_unanswered(request, BAD_GATEWAY)
        finally:
            self.end_event()
        return request

    def client_disconnected(self, request: Request) -> None:
        """A request's client has disconnected, so it needs no response.

        An attempt whose request has been sent completely runs on to its outcome. One that is
        still sending its request, or that is streaming its response, is given up: a partial
        response that nobody reads, or a partial request that is never completed, would use a
        slot and a connection to the backend until the deadline. A streamed request body is
        discarded, together with what is buffered of it.

        The id of an unsafe request stays in use for a while, as a backend may have executed it.
        """
        if request.unsafe and (request.attempts or request.delivering):
            request.id_in_use_until = time.monotonic_ns() + request.timeout
        self.response_delivered(request)
        if request.ended:
            return
        self.begin_event()
        try:
            streaming = request.started
            self.end(request)
            self.notify_balancer(self.balancer.on_client_disconnected, request.id)
            if streaming:
                self._give_up_all(request, Outcome.CANCELLED)
            else:
                self.abort_unwritten_attempts(request)
        finally:
            self.end_event()

    def client_half_closed(self, request: Request) -> None:
        """A request's client has shut down its sending side.

        It may have disconnected, or it may still read its response; the two look the same. So
        no further attempt begins. If none is in flight, the request is rejected, which the
        client may safely retry as nothing was executed. An attempt that a backend has received
        completely may still be answered.
        """
        if request.ended or request.half_closed:
            return
        self.begin_event()
        try:
            request.half_closed = True
            self.notify_balancer(self.balancer.on_client_half_closed, request.id)
            # A request with a streamed body is not given up: its body is being sent already.
            if request.flow is None:
                self.abort_unwritten_attempts(request)
        finally:
            self.end_event()

    def upload_backlog(self, request: Request) -> int:
        """The bytes of a streamed body that were written, and that no backend has accepted yet."""
        connections = (attempt.connection for attempt in request.attempts)
        return sum(c.unaccepted_bytes() for c in connections if c is not None)

    def upload_timed_out(self, request: Request) -> None:
        """A backend has stopped accepting a streamed body: give up the attempts of its request.

        Without the complete body the request has not been executed.
        """
        self.begin_event()
        try:
            self._give_up_all(request, Outcome.TIMEOUT)
        finally:
            self.end_event()

    def _give_up_all(self, request: Request, outcome: Outcome) -> None:
        for attempt in list(request.attempts):
            self.abort_attempt(attempt, outcome)
