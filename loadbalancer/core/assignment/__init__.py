"""Which nodes hold which services: placement, liveness, and moves between nodes.

- `model`: types shared with the replicated log, subscriptions and the control machine
- `rules`, `validation`: the inputs of an assignment and their bounds
- `assigner`: the assignment for a set of living nodes, made of `base_assignment` (all nodes
  living), `reassignment` (dead nodes replaced), `zones` and `substitutes`
- `liveness`, `presence`: which nodes are alive, and at which control machine they poll
- `handover`, `release`: when a node that lost a service by an assignment may drop it
"""
