"""The list as this node has it, the steps between its versions, and the pieces these travel in.

A version is (epoch, rev, mark): `rev` is the list service's own number, `mark` a digest of the
rows in any order, and `epoch` is raised by a reader whom the service has told that it counts
from anew. It is 0 for a list that nobody has read, from a configuration: whatever its number is,
it may be of another day, and goes before none that was read. Versions are ordered as tuples, so
of any two that differ all nodes keep the same one and none goes back. A step says which rows
differ between two versions; it is taken over whole, and only where the rows that come out have
the mark that it names: pieces of two versions that were mixed, a list that is not the one that
was read, or a fault at its writer change nothing.
"""

from __future__ import annotations

import json
import zlib
from collections import OrderedDict
from collections.abc import Mapping
from hashlib import blake2b
from typing import NamedTuple

from loadbalancer.core.endpoints.revisions import Revisions
from loadbalancer.core.gossip.messages import MAX_INTEGER, ReaderRecord

WHOLE = -1  # as a step's base: all rows, whatever there was
LEAST_WHOLE = 2  # one in so many rows changed: a step is then hardly shorter than the list
MOST_PACKED = 1 << 20  # bytes of one step: some 40,000 rows
MOST_RATIO = 16  # of rows to their bytes as packed: what little is sent must cost little
GATHERED = 8  # steps under way at once: past it the one that has got on least of late goes
KEPT_PACKED = 8


class Version(NamedTuple):
    epoch: int
    rev: int
    mark: int


NOTHING = Version(0, 0, 0)


class Step(NamedTuple):
    """Rows by id, None for one that has gone, that differ between `base` and `to`."""

    base: int  # a rev of the same epoch, or WHOLE
    to: Version
    rows: Mapping[str, str | None]


class Packed(NamedTuple):
    """A step as bytes."""

    base: int
    to: Version
    check: int  # of the bytes: pieces of two packings are never joined
    data: bytes


class Piece(NamedTuple):
    """The figures of a PIECE message, in their order; `root` is whose tree it goes down, or -1."""

    epoch: int
    rev: int
    mark: int
    base: int
    total: int
    number: int
    check: int
    root: int

    @property
    def to(self) -> Version:
        return Version(self.epoch, self.rev, self.mark)


def version_of(reading: ReaderRecord) -> Version:
    return Version(reading.epoch, reading.rev, reading.checksum)


def mark_of(uid: str, row: str) -> int:
    """One row's part of a version's mark."""
    text = f"{uid}\n{row}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big") >> 1


def pack(step: Step) -> Packed:
    """As bytes, the same at every node for the same step."""
    text = json.dumps(dict(sorted(step.rows.items())), separators=(",", ":"))
    data = zlib.compress(text.encode(), 9)
    if len(text) > MOST_RATIO * len(data):
        data = zlib.compress(text.encode(), 0)
    return Packed(step.base, step.to, zlib.crc32(data), data)


def unpack(packed: Packed) -> Step | None:
    """The step; None where the bytes are none, or too many."""
    if zlib.crc32(packed.data) != packed.check:
        return None
    opened = zlib.decompressobj()
    try:
        text = opened.decompress(packed.data, MOST_RATIO * len(packed.data) + 1)
        rows = json.loads(text) if opened.eof else None
    except (zlib.error, ValueError, RecursionError):
        return None
    if not isinstance(rows, dict) or not all(r is None or type(r) is str for r in rows.values()):
        return None
    return Step(packed.base, packed.to, rows)


