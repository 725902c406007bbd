"""The xDS control service: a Balancer for each pool decides, and connected proxies follow it."""
