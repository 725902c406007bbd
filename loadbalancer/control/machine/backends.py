"""Reads the services' backends from a JSON Lines file, to reload the log of a region.

Each line is an object {"service": NAME, "targets": [...]}, with targets in the list service's
format.
"""

from __future__ import annotations

import json
from collections.abc import Collection
from pathlib import Path

from loadbalancer.control.machine.list_format import ListFormatError, row_from_target
from loadbalancer.core.assignment.model import InvalidInputError, Row

MAX_FILE_BYTES = 1 << 30


def read_backends(path: Path, services: Collection[str]) -> dict[str, tuple[Row, ...]]:
    """Read the rows of `services`; lines of other services are ignored.

    Raises:
        InvalidInputError: the file can't be used; the text names the line.
    """
    rows_by_service: dict[str, tuple[Row, ...]] = dict.fromkeys(services, ())
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise InvalidInputError(
                f"{path.name}: [too-large] more than {MAX_FILE_BYTES} bytes; split the fleet"
            )
        with path.open("rb") as file:
            for number, line in enumerate(file, 1):
                _read_line(f"{path.name}:{number}", line, rows_by_service)
    except OSError as err:
        raise InvalidInputError(
            f"{path.name}: [unreadable] {err.strerror}; check the path in backends_file"
        ) from None
    return rows_by_service


def _read_line(location: str, line: bytes, rows_by_service: dict[str, tuple[Row, ...]]) -> None:
    try:
        raw = json.loads(line)
        service = raw["service"]
        if service in rows_by_service:
            rows_by_service[service] = tuple([row_from_target(target) for target in raw["targets"]])
    except (ValueError, TypeError, KeyError, RecursionError, ListFormatError) as err:
        remedy = 'write {"service": NAME, "targets": [...]}'
        raise InvalidInputError(
            f"{location}: [bad-row] {type(err).__name__}: {err}; {remedy}"
        ) from None
