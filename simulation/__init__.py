"""Simulations: the project's own decisions in deterministic worlds, before invariant checkers."""
