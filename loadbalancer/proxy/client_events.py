"""What connections to clients report to a host: new requests, and clients that leave."""

from __future__ import annotations

import asyncio
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
    """Admits requests, and ends them where their clients leave."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(config, loop)
        self._last_id = 0

    def admit_request(
        self, client: Client, incoming: ReceivedRequest, waited_ns: int
    ) -> Request | None:
        """Admit a client's request; None where it has to come again.

        That is where as many are open as the configuration allows, and where new settings
        have removed its class while it was read.

        Args:
            client: the connection that it came on; its answer may be given to it at once.
            incoming: the request.
            waited_ns: how much of its timeout has passed since it was read, in nanoseconds.
        """
        if self.open_count >= self.config.max_open or incoming.cls.number < 0:
            return None
        now = self.begin_event()
        self._last_id += 1
        number = self._last_id
        remaining = incoming.timeout - waited_ns
        max_attempts = self.config.settings.max_attempts
        request = Request(number, client, incoming, now, remaining, max_attempts)
        self.requests[number] = request
        self.open_count += 1
        self.open_request_ids.add(request.client_request_id)
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
        except Exception:  # noqa: BLE001 -- a fault of a decision must not end the process
            self._log_fault()
            if not request.open_attempts:
                self.end_unanswered(request, BAD_GATEWAY)
        finally:
            self.end_event()
        return request

    def client_disconnected(self, request: Request) -> None:
        """A request's client has disconnected: it is owed no answer.

        An attempt whose request has been written goes on to its outcome. A message that is
        under way is given up.

        Failure: half of a response that nobody reads, or half of a request that is never
        completed, uses a slot and its backend's connection up to the deadline. A long body
        is discarded with its request, also the part that waits in this process.
        """
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
        """A request's client sends nothing more: it has closed, or waits for this answer.

        Which of the two can't be told. So no attempt begins from here on: without one in
        flight the request is rejected, and a retry is harmless as nothing was executed. What
        a backend has already may still answer it.
        """
        if request.ended or request.half_closed:
            return
        self.begin_event()
        try:
            request.half_closed = True
            self.notify_balancer(self.balancer.on_client_half_closed, request.id)
            if request.flow is None:  # a long body is under way already
                self.abort_unwritten_attempts(request)
        finally:
            self.end_event()

    def upload_timed_out(self, request: Request) -> None:
        """A backend accepts no more of a long body: its attempts end, without execution."""
        self.begin_event()
        try:
            self._give_up_all(request, Outcome.TIMEOUT)
        finally:
            self.end_event()

    def _give_up_all(self, request: Request, outcome: Outcome) -> None:
        for attempt in list(request.attempts):
            self.abort_attempt(attempt, outcome)
