"""Regions, intervals and the size of a world. Times are integer nanoseconds of simulated time."""

from __future__ import annotations

from dataclasses import dataclass, field

from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.replicated_log.replication import Timing
from loadbalancer.core.subscription.publisher import PublisherLimits

EAST = "east"
WEST = "west"
REGIONS = (EAST, WEST)
ZONES = {EAST: ("east-1", "east-2"), WEST: ("west-1", "west-2")}
MACHINES_PER_REGION = 3

TICK_INTERVAL = 100 * MS  # of a machine
HEARTBEAT_INTERVAL = SECOND  # from a node to every machine
PING_INTERVAL = 500 * MS  # from a machine to every other one
MACHINE_TIMEOUT = 2 * SECOND  # a machine that sent nothing for so long counts as dead
POLL_HOLD = 2 * SECOND  # a poll without an update is answered after that
POLL_TIMEOUT = 3 * SECOND  # a node without an answer polls another machine after that
POLL_DELAY = 10 * MS  # from an answer to the node's next poll
REFUSED_POLL_DELAY = SECOND  # the same after a refusal
NODE_TIMEOUT = 3 * SECOND
NODE_RECOVERY_TIME = 5 * SECOND
RELEASE_LEASE = 1500 * MS  # how long a leader's grant of releases is valid
SOURCE_INTERVAL = 200 * MS  # between two runs of a source
PROPOSAL_TIMEOUT = 3 * SECOND  # a change not accepted by then is proposed again
CHECK_INTERVAL = SECOND  # between two checks of the invariants that are not tied to an event
CONDITION_INTERVAL = 50 * MS  # between two checks of the condition that ends a run

MAX_LOG_BYTES = 1 << 20
NODE_CAPACITY = 64  # services


def _publisher_limits() -> PublisherLimits:
    return PublisherLimits(snapshot_rate=20_000, snapshot_burst=20_000, unpaced_bytes=1_000)


@dataclass(frozen=True, slots=True)
class WorldSize:
    """How large a world is, and how fast its participants act."""

    nodes_per_zone: int = 3
    services_per_region: int = 6
    backends: int = 4  # of a new service
    max_changes: int = 40  # in a log, beside those that a load of the log takes
    publisher_limits: PublisherLimits = field(default_factory=_publisher_limits)
    timing: Timing = field(default_factory=Timing)
    slowdown: int = 1  # factor on the intervals of participants, for worlds that last hours
    service_on_every_node: bool = False  # the first service of each region is held by every node

    @property
    def max_log_changes(self) -> int:
        """The bound of a log: a load takes each service once, those removed, and its end."""
        return self.max_changes + 2 * self.services_per_region + 4

    def slowed(self, interval: int) -> int:
        """An interval of a participant, in this world's pace."""
        return interval * self.slowdown
