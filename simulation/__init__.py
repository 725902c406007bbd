"""Simulations: the project's own decisions in deterministic worlds, before invariant checkers.

Commands, each with `--seeds`, `--seed` and `--digest`:

- `fleet_faults`: Balancers that gossip (`service_world`), with faults; `fleet_invariants`.
- `control_faults`: the sharded configuration (`control_world`), with faults; `control_invariants`.
- `list_callers`: a fleet's calls to one list service (`caller_world`).

Further worlds: `gossip_world`, gossip nodes alone; `list_world`, the starts of nodes that need the
endpoint list. `fleet_mutants` and `control_mutants` are faults in the product's code that the seeds
must find. Shared parts: `event_queue`, `links`, `digest`, `seeds`, `mutants`.
"""
