"""Which nodes hold a service: a pure function of the nodes, the living ones and the services.

The base assignment is over all registered nodes of a zone, whether they live or not. Each service
has in each zone a fixed order of its nodes: probes of a hash ring (multi-probe consistent hashing,
Appleton and O'Reilly 2015; each service's own probes make the sets of two services independent,
as in shuffle sharding, AWS Builders' Library), and after the probes all others by rendezvous
hashing (Thaler and Ravishankar 1998). The service goes to the first nodes of its order that have
capacity; capacity is bounded by the mean times `load_factor` (consistent hashing with bounded
loads, Mirrokni, Thorup and Zadimoghaddam 2018) and by what the node itself states.

A dead node's services, and these alone, go to the next living nodes of their own order that have
capacity, in the same zone. Nothing depends on the order in which nodes died: the assignment is made
from the base each time. So the loss of a node changes the holders only of services that it
held, and its return restores the earlier assignment exactly. The exception: where a substitute is
full because other nodes died as well, the service that is later in the order of placement goes to
the next node of its own order.

How many nodes of a zone hold a service: enough for the rate that the zone sees once any one
of the service's other zones is lost, so that a lost zone moves nothing: its share falls on
nodes that hold the service already. Only a service all of whose zones are lost is assigned to
another zone.

Alternatives are weighed in docs/design/scale.md.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from loadbalancer.core.assignment.assignment import Assignment
from loadbalancer.core.assignment.base_assignment import BaseAssignment
from loadbalancer.core.assignment.model import InvalidInputError, NodeSpec, ServiceSpec
from loadbalancer.core.assignment.reassignment import Reassignment
from loadbalancer.core.assignment.rules import AssignmentRules
from loadbalancer.core.assignment.validation import check_nodes, check_services


class Assigner:
    """The base assignment, made once, and the assignment for any set of living nodes.

    Raises:
        InvalidInputError: the nodes or services can't be used (see `validation`).
    """

    def __init__(
        self, nodes: Sequence[NodeSpec], services: Sequence[ServiceSpec], rules: AssignmentRules
    ) -> None:
        check_nodes(nodes)
        check_services(services, nodes)
        self.nodes = {node.name: node for node in sorted(nodes, key=lambda node: node.name)}
        self._base = BaseAssignment(self.nodes, services, rules)
        self.services = self._base.services
        self.rules = rules

    def assign(self, alive: Collection[str]) -> Assignment:
        """The assignment while these nodes live.

        The cost follows what the dead nodes held, beside a copy of the tables.

        Raises:
            InvalidInputError: a name that no registered node has.
        """
        living = alive if isinstance(alive, set | frozenset) else frozenset(alive)
        for name in living:
            if name not in self.nodes:
                raise InvalidInputError(f"alive: unknown node {name!r}, must be a registered one")
        dead = [name for name in self.nodes if name not in living]
        return Reassignment(self._base, living, dead).run()
