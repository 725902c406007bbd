"""Work that goes on after a fault in one of its steps, as periodic work has to."""

from __future__ import annotations

import logging
import traceback
from collections.abc import Callable

logger = logging.getLogger(__name__)

TRACEBACK_FRAMES = 4  # the innermost ones


def run_logged(step: Callable[..., object], *args: object) -> bool:
    """Run one step, and log what it raises; returns whether it has returned.

    Failure: one connection's sweep raises, and with it the timer's callback ends before it has
    set the next timer. From then on no client of the process is timed out, until a restart.
    Whoever calls each step by this function goes on to the next one, and to its timer.
    """
    try:
        step(*args)
    except Exception:
        name = getattr(step, "__qualname__", repr(step))
        logger.exception("%s raised: %s", name, traceback.format_exc(limit=-TRACEBACK_FRAMES))
        return False
    return True
