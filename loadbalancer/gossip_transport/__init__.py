"""Gossip between nodes: bytes, sockets and pace; loadbalancer.core.gossip decides what it means."""
