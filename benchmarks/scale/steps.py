"""Steps of hollow nodes: written by their processes to files, read by the referee.

A file is a sequence of MessagePack arrays, one a step.
"""

from __future__ import annotations

import time
import zlib
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import BinaryIO, NamedTuple

import msgpack

# In place of a digest: the service is no longer held.
DELETED = -1  # because it was deleted
RELEASED = -2  # because the node is no longer assigned to it

UP, DOWN, RELEASE = "UP", "DOWN", "RELEASED"  # kinds beside the names of UpdateStatus
MAX_STEP_BYTES = 1 << 30


class ServiceDigest(NamedTuple):
    """One service that a step has changed, and the digest of its rows after the step."""

    service: str
    digest: int  # DELETED or RELEASED if it is not held


class Step(NamedTuple):
    """One step of one node, with its fields in the file's order."""

    node: int
    region: str
    position: tuple[int, int]  # epoch and revision of the region's log
    at: int  # monotonic nanoseconds
    kind: str
    changed: Sequence[ServiceDigest]


def row_checksum(uid: str, body: str) -> int:
    """Return the checksum of one row; a service's digest is the sum over its rows."""
    return zlib.crc32(f"{uid}\0{body}".encode())


class StepWriter:
    """Writes the steps of all nodes of one process."""

    def __init__(self, path: Path) -> None:
        self._file: BinaryIO = open(path, "wb")  # noqa: SIM115 - open as long as the process
        self._packer = msgpack.Packer()

    def write(
        self,
        node: int,
        kind: str,
        region: str = "",
        position: tuple[int, int] = (0, 0),
        changed: Sequence[ServiceDigest] = (),
    ) -> None:
        """Write a step that is made now."""
        step = Step(node, region, position, time.monotonic_ns(), kind, changed)
        self._file.write(self._packer.pack(step))

    def flush(self) -> None:
        """Pass what was written on to the file."""
        self._file.flush()


def read_steps(path: Path) -> Iterator[Step]:
    """Yield a file's steps in their order."""
    with open(path, "rb") as file:
        for node, region, (epoch, revision), at, kind, changed in msgpack.Unpacker(
            file, max_buffer_size=MAX_STEP_BYTES
        ):
            digests = [ServiceDigest(*one) for one in changed]
            yield Step(node, region, (epoch, revision), at, kind, digests)
