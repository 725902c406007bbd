"""What one node and the whole fleet cost as sizes grow: measured slopes, and a scale run."""
