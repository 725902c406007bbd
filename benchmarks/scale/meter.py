"""Memory and processor time of one piece of work in this process, repeated."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Mapping
from statistics import median

from benchmarks.scale.fit import Point

ROUNDS = 40
LEAST_NS = 3_000_000  # short, so that some reading is left alone by others on the machine


def point(size: float, readings: list[float]) -> Point:
    """Readings of one cost at one size.

    The least counts: what lies above it is what others on the machine added (so the standard
    library's `timeit` advises). The median and the most are kept to show how much that was.
    """
    return Point(size, min(readings), median(readings), max(readings))


def memory(builds: Mapping[int, Callable[[], object]], rounds: int = 3) -> list[Point]:
    """Bytes that what each build returns holds, by tracemalloc, by size."""
    return [point(size, [held(build) for _ in range(rounds)]) for size, build in builds.items()]


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


def peak(build: Callable[[], object]) -> float:
    """The most bytes that one build has allocated at a time."""
    gc.collect()
    tracemalloc.start()
    try:
        build()
        return float(tracemalloc.get_traced_memory()[1])
    finally:
        tracemalloc.stop()


def cpu(calls: Mapping[int, Callable[[], object]], rounds: int = ROUNDS) -> list[Point]:
    """Microseconds of this process's processor time a call, by size.

    Sizes take turns, so that a busy machine slows all of them and not one. Collection of garbage
    is off while a reading goes on.
    """
    readings: dict[int, list[float]] = {size: [] for size in calls}
    for call in calls.values():
        call()
    for _ in range(rounds):
        for size, call in calls.items():
            gc.collect()
            gc.disable()
            try:
                readings[size].append(reading(call))
            finally:
                gc.enable()
    return [point(size, found) for size, found in readings.items()]


def reading(call: Callable[[], object]) -> float:
    """Microseconds a call, of as many calls as fill LEAST_NS."""
    count = 0
    began = time.process_time_ns()
    taken = 0
    while taken < LEAST_NS:
        call()
        count += 1
        taken = time.process_time_ns() - began
    return taken / count / 1000


def reference() -> float:
    """Microseconds of a plain loop of 10,000 steps: tells runs on a slower machine apart."""

    def steps() -> int:
        total = 0
        for i in range(10_000):
            total += i
        return total

    return min(reading(steps) for _ in range(ROUNDS))
