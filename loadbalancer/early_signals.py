"""Records signals that arrive during startup; the node acts on them once it serves.

Until the event loop handles signals, Python's default handlers apply. A SIGTERM during startup
would then end the process with a different exit status than a regular stop, and a SIGHUP, which
requests a reload, would end it too. The program's imports alone take a large part of a second, so
this module is imported before them and imports almost nothing itself.
"""

from __future__ import annotations

import signal
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP

received: set[int] = set()  # the signal numbers received since `record` was called


def record() -> None:
    """Start to record the signals that request a stop or a reload."""
    for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
        signal.signal(number, _on_signal)


def _on_signal(number: int, _frame: FrameType | None) -> None:
    received.add(number)
