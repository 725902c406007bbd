"""A deterministic world of starts: nodes that need the endpoint list, and the service that has it.

Nodes gossip as in `simulation.gossip_world`, and serve no requests. Each polls as the program
does: its Balancer says when, its shared list whether this node polls at all, and a watch continues
from answer to answer.

- `rows`: an endpoint's row as text, and what a node's host reads in it.
- `service`: the list service, which answers calls in turn and at a limited rate.
- `client`: one node's list and its calls to the service.
- `node`: one node's Balancer without requests.
- `world`: all of it together, on the gossip world's time and links.
"""
