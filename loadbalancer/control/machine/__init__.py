"""Control machines, which serve each node the services assigned to it, and the node's client."""
