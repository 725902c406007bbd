"""Gossip between nodes as datagrams: codec, socket and rates (see `loadbalancer.core.gossip`)."""
