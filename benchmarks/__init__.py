"""Measurements: `python -m benchmarks.TOPIC [--quick]`, one JSON line last."""
