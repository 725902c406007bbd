"""Invariants of the sharded configuration, checked with knowledge that no participant has.

The checkers record what sources proposed and loaded and what was accepted, and check each node
after each answer: no position goes back, a node's services are as they were accepted up to its
position, a drain that a node was notified of stays, and nobody releases a service that no other
node serves.

- `history`: what was accepted, by region and position.
- `log_checker`: what machines accept, restore and have in their logs.
- `node_checker`: positions, rows and drains of nodes.
- `release_checker`: services that nodes release.
"""
