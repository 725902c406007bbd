"""Gossip between nodes: bytes, sockets and pace; flinthatch/fleet/ decides what it means."""
