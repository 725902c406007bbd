"""Memory and processor time of repeated calls in this process."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Mapping
from statistics import median

from benchmarks.scale.fit import Point

ROUNDS = 40
MIN_READING_NS = 3_000_000  # short: some readings then meet no other load on the machine


def point(size: float, readings: list[float]) -> Point:
    """Readings of one cost at one size.

    The minimum is the value: what lies above it was added by other load on the machine (so the
    standard library's `timeit` advises). The median and the maximum show how much that was.
    """
    return Point(size, min(readings), median(readings), max(readings))


def memory(builds: Mapping[int, Callable[[], object]], rounds: int = 3) -> list[Point]:
    """Bytes that each build's result keeps allocated, by tracemalloc, for each size."""
    return [
        point(size, [allocated_bytes(build) for _ in range(rounds)])
        for size, build in builds.items()
    ]


def allocated_bytes(build: Callable[[], object]) -> float:
    """Bytes that one build's result keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        result = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del result
    return float(after - before)


def peak(build: Callable[[], object]) -> float:
    """The maximum of bytes that one build has allocated at a time."""
    gc.collect()
    tracemalloc.start()
    try:
        build()
        return float(tracemalloc.get_traced_memory()[1])
    finally:
        tracemalloc.stop()


def cpu(calls: Mapping[int, Callable[[], object]], rounds: int = ROUNDS) -> list[Point]:
    """Microseconds of this process's processor time a call, for each size.

    Sizes alternate, so that a busy machine slows all of them and not one. Garbage collection is off
    during a reading.
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
    """Microseconds a call, of as many calls as fill MIN_READING_NS."""
    count = 0
    began = time.process_time_ns()
    elapsed_ns = 0
    while elapsed_ns < MIN_READING_NS:
        call()
        count += 1
        elapsed_ns = time.process_time_ns() - began
    return elapsed_ns / count / 1000


def reference() -> float:
    """Microseconds of a plain loop of 10,000 steps: shows which runs met a slower machine."""

    def steps() -> int:
        total = 0
        for i in range(10_000):
            total += i
        return total

    return min(reading(steps) for _ in range(ROUNDS))
