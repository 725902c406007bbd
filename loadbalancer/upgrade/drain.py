"""The part of a node's capacity that a draining process still uses.

It shrinks as the clients of the process disconnect.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from loadbalancer.core.process_pair import EndpointUsage, PredecessorShare, endpoint_usage
from loadbalancer.upgrade.messages import RetainedCapacity

if TYPE_CHECKING:
    from loadbalancer.proxy.host import Node


class Drain:
    """Tracks the slots, idle connections and descriptors that the predecessor still uses.

    The two processes together must neither exceed the node's limit at an endpoint nor the
    node's limit of descriptors. So the predecessor never takes back what it has released, and
    it stops using slots and descriptors before it tells the successor. A delayed report only
    leaves some of them unused for a while.

    A report holds only the slots that have changed since the previous one. If an exception
    occurs between the release of slots and their report, the slots would stay unused by both
    processes until this one exits. Released slots are therefore kept in `_unreported` until
    they have been included in a report.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._share = PredecessorShare()
        self._initial_clients = 1
        self._initial_idle = 0  # idle connections to endpoints
        self._released_descriptors = 0
        self._unreported: dict[int, int] = {}  # changed slots by endpoint id, not yet in a report
        self.remaining_fraction = 1.0  # of the clients at the start of the drain

    def begin(self) -> RetainedCapacity:
        """Divide the slots between both processes and report those that this process retains."""
        self._initial_clients = max(self._node.clients, 1)
        self._initial_idle = self._node.upstream.idle_count()
        retained = self._share.begin(self._endpoint_usage())
        self._node.use_limit_share(self._share)
        return self.report(retained)

    def advance(self) -> RetainedCapacity:
        """Release the capacity of disconnected clients and report what is still retained."""
        node = self._node
        self.remaining_fraction = min(self.remaining_fraction, node.clients / self._initial_clients)
        self._unreported |= self._share.release(self._endpoint_usage(), self.remaining_fraction)
        node.upstream.trim(int(self._initial_idle * self.remaining_fraction))
        node.use_limit_share(self._share)
        report = self.report(self._unreported)
        self._unreported = {}
        return report

    def report(self, slots: dict[int, int]) -> RetainedCapacity:
        """Build a report with these slots.

        Before that, this process lowers its own limit of descriptors by those that the
        successor may open.
        """
        node = self._node
        self._released_descriptors = max(self._released_descriptors, node.releasable_descriptors())
        node.set_other_process_descriptors(self._released_descriptors)
        return RetainedCapacity(
            slots,
            node.descriptors(),
            tuple(node.request_ids.own()),
            drained=self.remaining_fraction == 0,
        )

    def _endpoint_usage(self) -> list[EndpointUsage]:
        return endpoint_usage(self._node.balancer, time.monotonic_ns())
