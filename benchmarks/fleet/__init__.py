"""Gossip between nodes: how soon all nodes know a change, its costs, and its effect on service."""
