"""Assigns services to nodes: a pure function of the registered nodes, the living ones and services.

The nodes to which a service is assigned are its holders.

Base assignment. It is computed over all registered nodes of a zone, whether alive or not. In each
zone a service has a fixed preference order of the nodes. First come the nodes found by probes of a
hash ring (multi-probe consistent hashing, Appleton and O'Reilly 2015). Each service has its own
probes, so the node sets of two services are independent, as in shuffle sharding (AWS Builders'
Library). All other nodes follow, ordered by rendezvous hashing (Thaler and Ravishankar 1998). The
service is assigned to the first nodes of its order that have capacity. Capacity is limited to the
mean load times `load_factor` (consistent hashing with bounded loads, Mirrokni, Thorup and
Zadimoghaddam 2018), and by the limits that the node itself states.

Dead nodes. Their services, and no others, are assigned to the next living nodes with capacity in
the services' own order, in the same zone. Each assignment starts from the base assignment, so it
does not depend on the order in which nodes died. The loss of a node changes the holders only of the
services that it held, and its return restores the earlier assignment exactly. There is one
exception: if a substitute is full because other nodes died as well, the service that comes later in
the order of placement is assigned to the next node of its own order.

Number of holders. A zone has enough holders of a service for the rate that it receives when any one
of the service's other zones is lost. So the loss of a zone moves no service: its share of the
requests goes to nodes that hold the service already. Only if all zones of a service are lost, it is
assigned to other zones.

docs/design/scale.md discusses the alternatives.
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
    """Computes the base assignment once, and from it the assignment for any set of living nodes.

    Raises:
        InvalidInputError: the nodes or services are invalid (see `validation`).
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
        """Return the assignment while the nodes named in `alive` are the living ones.

        Apart from a copy of the tables, the cost is proportional to the services that the dead
        nodes held.

        Raises:
            InvalidInputError: a name is not that of a registered node.
        """
        living = alive if isinstance(alive, set | frozenset) else frozenset(alive)
        for name in living:
            if name not in self.nodes:
                raise InvalidInputError(f"alive: unknown node {name!r}, must be a registered node")
        dead = [name for name in self.nodes if name not in living]
        return Reassignment(self._base, living, dead).run()
