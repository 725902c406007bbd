"""Gossip protocol between the nodes of a fleet.

It covers membership and failure detection (SWIM with Lifeguard), replicated records about servers,
and leases on the concurrency slots of servers. The package does no I/O: `gossip_node` takes
messages and the time, and returns messages to send.
"""
