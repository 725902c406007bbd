"""Packs a position in a region's log into the integer version of an endpoint list, and back.

The list format has a single integer version of at most 18 decimal digits, which readers only
compare. The epoch is in the high bits and the revision in the low ones, so versions are ordered
like positions. START becomes 0, the version of a reader that has nothing yet.
"""

from __future__ import annotations

from loadbalancer.core.assignment.model import InvalidInputError, Position

REVISION_BITS = 40  # enough for a thousand changes a second during 34 years
MAX_REVISION = (1 << REVISION_BITS) - 1
MAX_EPOCH = (1 << 19) - 1  # keeps MAX_VERSION below 10**18, i.e. at 18 digits
MAX_VERSION = MAX_EPOCH << REVISION_BITS | MAX_REVISION


def version_of(position: Position) -> int:
    """Pack a position into a version.

    Raises:
        InvalidInputError: the epoch or the revision is out of range.
    """
    epoch, revision = position
    if not 0 <= epoch <= MAX_EPOCH or not 0 <= revision <= MAX_REVISION:
        raise InvalidInputError(
            f"position: [range] epoch {epoch}, revision {revision}; "
            f"write 0 to {MAX_EPOCH} and 0 to {MAX_REVISION}"
        )
    return epoch << REVISION_BITS | revision


def position_of(version: int) -> Position:
    """Unpack a version into a position.

    Raises:
        InvalidInputError: the version is out of range.
    """
    if not 0 <= version <= MAX_VERSION:
        raise InvalidInputError(f"version: [range] {version}; write 0 to {MAX_VERSION}")
    return Position(version >> REVISION_BITS, version & MAX_REVISION)
