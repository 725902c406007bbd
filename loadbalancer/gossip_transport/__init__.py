"""Sends and receives gossip as UDP datagrams (the protocol is in `loadbalancer.core.gossip`)."""
