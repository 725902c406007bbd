"""Handing over from one process to the next at the same addresses; both are one node meanwhile."""
