"""The laboratory: the project's own decisions in one deterministic world, with a referee."""
