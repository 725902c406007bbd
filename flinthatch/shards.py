"""What to read of a long list next, so that no second returns more lines than allowed.

A list's service counts the lines it returns, and all its readers share a number of them a
second. An answer's size has to be known before it is asked for; a whole list has more
lines than a second allows. So a reader asks for shards: the servers whose ids end in
given characters. Two kinds of question, beside a watch under a filter that nothing
passes, which costs no line and needs none of this:

- BAD: the servers of a shard that are not passing. As many as the shard has at worst,
  mostly next to none: what was reserved and not returned may be used at once.
- WHOLE: a shard with all its servers, in turn: finds who came and who left.

A first round asks by every two characters an id can end in, one by one; later ones join
them to shards of up to half of what a second allows, so that a shard may double from one
round to the next. That is what the bound rests on, and that in the first round no suffix
has more than twice as many as the largest before it. `surprises` counts answers beyond
what was reserved: ids that all end alike need another field to be told apart by.

Pure: told the time in nanoseconds, no I/O. Lines a second are counted over any second,
not over the clock's.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000_000
ALPHABET = "0123456789abcdefghijklmnopqrstuvwxyz"
ALONE = "-"  # in the first place: no such character stands there
OTHER = ""  # ids whose last character is none of these
FIRST = 2  # servers that the first suffix asked for is taken to have
GROWTH = 2  # what a shard may grow by between two rounds


class Ration:
    """Lines that may be asked for in any one second."""

    __slots__ = ("_spent", "_total", "lines")

    def __init__(self, lines: int) -> None:
        if lines < 1:
            raise ValueError("a reader needs at least one line a second")
        self.lines = lines
        self._spent: deque[list[int]] = deque()  # [when, lines]
        self._total = 0

    def wait(self, now: int, lines: int) -> int:
        """How long until so many may be asked for; more than all there are wait for all."""
        self._forget(now)
        free = self.lines - self._total
        need = min(lines, self.lines)
        if need <= free:
            return 0
        for when, n in self._spent:
            free += n
            if need <= free:
                return when + SECOND - now
        return SECOND

    def take(self, now: int, lines: int) -> list[int]:
        """Reserve them; the entry is for `settle`."""
        entry = [now, lines]
        self._spent.append(entry)
        self._total += lines
        return entry

    def settle(self, now: int, entry: list[int], lines: int) -> None:
        """The answer came: what was not returned is free, what was counts from now on."""
        if entry in self._spent:
            self._spent.remove(entry)
            self._total -= entry[1]
        self.take(now, lines)

    def _forget(self, now: int) -> None:
        while self._spent and self._spent[0][0] + SECOND <= now:
            self._total -= self._spent.popleft()[1]


class What(Enum):
    BAD = "bad"
    WHOLE = "whole"


@dataclass(frozen=True, slots=True)
class Question:
    """`suffixes`: of the ids asked for; `bound`: the most lines that are reserved for it."""

    what: What
    suffixes: tuple[str, ...]
    bound: int


def suffix_of(uid: str) -> str:
    """An id's last two characters where they are plain; ALONE for one that is not."""
    last = uid[-1:].lower()
    if not last or last not in ALPHABET:
        return OTHER
    before = uid[-2:-1].lower()
    return (before if before and before in ALPHABET else ALONE) + last


class Rounds:
    """The questions of one reader, in turn. One is out at any time."""

    __slots__ = ("_bad", "_entry", "_largest", "_ration", "_sizes", "_whole", "rounds", "surprises")

    def __init__(self, ration: Ration) -> None:
        self._ration = ration
        self._sizes: dict[str, int] = {}  # by suffix; none: never asked
        self._largest = FIRST
        self._bad: deque[tuple[str, ...]] = deque()
        self._whole: deque[tuple[str, ...]] = deque(self._shards())
        self._entry: list[int] | None = None
        self.rounds = 0  # whole rounds that have ended
        self.surprises = 0

    def woken(self) -> None:
        """Something changed: all shards are asked for their bad ones, once each."""
        if self._sizes:
            self._bad = deque(self._shards())

    def next(self, now: int) -> tuple[Question | None, int]:
        """The next question, or none and how long to wait."""
        what, queue = (What.BAD, self._bad) if self._bad else (What.WHOLE, self._whole)
        suffixes = queue[0]
        bound = self._bound(suffixes)
        wait = self._ration.wait(now, bound)
        if wait:
            return None, wait
        queue.popleft()
        self._entry = self._ration.take(now, bound)
        return Question(what, suffixes, bound), 0

    def answered(self, now: int, question: Question, found: Mapping[str, int]) -> None:
        """Lines returned by suffix; those of a whole answer are the shard's new sizes."""
        lines = sum(found.values())
        self.surprises += lines > question.bound
        self._back(now, lines)
        if question.what is What.WHOLE:
            for suffix in question.suffixes:
                self._sizes[suffix] = found.get(suffix, 0)
            self._largest = max(self._largest, *found.values()) if found else self._largest
            if not self._whole:
                self.rounds += 1
                self._whole = deque(self._shards())

    def failed(self, now: int, question: Question) -> None:
        """No answer that can be used: what was reserved may have been returned. Asked again."""
        self._back(now, question.bound)
        queue = self._whole if question.what is What.WHOLE else self._bad
        queue.appendleft(question.suffixes)

    def size(self) -> int:
        """Servers known of."""
        return sum(self._sizes.values())

    def _back(self, now: int, lines: int) -> None:
        if self._entry is not None:
            self._ration.settle(now, self._entry, lines)
            self._entry = None

    def _bound(self, suffixes: Sequence[str]) -> int:
        known = sum(self._sizes.get(s, self._largest) for s in suffixes)
        return GROWTH * max(known, 1)

    def _shards(self) -> list[tuple[str, ...]]:
        """Suffixes joined up to half of a second's lines, so that doubling stays within it."""
        most = max(self._ration.lines // GROWTH, 1)
        pairs = [*(a + b for a in (*ALPHABET, ALONE) for b in ALPHABET), OTHER]
        out: list[tuple[str, ...]] = []
        row: list[str] = []
        total = 0
        for suffix in pairs:
            size = self._sizes.get(suffix, most)  # one never asked for stands alone
            if row and total + size > most:
                out.append(tuple(row))
                row, total = [], 0
            row.append(suffix)
            total += size
        out.append(tuple(row))
        return out


def expression(question: Question, field: str = "Service.ID") -> str:
    """The question as Consul's filter, in its documented grammar."""
    plain = sorted(s for s in question.suffixes if s != OTHER)
    some = f'{field} matches "(?i)({_joined(plain)})$"' if plain else ""
    if OTHER in question.suffixes:
        other = f'{field} not matches "(?i)[0-9a-z]$"'
        some = f"({some} or {other})" if some else other
    if question.what is What.BAD:
        return f'{some} and Checks.Status != "passing"'
    return some


def _joined(pairs: Sequence[str]) -> str:
    """By first character: 0[0123]|1[3x]."""
    ends: dict[str, list[str]] = {}
    for pair in pairs:
        ends.setdefault(pair[0], []).append(pair[1])
    rows = (f"{'(^|[^0-9a-z])' if a == ALONE else a}[{''.join(b)}]" for a, b in ends.items())
    return "|".join(rows)
