"""A deterministic world of serving: Balancers that gossip, clients, servers that fail, and a list.

One seed decides everything that happens, and the order of the random draws is part of a run.

- `settings`: what a world consists of, request classes, constants.
- `server`: one server's queue, its limits and how cold it is.
- `endpoint_list`: the states of all servers, and when nodes are notified of them.
- `node_host`: carries out one Balancer's actions.
- `attempts`: attempts at servers and their outcomes.
- `clients`: requests at a steady rate.
- `faults`: faults by kind.
- `counters`: what is counted in a run.
- `world`: all of it together, on the gossip world's time and links.
"""
