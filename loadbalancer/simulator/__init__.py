"""The same decisions on the simulator's wire."""
