"""What a world of serving consists of. Times are integer nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.core import Effect, RequestClass, Settings
from loadbalancer.core.balancing.model import MS, SECOND

BALANCE = RequestClass("balance", 800 * MS, 2 * SECOND)
CREDIT = RequestClass("credit", 750 * MS, 3 * SECOND, Effect.SIDE_EFFECT, priority_weight=5.0)
CLASSES = (BALANCE, CREDIT)
CREDIT_FRACTION = 0.2  # of all requests

MEAN_SERVICE_TIME = 10 * MS
WORKERS = 2  # of a server
SERVER_CAPACITY = 17  # requests that a server has in flight at most
RESTART_TIME = 3 * SECOND  # until a server that was overwhelmed is back, cold
NETWORK_DELAY = MS  # until a refused connection or a rejection is known

DRAIN_GRACE = 2 * SECOND  # from when a node is notified of a drain until it must send nothing more
LIST_DELAY = 5 * SECOND  # until a pushed change of the list reaches the nodes not notified at once
PAUSED_TIMER_DELAY = 50 * MS  # a paused node's timer is tried again after that
PAUSED_LIST_DELAY = 100 * MS  # a paused node's list likewise

# The product's rule for servers that have just started: their warming up, and when one is
# overwhelmed.
COLD_RULES = Settings(CLASSES)


@dataclass(frozen=True, slots=True, kw_only=True)
class ServicePlan:
    """How a world is made up.

    `rate` is in requests per second over all nodes; each of `hot_nodes` gets `hot_weight` times
    what another node does. `gossip` off is the program without peers. With `list_readers` the list
    is polled from a service by so many nodes for all (0: by each for itself); without, it is
    pushed.
    """

    nodes: int
    servers: int
    seed: int
    gossip: bool
    rate: float
    hot_nodes: tuple[int, ...] = ()
    hot_weight: int = 8
    slots: int = 15
    list_readers: int | None = None
