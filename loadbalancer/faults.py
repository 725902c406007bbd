"""Runs steps of periodic work and of a shutdown, so that one that raises stops no other."""

from __future__ import annotations

import logging
from collections.abc import Callable

logger = logging.getLogger(__name__)


def run_logged(step: Callable[..., object], *args: object) -> bool:
    """Run one step and log any exception; returns whether the step succeeded.

    Guards against a timer callback that ends before it has set the next timer: when the check of
    a single connection for timeouts raised, no client of the process was timed out any more until
    a restart. A caller that runs each step through this function always reaches the next step and
    its timer.
    """
    try:
        step(*args)
    except Exception:
        logger.exception("%s raised", getattr(step, "__qualname__", repr(step)))
        return False
    return True
