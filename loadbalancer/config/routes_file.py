"""A routes file on disk, read and checked: the way into `core.routes` for every process."""

from __future__ import annotations

from loadbalancer.config.toml_file import FileError, read
from loadbalancer.core import Settings
from loadbalancer.core.routes.faults import Fault
from loadbalancer.core.routes.file import Result, decode


def check_file(path: str, settings: Settings | None) -> Result:
    """A file's table or faults; what can't be read or parsed is a fault like any other.

    Args:
        path: the routes file.
        settings: the node's, which classes and limits are checked against; None for none.
    """
    try:
        raw, lines = read(path)
    except FileError as err:
        return Result(None, [Fault(err.line, err.rule, err.wrong, err.right)], [])
    return decode(raw, lines, settings)
