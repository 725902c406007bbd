"""Control machines that serve each node its own services, and the nodes' side of it."""