def cut(packed: Packed, room: int) -> int:
    """How many pieces of at most `room` bytes it makes."""
    return -(-len(packed.data) // room)


class Copy:
    """The rows in hand at their version, and what has changed since earlier ones of its epoch."""

    def __init__(self) -> None:
        self.version = NOTHING
        self._list: Revisions[str] = Revisions(0)
        self._packed: OrderedDict[tuple[int, Version], Packed] = OrderedDict()

    @property
    def rows(self) -> Mapping[str, str]:
        return self._list.rows

    def begin(self, rev: int, rows: Mapping[str, str]) -> None:
        """The list from the configuration: it may be old, and none was read."""
        self._move(Version(0, rev, self._marked(rows)), rows)

    def read(self, rev: int, rows: Mapping[str, str | None], whole: bool) -> Step | None:
        """The list service's own answer, which goes before any version; the step to it.

        None where it says nothing new. The service has lost its count where it names an
        earlier version, or other rows for the same one: a new epoch begins.
        """
        old, before = self.version, dict(self.rows)
        changed = {u: r for u, r in rows.items() if r != before.get(u)}
        if whole:
            changed |= {u: None for u in before if u not in rows}
        anew = not old.epoch or rev < old.rev or (rev == old.rev and bool(changed))
        to = Version(old.epoch + anew, rev, self._marked(changed))
        if to == old:
            return None
        leads_on = rev >= old.rev and (not anew or not old.epoch)
        short = leads_on and len(changed) * LEAST_WHOLE < len(before)
        self._move(to, changed)
        return Step(old.rev, to, changed) if short else Step(WHOLE, to, dict(self.rows))

    def fits(self, step: Step | Packed) -> bool:
        """Whether it can be applied to what is in hand, and is news.

        Also to a list that was not read, where it leads on from that number: its mark tells.
        """
        ours = self.version
        leads_on = step.base <= ours.rev and ours.epoch in (0, step.to.epoch)
        return step.to > ours and (step.base == WHOLE or leads_on)

    def loses(self, step: Step) -> int:
        """How many of the rows in hand it would take away."""
        if step.base == WHOLE:
            return sum(uid not in step.rows for uid in self.rows)
        return sum(row is None and uid in self.rows for uid, row in step.rows.items())

    def apply(self, step: Step) -> Mapping[str, str | None] | None:
        """Take over a step that `fits`: the rows that differ by it, None for a wrong mark.

        It may be wrong in good faith: a row that was another between the step's base and its end,
        and is the same at both, is not in it, and a copy from in between has the other.
        """
        changed = {u: r for u, r in step.rows.items() if r != self.rows.get(u)}
        if step.base == WHOLE:
            changed |= {u: None for u in self.rows if u not in step.rows}
        if self._marked(changed) != step.to.mark:
            return None
        self._move(step.to, changed)
        return changed

    def since(self, version: Version) -> Packed:
        """What one who has that version lacks, packed."""
        base, rows = WHOLE, dict[str, str | None](self.rows)
        if version.epoch == self.version.epoch and version.rev < self.version.rev:
            changed, whole = self._list.since(version.rev)
            if not whole and len(changed) * LEAST_WHOLE < len(rows):
                base, rows = version.rev, changed
        return self.packed(Step(base, self.version, rows))

    def packed(self, step: Step) -> Packed:
        """As bytes, kept for a while for those who ask again."""
        found = self._packed.get((step.base, step.to)) or pack(step)
        self.keep(found)
        return found

    def known(self, check: int) -> Packed | None:
        """A packing that was made, or asked for, here."""
        return next((p for p in self._packed.values() if p.check == check), None)

    def keep(self, packed: Packed) -> None:
        """One that may be asked for here."""
        self._packed[packed.base, packed.to] = packed
        self._packed.move_to_end((packed.base, packed.to))
        if len(self._packed) > KEPT_PACKED:
            self._packed.popitem(last=False)

    def _marked(self, changed: Mapping[str, str | None]) -> int:
        """The mark with these rows changed."""
        mark = self.version.mark
        for uid, row in changed.items():
            old = self.rows.get(uid)
            mark ^= mark_of(uid, old) if old is not None else 0
            mark ^= mark_of(uid, row) if row is not None else 0
        return mark

    def _move(self, to: Version, changed: Mapping[str, str | None]) -> None:
        """On to a version; what changed is remembered within an epoch alone."""
        if to.epoch != self.version.epoch:
            rows, self._list = self._list.rows, Revisions(to.rev)
            self._list.rows = rows
        self._list.move(to.rev, changed)
        self.version = to


class Gathering:
    """The pieces of one step that have come so far."""

    __slots__ = ("at", "first", "parts")

    def __init__(self, first: Piece, now: int) -> None:
        self.first = first
        self.parts: dict[int, bytes] = {}
        self.at = now  # of the last piece that was new

    def missing(self) -> list[int]:
        return [n for n in range(self.first.total) if n not in self.parts]


class Pieces:
    """Steps under way to this node, a few at once."""

    def __init__(self, room: int) -> None:
        self._room = room
        self.open: dict[tuple[Version, int, int], Gathering] = {}

    def take(self, now: int, piece: Piece, body: bytes) -> Packed | None | bool:
        """A piece has come: False where it is not new or can't be, the whole once it is there."""
        if not self.is_valid(piece, body):
            return False
        key = (piece.to, piece.base, piece.check)
        held = self.open.get(key)
        if held is None:
            held = self.open[key] = Gathering(piece, now)
            if len(self.open) > GATHERED:
                del self.open[min(self.open, key=lambda k: self.open[k].at)]
        if held.first.total != piece.total or piece.number in held.parts:
            return False
        held.parts[piece.number] = body
        held.at = now
        if len(held.parts) < piece.total:
            return None
        del self.open[key]
        data = b"".join(held.parts[n] for n in range(piece.total))
        return Packed(piece.base, piece.to, piece.check, data)

    def part(self, check: int, number: int) -> tuple[Piece, bytes] | None:
        """One piece of a step that is not whole yet, for others who lack it."""
        for held in self.open.values():
            if held.first.check == check and number in held.parts:
                return held.first._replace(number=number), held.parts[number]
        return None

    def latest(self) -> Gathering | None:
        """What is gathered of the latest version under way."""
        return max(self.open.values(), key=lambda g: g.first.to) if self.open else None

    def drop_until(self, version: Version) -> None:
        """What is gathered of versions up to this one is of no more use."""
        self.open = {k: g for k, g in self.open.items() if g.first.to > version}

    def is_valid(self, piece: Piece, body: bytes) -> bool:
        """Whether its figures can be."""
        return (
            0 < len(body) <= self._room
            and 0 <= piece.number < piece.total <= -(-MOST_PACKED // self._room)
            and piece.base >= WHOLE
            and piece.epoch > 0
            and min(piece[:3]) >= 0
            and max(piece) < MAX_INTEGER
        )
