"""Memory and processor time of one piece of work in this process, repeated."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from statistics import median

from benchmarks.scale.fit import Point

REPEATS = 5
LEAST_NS = 20_000_000  # one reading goes on at least so long, or the clock's steps would tell


def memory(size: float, build: Callable[[], object], repeats: int = 3) -> Point:
    """Bytes that what `build` returns holds, by tracemalloc, of a few builds."""
    found = [held(build) for _ in range(repeats)]
    return Point(size, median(found), min(found), max(found))


def held(build: Callable[[], object]) -> float:
    """Bytes that one build's result keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        kept = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del kept
    return float(after - before)


def cpu(size: float, call: Callable[[], object], repeats: int = REPEATS) -> Point:
    """Microseconds of this process's processor time that one call takes.

    Each reading calls as often as it takes to fill LEAST_NS, with collection of garbage off.
    """
    call()
    readings = []
    gc.collect()
    gc.disable()
    try:
        for _ in range(repeats):
            readings.append(reading(call))
    finally:
        gc.enable()
    return Point(size, median(readings), min(readings), max(readings))


def reading(call: Callable[[], object]) -> float:
    """Microseconds a call, of one reading."""
    calls = 0
    began = time.process_time_ns()
    taken = 0
    while taken < LEAST_NS:
        call()
        calls += 1
        taken = time.process_time_ns() - began
    return taken / calls / 1000
