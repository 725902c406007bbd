"""The program's log: one line per event, on standard error.

Modules log to `logging.getLogger(__name__)`; this module configures the handler that all of these
loggers share. `loadbalancer.core` does not log: it reports by actions and return values.
"""

from __future__ import annotations

import logging
import sys
import time
import traceback
from typing import TextIO

ROOT_LOGGER = "loadbalancer"
NS_PER_SECOND = 1_000_000_000
TRACEBACK_FRAMES = 4  # how many are logged, the innermost ones
# Limit for long-running processes, where a persistent fault logs the same line again and again.
SERVICE_LINES_PER_SECOND = 20


class LineHandler(logging.Handler):
    """Writes each record as `prefix: message`, or as the message alone if the prefix is empty.

    The traceback of an exception that is logged with the record follows the message.

    If standard error is non-blocking and its reader is gone or too slow, writing raises OSError.
    The line is dropped then, so that logging never blocks or fails a request.
    """

    def __init__(self, prefix: str, stream: TextIO | None = None) -> None:
        super().__init__()
        self._prefix = f"{prefix}: " if prefix else ""
        self._stream = stream

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or drop it if standard error can't take it."""
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
    """Limits the lines per second, so that a repeated fault can't flood the log."""

    def __init__(self, lines_per_second: int) -> None:
        super().__init__()
        self._limit = lines_per_second
        self._second = -1
        self._lines = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether this record is within the limit of the current second."""
        del record
        second = time.monotonic_ns() // NS_PER_SECOND
        if second != self._second:
            self._second = second
            self._lines = 0
        self._lines += 1
        return self._lines <= self._limit


def configure(prefix: str, lines_per_second: int | None = None) -> None:
    """Send the program's log to standard error, each line preceded by `prefix`.

    Each process calls this once; a second call replaces the handler of the first.

    Args:
        prefix: the name of the node or of the sub-command; "" for none.
        lines_per_second: further lines within the same second are dropped; None for no limit.
    """
    handler = LineHandler(prefix)
    if lines_per_second is not None:
        handler.addFilter(RateLimit(lines_per_second))
    root = logging.getLogger(ROOT_LOGGER)
    root.handlers = [handler]
    root.setLevel(logging.INFO)
    root.propagate = False
