"""Runs one step of periodic work or of a stop: an exception is logged, and the next step runs."""

from __future__ import annotations

import logging
from collections.abc import Callable

logger = logging.getLogger(__name__)


def run_logged(step: Callable[..., object], *args: object) -> bool:
    """Run one step, and log what it raises; returns whether it has returned.

    Failure: one connection's sweep raises, and with it the timer's callback ends before it has
    set the next timer. From then on no client of the process is timed out, until a restart.
    Whoever calls each step by this function goes on to the next one, and to its timer.
    """
    try:
        step(*args)
    except Exception:
        logger.exception("%s raised", getattr(step, "__qualname__", repr(step)))
        return False
    return True
