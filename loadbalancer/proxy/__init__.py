"""The data plane: client connections, backend connections, and the host that runs one Balancer."""
