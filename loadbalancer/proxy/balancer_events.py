"""How events reach a host's Balancer, and the one outcome of each attempt.

A Balancer calls its host's actions while it handles an event, and an action may settle an
attempt at once, as where no connection can be opened. The Balancer must not be called
again from within: an outcome is queued, and reported once the event's call has returned.
"""

from __future__ import annotations

import asyncio
import logging
import time
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

from loadbalancer.core import Outcome
from loadbalancer.faults import run_logged
from loadbalancer.proxy.flow_control import BufferBudget
from loadbalancer.proxy.open_requests import BAD_GATEWAY, OpenRequests
from loadbalancer.proxy.timers import TimerHeap

if TYPE_CHECKING:
    from loadbalancer.config.node import Config
    from loadbalancer.core import Balancer
    from loadbalancer.proxy.exchange import Attempt, Request

logger = logging.getLogger(__name__)

OK = Outcome.OK


class Event:
    """The bracket of one event, as a context manager that gives the event's time.

    Failure: an event begins within another one. The inner one's end would report the outer one's
    outcomes, and call the Balancer from within its own call. So that raises before it begins.
    """

    __slots__ = ("_host",)

    def __init__(self, host: BalancerEvents) -> None:
        self._host = host

    def __enter__(self) -> int:
        """Begin the event; returns its time."""
        assert not self._host.in_event, "an event within an event"
        return self._host.begin_event()

    def __exit__(self, *_exception: object) -> None:
        """End the event, also after an exception."""
        self._host.end_event()


class BalancerEvents(OpenRequests, ABC):
    """Brackets each event: `begin_event`, calls of the Balancer, `end_event`.

    Every `begin_event` is followed by `end_event`, also after an exception. A fault of the
    Balancer's in an event of a request is logged and ends neither the process nor the event.

    Failure: an exception leaves an event between the two, as from new settings or a new share
    of the limits. Every outcome after that would be queued for an event that never ends: none
    is reported any more, and requests wait for their deadlines. So `end_event` stands in a
    `finally` everywhere, and ends the event also where its own reports raise.

    `now` is the time of the event under way, in monotonic nanoseconds.
    """

    balancer: Balancer

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(BufferBudget(config.memory_mb))
        self.config = config
        self.loop = loop
        self.now = time.monotonic_ns()
        self.in_event = False  # an event is under way
        # Attempt, outcome, duration and the backend's load; not reported yet.
        self._outcomes: deque[tuple[Attempt, Outcome, int, Sequence[float]]] = deque()
        self._timers = TimerHeap(loop, self._on_timers_due)

    @abstractmethod
    def _on_timers_due(self) -> None:
        """The earliest timer is due."""

    # ---- the bracket of an event -----------------------------------------

    def begin_event(self) -> int:
        """Begin an event; returns its time."""
        self.in_event = True
        self.now = now = time.monotonic_ns()
        return now

    def end_event(self) -> None:
        """End an event: report the outcomes that it caused, then arm the timer."""
        try:
            if self._outcomes:
                self._report_outcomes()
        finally:
            self.in_event = False
            self._timers.arm()

    def event(self) -> Event:
        """An event that doesn't come with each request; those use `begin_event` and `end_event`.

        A context manager costs more than the calls, and a request has several pairs.
        """
        return Event(self)

    def notify_balancer(self, event: Callable[..., None], *args: Any) -> None:
        """Call an event of the Balancer, in a bracket of its own or within the present one."""
        inside = self.in_event
        now = self.now if inside else self.begin_event()
        try:
            event(now, *args)
        except Exception:  # noqa: BLE001 -- a fault of a decision must not end the process
            self._log_fault()
        finally:
            if not inside:
                self.end_event()

    def _log_fault(self) -> None:
        logger.exception("the balancer raised")

    # ---- outcomes ----------------------------------------------------------

    def record_outcome(
        self, attempt: Attempt, outcome: Outcome, load: Sequence[float] = ()
    ) -> None:
        """Settle an attempt, unless it is settled: the first outcome counts.

        Args:
            attempt: the attempt; its connection is the caller's to close or to use again.
            outcome: how it ended.
            load: the backend's report of its load, by the settings' columns.
        """
        if attempt.closed:
            return
        attempt.closed = True
        attempt.connection = None
        inside = self.in_event
        now = self.now if inside else self.begin_event()
        request = attempt.request
        self._outcomes.append((attempt, outcome, now - attempt.sent, load))
        try:
            if (outcome == OK or request.started) and not request.ended:
                self.end(request)
        finally:
            if not inside:
                self.end_event()

    def _report_outcomes(self) -> None:
        """Report the queued outcomes, and those that reporting them causes."""
        outcomes = self._outcomes
        while outcomes:
            self._report_outcome(*outcomes.popleft())

    def _report_outcome(
        self, attempt: Attempt, outcome: Outcome, duration: int, load: Sequence[float]
    ) -> None:
        """Report one outcome to the Balancer.

        Failure: that a client has half-closed is also seen by `send` and `may_begin`, from
        which the Balancer may not be called. It would retry for that client, who may have
        left, and a backend would run a request that nobody waits for. So it learns of the
        end here, before each outcome that it decides on.
        """
        request = attempt.request
        try:
            request.open_attempts -= 1
            if request.half_closed:
                self.balancer.on_client_half_closed(self.now, request.id)
            self.balancer.on_outcome(
                self.now,
                request.id,
                attempt.number,
                outcome,
                duration,
                request.ended,
                load,
                attempt.connected,
            )
        except Exception:  # noqa: BLE001 -- a fault of a decision must not end the process
            self._log_fault()
            # 502 and no rejection: an attempt may have been executed.
            if not request.open_attempts:
                self.end_unanswered(request, BAD_GATEWAY)
        finally:
            self.forget(request)

    def end_unanswered(self, request: Request, status: int) -> None:
        """End a request that the Balancer gives no answer to, here and at the Balancer.

        Failure: the Balancer raises in an event of a request, and the host alone forgets it. In
        the Balancer it is still queued: it is dispatched later, for no client, and its slot is
        in use for good, as the host has nothing to send and no outcome comes. With each such
        fault the concurrency limit has one slot less. So the Balancer learns of the end too.

        Failure: the client's connection raises as it is answered. The outcomes that are queued
        behind this request's would wait for the next event. So that is logged, and no more.
        """
        run_logged(self.finish, request, status)
        self.notify_balancer(self.balancer.on_client_disconnected, request.id)
