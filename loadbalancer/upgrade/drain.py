"""A relieved process's share of the node, which shrinks as its clients leave."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from loadbalancer.core.process_pair import EndpointUsage, PredecessorShare, endpoint_usage
from loadbalancer.upgrade.messages import RetainedCapacity

if TYPE_CHECKING:
    from loadbalancer.proxy.host import Node


class Drain:
    """What a predecessor still uses of the node's slots, idle connections and descriptors.

    Failure: the two processes together would send an endpoint more than the node's limit, or
    open more descriptors than the node may. So each figure is only ever lowered, and lowered
    here before the successor learns of it: a message that is late leaves some unused.

    Failure: slots are released, and a later step raises before they are reported. A report
    holds only what has changed, so neither process would use them until this one exits. What
    is released stays in `_unreported` until a report with it is made.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._share = PredecessorShare()
        self._initial_clients = 1
        self._initial_idle = 0
        self._released_descriptors = 0
        self._unreported: dict[int, int] = {}  # slots by endpoint
        self.need = 1.0  # the part of the clients that is left

    def begin(self) -> RetainedCapacity:
        """Divide the node's slots; what this process retains of them."""
        self._initial_clients = max(self._node.clients, 1)
        self._initial_idle = self._node.upstream.idle_count()
        retained = self._share.begin(self._endpoint_usage())
        self._node.use_limit_share(self._share)
        return self.report(retained)

    def advance(self) -> RetainedCapacity:
        """Release what the clients that have left no longer need."""
        node = self._node
        self.need = min(self.need, node.clients / self._initial_clients)
        self._unreported |= self._share.release(self._endpoint_usage(), self.need)
        node.upstream.trim(int(self._initial_idle * self.need))
        node.use_limit_share(self._share)
        report = self.report(self._unreported)
        self._unreported = {}
        return report

    def report(self, slots: dict[int, int]) -> RetainedCapacity:
        """The message that says so, with these slots; first leaves descriptors to the successor."""
        node = self._node
        self._released_descriptors = max(self._released_descriptors, node.releasable_descriptors())
        node.set_other_process_descriptors(self._released_descriptors)
        return RetainedCapacity(
            slots, node.descriptors(), tuple(node.open_request_ids), drained=self.need == 0
        )

    def _endpoint_usage(self) -> list[EndpointUsage]:
        return endpoint_usage(self._node.balancer, time.monotonic_ns())
