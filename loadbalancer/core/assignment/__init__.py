"""Assignment of services to nodes: placement, liveness of nodes, and handover between nodes.

- `model`: types shared with the replicated log, subscriptions and the control machine
- `rules`, `validation`: the inputs of an assignment and their limits
- `assigner`: computes the assignment for a set of living nodes, from `base_assignment` (as if all
  nodes lived) and `reassignment` (substitutes for dead nodes), with `zones` and `substitutes`
- `liveness`, `presence`: which nodes are alive, and which control machine they poll
- `handover`, `release`: when a node may release a service that is no longer assigned to it
"""
