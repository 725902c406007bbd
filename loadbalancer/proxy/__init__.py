"""The data plane: connections of clients and to backends, and the host of one Balancer."""
