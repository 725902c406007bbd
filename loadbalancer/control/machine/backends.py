"""The services' backends in a file of JSON lines, for a region that has no log.

One object a line: {"service": NAME, "targets": [...]}, the targets in the list service's form.
"""

from __future__ import annotations

import json
from collections.abc import Collection
from pathlib import Path

from loadbalancer.control.machine.list_format import ListFormatError, row_from_target
from loadbalancer.core.assignment.model import InvalidInputError, Row

MAX_FILE_BYTES = 1 << 30


def read_backends(path: Path, services: Collection[str]) -> dict[str, tuple[Row, ...]]:
    """The rows of these services; lines of other services are passed over.

    Raises:
        InvalidInputError: the file can't be used; the text names the line.
    """
    found: dict[str, tuple[Row, ...]] = dict.fromkeys(services, ())
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise InvalidInputError(
                f"{path.name}: [too-large] over {MAX_FILE_BYTES} bytes; divide the fleet"
            )
        with path.open("rb") as file:
            for number, line in enumerate(file, 1):
                _read_line(f"{path.name}:{number}", line, found)
    except OSError as err:
        raise InvalidInputError(
            f"{path.name}: [unreadable] {err.strerror}; see backends_file"
        ) from None
    return found


def _read_line(place: str, line: bytes, found: dict[str, tuple[Row, ...]]) -> None:
    try:
        raw = json.loads(line)
        service = raw["service"]
        if service in found:
            found[service] = tuple([row_from_target(target) for target in raw["targets"]])
    except (ValueError, TypeError, KeyError, RecursionError, ListFormatError) as err:
        right = 'write {"service": NAME, "targets": [...]}'
        raise InvalidInputError(
            f"{place}: [bad-row] {type(err).__name__}: {err}; {right}"
        ) from None
