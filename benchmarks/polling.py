"""When each of several nodes meets a condition, by polling them in turn."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

TIMEOUT_S = 30.0


def times_until(
    condition: Callable[[int], bool], nodes: Iterable[int], timeout_s: float = TIMEOUT_S
) -> list[float]:
    """Seconds from now until each of these nodes first met the condition, in that order.

    Raises:
        RuntimeError: a node has not met it in time.
    """
    began = time.monotonic()
    remaining = list(nodes)
    times: list[float] = []
    while remaining:
        for node in list(remaining):
            if condition(node):
                remaining.remove(node)
                times.append(time.monotonic() - began)
        if time.monotonic() - began > timeout_s:
            raise RuntimeError(f"nodes {remaining} did not get there in {timeout_s:g} s")
    return times
