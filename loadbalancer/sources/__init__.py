"""Sources of endpoint lists: the discovery service and Consul."""
