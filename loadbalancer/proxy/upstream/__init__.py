"""Connections to backends: the pool, and one connection's states, request and response."""
