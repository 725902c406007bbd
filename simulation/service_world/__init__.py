"""A deterministic world of serving: Balancers that gossip, clients, servers that fail, and a list.

One seed decides everything that happens, and the order of the random draws is part of a run.

- `settings`: what a world consists of, request classes, constants.
- `server`: one server's queue, its limits and how cold it is.
- `endpoint_list`: what the list service says, and when nodes hear of it.
- `node_host`: carries out one Balancer's actions.
- `attempts`: what becomes of an attempt at a server.
- `clients`: requests at a steady rate.
- `troubles`: faults by kind.
- `counters`: what is counted in a run.
- `world`: all of it together, on the gossip world's time and links.
"""
