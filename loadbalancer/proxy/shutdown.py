"""Graceful stop of a node's process: accept for a short time, answer open requests, and exit.

The front (the load balancer or DNS before the nodes) notices a stop late and sends new
connections for another 0.4 s. The node may be killed 0.7 s after the longest deadline of a
class, counted from the start of the stop, so all responses have to be sent before that.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.faults import run_logged
from loadbalancer.proxy.reload import log_route_counters

if TYPE_CHECKING:
    from loadbalancer.proxy.downstream.listener import Listener
    from loadbalancer.proxy.host import Node
    from loadbalancer.proxy.lifecycle import Lifecycle

logger = logging.getLogger(__name__)

ACCEPT_S = 0.5  # from the start of the stop until the listening socket is closed
KILL_MARGIN_S = 0.7  # from the longest deadline until the node may be killed
LAST_RESPONSES_S = 0.12  # of that, kept for sending the last responses and for the exit
POLL_INTERVAL_S = 0.01
FALLBACK_DEADLINE_S = 5.0  # if computing the longest deadline of the classes raises


class Shutdown:
    """Stops a node; `ended` is done once all responses are sent, or at the time limit.

    Each step is followed by the next one even if it raises, and the time limit is kept. Otherwise
    one exception would end the stop half-way: the process would serve on or wait until it is
    killed, and a second signal would do nothing as the stop has begun already.

    Args:
        loop: the event loop of the process.
        node: the host.
        listener: the clients' listener.
        lifecycle: the state that readiness checks report.
        before_close: called just before the listening socket is closed.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        node: Node,
        listener: Listener,
        lifecycle: Lifecycle,
        before_close: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._node = node
        self._listener = listener
        self._lifecycle = lifecycle
        self._before_close = before_close
        self._fail_all_at_s = 0.0  # when open requests are failed, by the event loop's clock
        self._is_finished = False  # all clients have their responses
        self._has_check_raised = False
        self.ended: asyncio.Future[None] = loop.create_future()

    def begin(self) -> None:
        """Begin the stop; a second call does nothing."""
        if self._lifecycle.stopping:
            return
        self._lifecycle.stopping = True
        # The timer of the next step is set first: if anything below raised before that, the stop
        # would never end, and a second signal would do nothing.
        self._loop.call_later(ACCEPT_S, self._close)
        self._set_time_limit(FALLBACK_DEADLINE_S)
        logger.info("stopping")
        node = self._node
        if node.peers is not None:
            run_logged(node.peers.close, not self._lifecycle.handed_over)
        run_logged(log_route_counters, node)
        run_logged(self._use_longest_deadline)

    def _use_longest_deadline(self) -> None:
        self._set_time_limit(max(c.spec.deadline for c in self._node.balancer.classes) / SECOND)

    def _set_time_limit(self, longest_s: float) -> None:
        self._fail_all_at_s = self._loop.time() + longest_s + KILL_MARGIN_S - LAST_RESPONSES_S

    def _close(self) -> None:
        run_logged(self._before_close)
        run_logged(self._listener.stop_accepting)
        self._poll()

    def _poll(self) -> None:
        """Poll until all clients have their responses; at the time limit fail the open requests."""
        is_overdue = self._loop.time() >= self._fail_all_at_s
        if is_overdue:
            run_logged(self._node.fail_all)
        else:
            self._check_finished()
        if is_overdue or self._is_finished:
            run_logged(self._node.discovery.close)
            # One more iteration of the event loop, in which the last responses are written.
            self._loop.call_later(POLL_INTERVAL_S, self._end)
        else:
            self._loop.call_later(POLL_INTERVAL_S, self._poll)

    def _check_finished(self) -> None:
        """Check whether the stop can end; if the check raises, the stop goes on waiting.

        Only the first exception is logged. The check runs a hundred times a second, so logging
        each one would use up the log's rate limit, and messages about other faults would be
        dropped.
        """
        if self._has_check_raised:
            with contextlib.suppress(Exception):
                self._update_finished()
        else:
            self._has_check_raised = not run_logged(self._update_finished)

    def _update_finished(self) -> None:
        # Open requests are checked too: the listener doesn't wait for a connection whose check
        # raises, and the stop would cut off the response that this connection still has to send.
        is_idle = self._listener.close_idle_and_check_drained()
        self._is_finished = is_idle and not self._node.open_count

    def _end(self) -> None:
        run_logged(self._listener.registry.reset_incomplete)
        if not self.ended.done():
            self.ended.set_result(None)
