"""Connections to backends: the connection pool, requests written and responses read."""
