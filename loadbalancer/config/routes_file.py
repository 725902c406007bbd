"""Reads a routes file from disk and validates it with `core.routes`."""

from __future__ import annotations

from loadbalancer.config.toml_file import FileError, read
from loadbalancer.core import Settings
from loadbalancer.core.routes.faults import Fault
from loadbalancer.core.routes.file import Result, decode


def check_file(path: str, settings: Settings | None) -> Result:
    """Return the file's routing table or its faults.

    A file that can't be read or parsed is reported as a fault too.

    Args:
        path: path of the routes file.
        settings: the node's settings, against which classes and limits are checked; None skips
            those checks.
    """
    try:
        raw, lines = read(path)
    except FileError as err:
        return Result(None, [Fault(err.line, err.rule, err.wrong, err.right)], [])
    return decode(raw, lines, settings)
