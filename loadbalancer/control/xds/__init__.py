"""The xDS control service: one Balancer a pool decides, other proxies carry it out."""
