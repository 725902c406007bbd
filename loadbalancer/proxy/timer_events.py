"""Handles due timers: those set by the Balancer, attempt timeouts and request deadlines."""

from __future__ import annotations

import logging
from abc import ABC
from typing import TYPE_CHECKING

from loadbalancer.core import Outcome
from loadbalancer.core.balancing.model import MS
from loadbalancer.proxy.attempts import AttemptHost
from loadbalancer.proxy.exchange import Attempt, Request
from loadbalancer.proxy.open_requests import GATEWAY_TIMEOUT

if TYPE_CHECKING:
    from loadbalancer.proxy.timers import TimerItem

logger = logging.getLogger(__name__)

# Delay before a timer of the Balancer fires again if its handler raised an exception.
RETRY_AFTER_FAULT_NS = 100 * MS


class TimerEvents(AttemptHost, ABC):
    """Times out attempts and requests. All timers due at one time are handled in one event."""

    def set_timer(self, token: int, due: int) -> None:
        """Set a timer for the Balancer; timers set earlier stay set.

        Args:
            token: passed to `Balancer.on_timer`.
            due: when the timer fires, in nanoseconds of the monotonic clock.
        """
        self._timers.add(due, token)

    def _on_timers_due(self) -> None:
        now = self.begin_event()
        try:
            while (item := self._timers.pop_due(now)) is not None:
                if isinstance(item, Attempt):
                    if not item.settled and self._is_timed_out(item, now):
                        self.abort_attempt(item, Outcome.TIMEOUT)
                elif isinstance(item, Request):
                    if not item.ended:
                        self._fail_if_unanswered(item, now)
                else:
                    self._on_balancer_timer(item, now)
        finally:
            self.end_event()

    def _is_over(self, item: TimerItem) -> bool:
        if isinstance(item, Attempt):
            return item.settled
        return isinstance(item, Request) and item.ended

    def _on_balancer_timer(self, token: int, now: int) -> None:
        """Call the Balancer for one of its timers; if it raises, set the timer again.

        The Balancer sets its next timer in this call. If it raised before doing so and the
        timer were not set again, no timer would ever call it, and queued requests would wait
        forever.
        """
        try:
            self.balancer.on_timer(now, token)
        except Exception:  # noqa: BLE001 -- an error in the Balancer must not end the process
            self._log_fault()
            self.set_timer(token, now + RETRY_AFTER_FAULT_NS)

    def _is_timed_out(self, attempt: Attempt, now: int) -> bool:
        """Whether an attempt has exceeded its timeout.

        The timeout does not apply while the request's body is being received from the client,
        nor once the response is being streamed. When the body has been received, a new timeout
        is set.
        """
        request = attempt.request
        if request.started or request.receiving:
            return False
        return attempt.sent_at + attempt.timeout <= now

    def _fail_if_unanswered(self, request: Request, now: int) -> None:
        """Fail a request that the Balancer has not answered by its deadline.

        Without this, an error in the Balancer would leave the client waiting until it gives up
        by itself. If this event runs late, for example after the process was paused, it may
        itself have timed out the request's last attempt. That outcome is reported first: the
        Balancer's answer to it tells the client whether a retry is safe.
        """
        if request.started or request.receiving or request.deadline > now:
            return
        self._report_outcomes()
        if request.ended:
            return
        logger.info("request %d: no answer from the balancer by its deadline", request.id)
        self.end_unanswered(request, GATEWAY_TIMEOUT)
