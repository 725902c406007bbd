"""What a host does when its timers come due: the Balancer's, attempts' and requests'."""

from __future__ import annotations

import logging
from abc import ABC

from loadbalancer.core import Outcome
from loadbalancer.core.balancing.model import MS
from loadbalancer.proxy.attempts import AttemptHost
from loadbalancer.proxy.exchange import Attempt, Request
from loadbalancer.proxy.open_requests import GATEWAY_TIMEOUT

logger = logging.getLogger(__name__)

# A timer of the Balancer whose event raised is set again after this time.
RETRY_AFTER_FAULT_NS = 100 * MS


class TimerEvents(AttemptHost, ABC):
    """Ends what has run out of time. All timers that are due are one event."""

    def set_timer(self, token: int, due: int) -> None:
        """Set a timer of the Balancer, beside those that are set already."""
        self._timers.add(due, token)

    def _on_timers_due(self) -> None:
        now = self.begin_event()
        try:
            while (item := self._timers.pop_due(now)) is not None:
                if isinstance(item, Attempt):
                    if not item.closed and self._is_timed_out(item, now):
                        self.abort_attempt(item, Outcome.TIMEOUT)
                elif isinstance(item, Request):
                    if not item.ended:
                        self._on_backstop(item, now)
                else:
                    self._on_balancer_timer(item, now)
        finally:
            self.end_event()

    def _on_balancer_timer(self, token: int, now: int) -> None:
        """Report a timer of the Balancer.

        Failure: the Balancer sets its next timer within this event. After a fault before
        that it would never be called again, and queued requests would wait for good.
        """
        try:
            self.balancer.on_timer(now, token)
        except Exception:  # noqa: BLE001 -- a fault of a decision must not end the process
            self._log_fault()
            self.set_timer(token, now + RETRY_AFTER_FAULT_NS)

    def _is_timed_out(self, attempt: Attempt, now: int) -> bool:
        """Whether an attempt's time is over.

        It does not run while its request's body is received, nor once its response is
        streamed; the end of the body sets it again.
        """
        request = attempt.request
        if request.started or request.receiving:
            return False
        return attempt.sent + attempt.limit <= now

    def _on_backstop(self, request: Request, now: int) -> None:
        """Fail a request that the Balancer owed an answer before now.

        Failure: the Balancer gives no answer to a request, by a fault of its own, and the
        client waits until it gives up. Where this event comes late, as after a pause of the
        process, it may have ended the last attempt itself: that outcome is reported first, as
        the Balancer's answer to it says whether a retry is harmless.
        """
        if request.started or request.receiving or request.deadline > now:
            return
        self._report_outcomes()
        if request.ended:
            return
        logger.info("request %d was overdue", request.id)
        self.end_unanswered(request, GATEWAY_TIMEOUT)
