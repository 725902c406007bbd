"""The end of a node's process: it accepts for a moment, answers what it has, and exits.

Connections go on coming for 0.4 s after a stop begins, as what is in front of the node
learns of it late. The node may be killed after the longest deadline of a class and 0.7 s.
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

ACCEPT_S = 0.5  # from the stop's begin until the listening socket closes
KILL_MARGIN_S = 0.7  # after the longest deadline the node may be killed
LAST_ANSWERS_S = 0.12  # before that: to write the last answers, and to exit
POLL_INTERVAL_S = 0.01
FALLBACK_DEADLINE_S = 5.0  # taken for the longest one where a fault hides the classes' own


class Shutdown:
    """Stops a node; `ended` is done once nothing is left to wait for.

    Failure: one step of the stop raises, and no later one comes. The process would serve on,
    or wait, until it is killed, and a second signal would change nothing, as the stop has begun.
    So each step is followed by the next whatever it raises, and the last moment is kept to.

    Args:
        loop: the event loop of the process.
        node: the host.
        listener: the clients' listener.
        lifecycle: the state that readiness checks report.
        before_close: called just before the listening socket closes.
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
        self._fail_all_at_s = 0.0  # on the loop's clock
        self._is_finished = False  # nothing is left to wait for
        self._has_look_raised = False
        self.ended: asyncio.Future[None] = loop.create_future()

    def begin(self) -> None:
        """Begin the stop; nothing where it has begun."""
        if self._lifecycle.stopping:
            return
        self._lifecycle.stopping = True
        # Failure: something below raises before the timer of the next step is set. The stop has
        # begun and never ends, and a second signal changes nothing. So the timer comes first.
        self._loop.call_later(ACCEPT_S, self._close)
        self._set_last_moment(FALLBACK_DEADLINE_S)
        logger.info("stopping")
        node = self._node
        if node.peers is not None:
            run_logged(node.peers.close, not self._lifecycle.relieved)
        run_logged(log_route_counters, node)
        run_logged(self._use_longest_deadline)

    def _use_longest_deadline(self) -> None:
        self._set_last_moment(max(c.spec.deadline for c in self._node.balancer.classes) / SECOND)

    def _set_last_moment(self, longest_s: float) -> None:
        self._fail_all_at_s = self._loop.time() + longest_s + KILL_MARGIN_S - LAST_ANSWERS_S

    def _close(self) -> None:
        run_logged(self._before_close)
        run_logged(self._listener.stop_accepting)
        self._wait()

    def _wait(self) -> None:
        """Look whether all clients have their answers; at the last moment fail the others."""
        is_late = self._loop.time() >= self._fail_all_at_s
        if is_late:
            run_logged(self._node.fail_all)
        else:
            self._look_whether_finished()
        if is_late or self._is_finished:
            run_logged(self._node.discovery.close)
            # One more turn of the loop, in which the last answers are written.
            self._loop.call_later(POLL_INTERVAL_S, self._end)
        else:
            self._loop.call_later(POLL_INTERVAL_S, self._wait)

    def _look_whether_finished(self) -> None:
        """See whether the listener is finished; where that raises it counts as not.

        Failure: it raises each time, a hundred times a second. The log's allowance of lines is
        used up by it, and those of other faults are dropped. So only the first is logged.
        """
        if self._has_look_raised:
            with contextlib.suppress(Exception):
                self._update_finished()
        else:
            self._has_look_raised = not run_logged(self._update_finished)

    def _update_finished(self) -> None:
        # Open requests are looked at too: a connection whose state raises is not waited for, and
        # the stop would cut the answer that it still owes.
        is_idle = self._listener.close_idle_and_check_drained()
        self._is_finished = is_idle and not self._node.open_count

    def _end(self) -> None:
        run_logged(self._listener.registry.reset_incomplete)
        if not self.ended.done():
            self.ended.set_result(None)
