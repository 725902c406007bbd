"""Delivers events to a host's Balancer and reports exactly one outcome for each attempt.

While the Balancer handles an event it calls its host's actions. An action may settle an attempt
immediately, for example if no connection can be opened. The Balancer is not reentrant, so the
outcome is queued and reported after the Balancer's handler has returned.
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
from loadbalancer.core.buffer_budget import BufferBudget
from loadbalancer.faults import run_logged
from loadbalancer.proxy.open_requests import BAD_GATEWAY, OpenRequests
from loadbalancer.proxy.timers import TimerHeap

if TYPE_CHECKING:
    from loadbalancer.config.node import Config
    from loadbalancer.core import Balancer
    from loadbalancer.proxy.exchange import Attempt, Request
    from loadbalancer.proxy.timers import TimerItem

logger = logging.getLogger(__name__)

OK = Outcome.OK


class EventScope:
    """Context manager for the scope of one event; entering it returns the event's time.

    Scopes must not nest: the end of an inner event would report the outer event's outcomes and
    so call the Balancer while it still handles the outer event. A nested scope raises
    AssertionError on entry.
    """

    __slots__ = ("_host",)

    def __init__(self, host: BalancerEvents) -> None:
        self._host = host

    def __enter__(self) -> int:
        """Begin the event and return its time."""
        assert not self._host.in_event, "an event within an event"
        return self._host.begin_event()

    def __exit__(self, *_exception: object) -> None:
        """End the event, whether or not an exception was raised in it."""
        self._host.end_event()


class BalancerEvents(OpenRequests, ABC):
    """Runs the Balancer's handlers in events, from `begin_event` to `end_event`.

    Each call of `begin_event` must be matched by `end_event` in a `finally` block. An event left
    open by an exception, such as one raised while new settings or a new share of the limits are
    applied, would make every later outcome wait in the queue for an event that never ends:
    outcomes would no longer be reported, and requests would wait until their deadlines. For the
    same reason `end_event` ends the event even if reporting its outcomes raises.

    An exception that the Balancer raises in an event of a request is logged; it ends neither the
    process nor the event.

    `now` is the time of the current event in nanoseconds of the monotonic clock.
    """

    balancer: Balancer

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(BufferBudget(config.memory_mb, config.sockets))
        self.config = config
        self.loop = loop
        self.now = time.monotonic_ns()
        self.in_event = False  # whether an event is in progress
        # Outcomes still to be reported: attempt, outcome, duration in ns, the backend's load.
        self._outcomes: deque[tuple[Attempt, Outcome, int, Sequence[float]]] = deque()
        self._timers = TimerHeap(loop, self._on_timers_due, self._is_over)

    @abstractmethod
    def _on_timers_due(self) -> None:
        """Handle all timers that are due; called when the earliest one is."""

    @abstractmethod
    def _is_over(self, item: TimerItem) -> bool:
        """Whether a timer for this item would find nothing to do."""

    def begin_event(self) -> int:
        """Begin an event and return its time."""
        self.in_event = True
        self.now = now = time.monotonic_ns()
        return now

    def end_event(self) -> None:
        """End the event: report the outcomes it caused, then arm the timer."""
        try:
            if self._outcomes:
                self._report_outcomes()
        finally:
            self.in_event = False
            self._timers.arm()

    def event(self) -> EventScope:
        """Return the scope of one event, for events that are not part of every request.

        Each request causes several events, and a context manager costs more than a pair of plain
        calls, so the code run for every request calls `begin_event` and `end_event` instead.
        """
        return EventScope(self)

    def notify_balancer(self, event: Callable[..., None], *args: Any) -> None:
        """Call one of the Balancer's event handlers with the event's time and `args`.

        Uses the current event if there is one, and an event of its own otherwise.
        """
        was_in_event = self.in_event
        now = self.now if was_in_event else self.begin_event()
        try:
            event(now, *args)
        except Exception:  # noqa: BLE001 -- an error in the Balancer must not end the process
            self._log_fault()
        finally:
            if not was_in_event:
                self.end_event()

    def _log_fault(self) -> None:
        logger.exception("the balancer raised an exception while handling an event")

    def record_outcome(
        self, attempt: Attempt, outcome: Outcome, load: Sequence[float] = ()
    ) -> None:
        """Settle an attempt with its outcome; does nothing if it is settled already.

        Args:
            attempt: the attempt. The caller closes or reuses its connection.
            outcome: how the attempt ended.
            load: the load that the backend reported, in the order of the settings' columns.
        """
        if attempt.settled:
            return
        attempt.settled = True
        attempt.connection = None
        was_in_event = self.in_event
        now = self.now if was_in_event else self.begin_event()
        request = attempt.request
        self._outcomes.append((attempt, outcome, now - attempt.sent_at, load))
        try:
            if (outcome == OK or request.started) and not request.ended:
                self.end(request)
        finally:
            if not was_in_event:
                self.end_event()

    def _report_outcomes(self) -> None:
        """Report the queued outcomes, including those queued while reporting."""
        outcomes = self._outcomes
        while outcomes:
            self._report_outcome(*outcomes.popleft())

    def _report_outcome(
        self, attempt: Attempt, outcome: Outcome, duration: int, load: Sequence[float]
    ) -> None:
        """Report one outcome to the Balancer.

        If the client has half-closed its connection, the Balancer is told before the outcome.
        `send` and `may_begin` also detect a half-close, but must not call the Balancer
        themselves. Without this notice the Balancer could retry for a client that may have left,
        and a backend would execute a request whose response nobody reads.
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
        except Exception:  # noqa: BLE001 -- an error in the Balancer must not end the process
            self._log_fault()
            # 502, not a 503 rejection: an attempt may have been executed, so the client must
            # not be told that the request can safely be sent again.
            if not request.open_attempts:
                self.end_unanswered(request, BAD_GATEWAY)
        finally:
            self.forget(request)

    def end_unanswered(self, request: Request, status: int) -> None:
        """End a request that the Balancer failed to answer, both in the host and the Balancer.

        The Balancer must be notified. If only the host forgot the request, the Balancer could
        still have it queued and dispatch it later. The host could not send it, so no outcome
        would ever free its slot, and the concurrency limit would lose one slot for good.

        An exception raised while the client is answered is only logged. If it propagated, the
        outcomes queued after this one would not be reported until the next event.
        """
        run_logged(self.finish, request, status)
        self.notify_balancer(self.balancer.on_client_disconnected, request.id)
