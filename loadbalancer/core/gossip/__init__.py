"""Gossip between the nodes of one fleet: membership, replicated records and slot leases."""
