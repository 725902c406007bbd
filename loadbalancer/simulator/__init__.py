"""Adapter that runs the load-balancing decisions under the simulator's wire protocol."""
