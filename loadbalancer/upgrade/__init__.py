"""Upgrade of a node: a new process takes over the listening address from the running one.

Until the old process has drained, both together act as one node.
"""
