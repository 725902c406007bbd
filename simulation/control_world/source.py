"""Where a region's services come from: their desired rows, and proposals of each change."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from loadbalancer.core.assignment.model import Position, Row
from loadbalancer.core.balancing.model import MS
from loadbalancer.core.replicated_log.replication import ProposalOutcome
from simulation.control_world.settings import PROPOSAL_TIMEOUT

if TYPE_CHECKING:
    from simulation.control_world.environment import Environment

# A draw from [0, 1) below each of these, in this order, makes the change; above all, a removal.
REMOVE_SERVICE = 0.04
ADD_BACKEND = 0.4
DRAIN_BACKEND = 0.7
ACTIVATE_BACKEND = 0.8
MIN_BACKENDS = 2  # with fewer, one is added

ACTIVE = "active"
DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Proposal:
    """A change that a machine has taken and that may be accepted."""

    position: Position
    proposed_at: int


class Source:
    """The one writer of a region's services.

    `desired` has the rows of each service by uid; `outstanding` the services whose change is not
    accepted yet, with None where no machine has taken it.
    """

    def __init__(self, environment: Environment, region: str) -> None:
        self.region = region
        self.desired: dict[str, dict[str, Row]] = {}
        self.outstanding: dict[str, Proposal | None] = {}
        self._environment = environment
        self._former_uids: dict[str, set[str]] = {}  # all that a service has had, by service
        self._backends_added = 0

    def add_service(self, service: str, backends: int) -> None:
        """Add a service with so many active backends."""
        self.desired[service] = {}
        for _ in range(backends):
            self._add_backend(service)

    def change(self) -> None:
        """Change one service that has no change outstanding."""
        services = self._environment.topology.services_of(self.region)
        settled = [name for name in services if name not in self.outstanding]
        if settled:
            self.change_service(self._environment.random.choice(settled))

    def change_service(self, service: str) -> None:
        """Add, drain, activate or remove a backend; rarely remove the service itself."""
        random = self._environment.random
        rows = self.desired.get(service)
        kind = random.random()
        if rows is None:
            self.add_service(service, self._environment.size.backends)
        elif kind < REMOVE_SERVICE:
            del self.desired[service]
        elif kind < ADD_BACKEND or len(rows) < MIN_BACKENDS:
            self._add_backend(service)
        elif kind < DRAIN_BACKEND:
            self._put(service, random.choice(sorted(rows)), DRAINING)
        elif kind < ACTIVATE_BACKEND:
            self._put(service, random.choice(sorted(rows)), ACTIVE)
        else:
            del rows[random.choice(sorted(rows))]
        self.outstanding[service] = None

    def propose_outstanding(self) -> None:
        """Propose what no machine has taken, and again what was not accepted in time."""
        environment = self._environment
        for service, proposal in list(self.outstanding.items()):
            if proposal is None:
                self._propose(service)
            elif environment.log_checker.is_accepted(self.region, proposal.position):
                del self.outstanding[service]
            elif environment.now - proposal.proposed_at >= PROPOSAL_TIMEOUT:
                self._propose(service)

    def _add_backend(self, service: str) -> None:
        self._backends_added += 1
        self._put(service, f"{service}-b{self._backends_added}", ACTIVE)

    def _put(self, service: str, uid: str, state: str) -> None:
        changed_at = self._environment.now // MS
        body = f'{{"uid": "{uid}", "state": "{state}", "at": {changed_at}}}'
        self.desired[service][uid] = Row(uid, body, state == DRAINING)
        self._former_uids.setdefault(service, set()).add(uid)

    def _propose(self, service: str) -> None:
        """Propose a service's rows to the first machine of the region that takes them."""
        environment = self._environment
        rows = self.desired.get(service)
        content = () if rows is None else tuple(rows.values())
        removed = self._removed_uids(service, rows) if rows else ()
        for machine in environment.active_machines(self.region):
            result = machine.replica.propose(service, content, removed, deleted=rows is None)
            if result.outcome is ProposalOutcome.PROPOSED and result.position is not None:
                position = result.position
                environment.recorder.decision(
                    machine.index, self.region, position, service, content
                )
                proposed = None if rows is None else dict(rows)
                environment.log_checker.on_proposed(self.region, position, service, proposed)
                self.outstanding[service] = Proposal(position, environment.now)
                machine.settle()
                return

    def _removed_uids(self, service: str, rows: Mapping[str, Row]) -> tuple[str, ...]:
        return tuple(sorted(self._former_uids[service] - rows.keys()))
