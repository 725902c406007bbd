"""Signals that arrive while the program starts: recorded, and acted on once it serves.

Failure: until the event loop handles signals, Python's defaults are in force. A SIGTERM during
the start then ends the process with another status than a stop's, and a SIGHUP, which is a
reload, ends it too. The imports alone take a good part of a second: this module is imported
before them, and imports next to nothing.
"""

from __future__ import annotations

import signal
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP

received: set[int] = set()  # the numbers of those that came since `record`


def record() -> None:
    """Record the signals that stop or reload, from now on."""
    for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
        signal.signal(number, _on_signal)


def _on_signal(number: int, _frame: FrameType | None) -> None:
    received.add(number)
