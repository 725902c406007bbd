"""A position in a region's log as the list's one integer version, and back.

The list's form has one whole number of at most 18 decimal digits, which a reader may only compare.
The epoch goes above the revision, so that the order of versions is the order of positions, and
START is 0: the version of a reader that holds nothing.
"""

from __future__ import annotations

from loadbalancer.core.assignment.model import InvalidInputError, Position

REVISION_BITS = 40  # a thousand changes a second for 34 years
MAX_REVISION = (1 << REVISION_BITS) - 1
MAX_EPOCH = (1 << 19) - 1  # packed they stay under 10**18: 18 digits
MAX_VERSION = MAX_EPOCH << REVISION_BITS | MAX_REVISION


def version_of(position: Position) -> int:
    """The position as one integer.

    Raises:
        InvalidInputError: a part is out of range.
    """
    epoch, revision = position
    if not 0 <= epoch <= MAX_EPOCH or not 0 <= revision <= MAX_REVISION:
        raise InvalidInputError(
            f"position: [range] epoch {epoch}, revision {revision}; "
            f"write 0 to {MAX_EPOCH} and 0 to {MAX_REVISION}"
        )
    return epoch << REVISION_BITS | revision


def position_of(version: int) -> Position:
    """The position that a version means.

    Raises:
        InvalidInputError: no position has it.
    """
    if not 0 <= version <= MAX_VERSION:
        raise InvalidInputError(f"version: [range] {version}; write 0 to {MAX_VERSION}")
    return Position(version >> REVISION_BITS, version & MAX_REVISION)
