"""A deterministic world of the sharded configuration: control machines, nodes and their network.

Machines and nodes run the project's own classes: `Replica`, `Publisher`, `Handover`, `Assigner`,
`Liveness`, `ReleaseAuthority` and `Holder`. One seed decides everything that happens: each random
draw comes from one of the world's two generators, and the order of the draws is part of a run.

- `settings`: regions, intervals and how large a world is.
- `topology`: the machines, nodes and services of a world.
- `event_loop`: simulated time.
- `processes`: which incarnations run, are paused or have ended.
- `network`: messages between processes, over links with faults.
- `messages`: what nodes and machines send each other, and its form in a digest.
- `machine`, `node`, `source`: the participants.
- `stale_updates`: a fault that the links alone can't cause; `faults`: all faults by kind.
- `environment`: what all participants share; `recorder`: what a run's digest is made of.
- `world`: all of it together, and how a run goes on.
"""
