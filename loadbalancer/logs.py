"""The program's log: one line an event on standard error.

Modules log to `logging.getLogger(__name__)`; this sets up the one handler above them all.
`loadbalancer.core` does not log: what it has to report is an action or a return value.
"""

from __future__ import annotations

import logging
import sys
import time
import traceback
from typing import TextIO

ROOT = "loadbalancer"
NS_PER_SECOND = 1_000_000_000
TRACEBACK_FRAMES = 4  # the innermost ones
SERVICE_LINES_PER_SECOND = 20  # of a process that runs for long: a lasting fault repeats


class LineHandler(logging.Handler):
    """Writes each record as `prefix: message`, or the message alone where the prefix is empty.

    An exception logged with the record follows the message, as a traceback.

    A log that nobody reads any more, or not fast enough, raises OSError on a non-blocking
    standard error. The line is lost then: a log must stop no request.
    """

    def __init__(self, prefix: str, stream: TextIO | None = None) -> None:
        super().__init__()
        self._prefix = f"{prefix}: " if prefix else ""
        self._stream = stream

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or lose it."""
        stream = self._stream or sys.stderr
        try:
            print(f"{self._prefix}{_text_of(record)}", file=stream, flush=True)
        except OSError:
            return


def _text_of(record: logging.LogRecord) -> str:
    message = record.getMessage()
    if not record.exc_info:
        return message
    lines = traceback.format_exception(*record.exc_info, limit=-TRACEBACK_FRAMES)
    return f"{message}: {''.join(lines).rstrip()}"


class RateLimit(logging.Filter):
    """Drops lines past a number a second, so that a fault that repeats can't fill the log."""

    def __init__(self, lines_per_second: int) -> None:
        super().__init__()
        self._limit = lines_per_second
        self._second = -1
        self._lines = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether this record is within the present second's lines."""
        del record
        second = time.monotonic_ns() // NS_PER_SECOND
        if second != self._second:
            self._second = second
            self._lines = 0
        self._lines += 1
        return self._lines <= self._limit


def configure(prefix: str, lines_per_second: int | None = None) -> None:
    """Send the program's log to standard error, each line behind `prefix`.

    Called once a process; a second call replaces the first.

    Args:
        prefix: who speaks: the node's name, or the sub-command's; "" for nobody.
        lines_per_second: lines past this number in a second are dropped; None for no limit.
    """
    handler = LineHandler(prefix)
    if lines_per_second is not None:
        handler.addFilter(RateLimit(lines_per_second))
    root = logging.getLogger(ROOT)
    root.handlers = [handler]
    root.setLevel(logging.INFO)
    root.propagate = False
