"""What to read of a long list next, so that no second returns more lines than allowed.

A list's service counts the lines it returns, and all its readers share a number of them a
second. An answer's size has to be known before it is asked for; a whole list has more
lines than a second allows. So a reader asks for shards: the servers whose key (their id,
unless another field is named) ends in given characters. Two kinds of question, beside a
watch under a filter that nothing passes, which costs no line and needs none of this:

- BAD: the servers of a shard that are not passing. As many as the shard has at worst,
  mostly next to none: what was reserved and not returned may be used at once.
- WHOLE: a shard with all its servers, in turn: finds who came and who left.

The keys' ends are the leaves of a trie. It begins with every two characters, asked one by
one. A leaf that may hold more than half of what a second allows is split by one character
more before it is asked again; leaves that were split and have become thin are joined.
A round's questions are unions of leaves of up to half of what a second allows, so that
each may double from one round to the next. That is what the bound rests on, and that of
the leaves with one last character none has more than twice as many as the largest seen.
Where a second allows few lines, a three-character probe comes before the first of them.
`surprises` counts answers beyond what was reserved or a second allows: they are paid for
by a longer wait, and keys that all end alike need another field to be told apart by.

Pure: told the time in nanoseconds, no I/O. Lines a second are counted over any second,
not over the clock's.
"""

from __future__ import annotations

import re
from collections import Counter, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from loadbalancer.core.balancing.model import SECOND

ALPHABET = "0123456789abcdefghijklmnopqrstuvwxyz"
ALONE = "-"  # in the first place: no such character stands there
OTHER = ""  # keys whose last character is none of these
FIRST = 2  # servers that the first leaf asked for is taken to have
GROWTH = 2  # what a shard may grow by between two rounds
SPREAD = 10  # parts that one character more divides a leaf into, at the least
DEPTH = 2  # characters of a leaf to begin with
DEEPEST = 12  # characters of a leaf: keys alike beyond it are read together
THIN = 50  # lines a second; with fewer, a probe goes before a first leaf
JOINED = 3  # a first question takes a part of a shard's lines: others need not wait for it
LONGEST = 2000  # leaves of one question: its filter has to fit into a request's line


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
        for entry in self._spent:
            free += entry[1]
            if need <= free:
                return max(self._ends(entry) - now, 1)
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

    def _ends(self, entry: list[int]) -> int:
        """One larger than a second allows is a debt: it counts for as many seconds as it took."""
        return entry[0] + SECOND * max(-(-entry[1] // self.lines), 1)

    def _forget(self, now: int) -> None:
        while self._spent and self._ends(self._spent[0]) <= now:
            self._total -= self._spent.popleft()[1]


class What(Enum):
    BAD = "bad"
    WHOLE = "whole"
    PROBE = "probe"  # a part of a leaf, to learn how large it may be


@dataclass(frozen=True, slots=True)
class Question:
    """`leaves`: of the keys asked for; `bound`: the most lines that are reserved for it."""

    what: What
    leaves: tuple[str, ...]
    bound: int


def tail(key: str, depth: int) -> str:
    """A key's end of so many plain characters; ALONE before a shorter one, OTHER for none."""
    low = key.lower()
    plain = 0
    while plain < depth and plain < len(low) and low[-1 - plain] in ALPHABET:
        plain += 1
    if not plain:
        return OTHER
    return low[-plain:] if plain == depth else ALONE + low[-plain:]


def sorted_out(leaves: Iterable[str], keys: Iterable[str]) -> dict[str, list[str]]:
    """The keys of each leaf; those of none are left out."""
    wanted = frozenset(leaves)
    depths = sorted({max(len(leaf), 1) for leaf in wanted})
    found: dict[str, list[str]] = {}
    for key in keys:
        for depth in depths:
            end = tail(key, depth)
            if end in wanted:
                found.setdefault(end, []).append(key)
                break
    return found


def parts(leaf: str) -> list[str]:
    """What a leaf is split into, together all of it; none where it can't be."""
    if leaf == OTHER or leaf[0] == ALONE or len(leaf) >= DEEPEST:
        return []
    return [first + leaf for first in (*ALPHABET, ALONE)]


class Rounds:
    """The questions of one reader, in turn. One is out at any time.

    `checks`: whether there are any to be had, so that BAD questions make sense.
    """

    __slots__ = (
        "_again", "_bad", "_checks", "_entry", "_leaves", "_most", "_probed", "_ration", "_whole",
        "_swept", "_widest", "rounds", "surprises",
    )  # fmt: skip

    def __init__(self, ration: Ration, checks: bool = True) -> None:
        self._ration = ration
        self._checks = checks
        self._swept = False  # since the last whole question
        self._again = False  # woken since
        self._most = max(ration.lines // GROWTH, 1)  # of a shard, as it was last seen
        first = [a + b for b in ALPHABET for a in (*ALPHABET, ALONE)]
        self._leaves: dict[str, int | None] = dict.fromkeys([*first, OTHER])  # None: never asked
        self._widest: dict[tuple[str, int], int] = {}  # by last character and length
        self._probed: set[str] = set()  # last characters
        self._bad: deque[tuple[str, ...]] = deque()
        self._whole: deque[tuple[str, ...]] = deque(self._shards())
        self._entry: list[int] | None = None
        self.rounds = 0  # whole rounds that have ended
        self.surprises = 0

    def woken(self) -> None:
        """Something changed: all shards are asked for their bad ones, once each.

        Woken again on the way, they are asked once more, with a whole question between:
        checks that never rest must not keep a reader from ever finding who came and left.
        """
        if self._swept:
            self._again = True
        elif self._checks:
            self._swept = True
            known = [x for x in self._shards() if any(self._leaves[i] is not None for i in x)]
            self._bad = deque(known)

    def next(self, now: int) -> tuple[Question | None, int]:
        """The next question, or none and how long to wait."""
        question = self._head()
        wait = self._ration.wait(now, question.bound)
        if wait:
            return None, wait
        if question.what is not What.PROBE:
            (self._whole if question.what is What.WHOLE else self._bad).popleft()
        self._entry = self._ration.take(now, question.bound)
        return question, 0

    def answered(self, now: int, question: Question, keys: Sequence[str]) -> None:
        """The keys of the lines returned; those of a whole answer are the shard's new sizes."""
        self.surprises += len(keys) > min(question.bound, self._ration.lines)
        self._back(now, len(keys))
        if question.what is What.PROBE:
            self._probed.add(question.leaves[0][-1])
            self._saw(question.leaves, keys)
        elif question.what is What.WHOLE:
            self._saw(question.leaves, keys)
            found = sorted_out(question.leaves, keys)
            for leaf in question.leaves:
                self._sized(leaf, found.get(leaf, []))
            self._swept = False
            if self._again:
                self._again = False
                self.woken()
            if not self._whole:
                self.rounds += 1
                self._join()
                self._whole = deque(self._shards())

    def failed(self, now: int, question: Question) -> None:
        """No answer that can be used: what was reserved may have been returned. Asked again."""
        self._back(now, question.bound)
        if question.what is not What.PROBE:
            queue = self._whole if question.what is What.WHOLE else self._bad
            queue.appendleft(question.leaves)

    def size(self) -> int:
        """Servers known of."""
        return sum(n or 0 for n in self._leaves.values())

    # ---- what comes next -------------------------------------------------

    def _head(self) -> Question:
        """The question whose turn it is, with leaves that have grown too large split first."""
        while True:
            what, queue = (What.BAD, self._bad) if self._bad else (What.WHOLE, self._whole)
            leaves = tuple(part for leaf in queue[0] for part in self._now(leaf))
            if len(leaves) == 1 and self._leaves[leaves[0]] is None:
                leaf = leaves[0]
                if self._unknown(leaf):
                    return Question(What.PROBE, (leaf[-1] + leaf,), GROWTH * FIRST)
                if self._worth_splitting(leaf) and self._split(leaf, None):
                    continue
            if len(leaves) > 1 and self._bound(leaves) > max(self._ration.lines, GROWTH):
                # Split since it was put into the queue: each part comes by itself.
                queue.popleft()
                queue.extendleft((leaf,) for leaf in reversed(leaves))
                continue
            queue[0] = leaves = self._with_next(queue, leaves)
            return Question(what, leaves, self._bound(leaves))

    def _with_next(self, queue: deque[tuple[str, ...]], leaves: tuple[str, ...]) -> tuple[str, ...]:
        """Leaves never asked for, with those next to them whose sizes can be told alike.

        A first round would otherwise take a question for each of them, most for nothing.
        """
        end = leaves[0][-1:]
        if self._leaves[leaves[0]] is not None or (end, len(leaves[0])) not in self._widest:
            return leaves
        joined = list(leaves)
        total = sum(map(self._assumed, joined))
        while len(queue) > 1 and len(queue[1]) == 1 and len(joined) < LONGEST:
            leaf = queue[1][0]
            if self._leaves.get(leaf, 0) is not None or leaf[-1:] != end:
                break
            total += self._assumed(leaf)
            if total > max(self._most // JOINED, min(self._most, GROWTH * FIRST)):
                break
            joined.append(leaf)
            del queue[1]
        return tuple(joined)

    def _now(self, leaf: str) -> list[str]:
        """The leaves that a leaf has become since it was queued."""
        if leaf in self._leaves:
            return [leaf]
        if any(len(one) > len(leaf) and one.endswith(leaf) for one in self._leaves):
            return [x for part in parts(leaf) for x in self._now(part)]
        return [leaf[1:]] if leaf[1:] in self._leaves else self._now(leaf[1:])

    def _unknown(self, leaf: str) -> bool:
        """Whether a probe has to come first: nothing is known of such keys, and lines are few."""
        if self._ration.lines >= THIN or leaf == OTHER or leaf[0] == ALONE:
            return False
        return leaf[-1] not in self._probed and (leaf[-1], len(leaf)) not in self._widest

    def _worth_splitting(self, leaf: str) -> bool:
        """Whether a leaf never asked for may be too large, and its parts would be smaller.

        Guards against a trie without end where keys are alike: what is large for one
        long common end is as large one character further.
        """
        assumed = self._assumed(leaf)
        further = self._widest.get((leaf[-1:], len(leaf) + 1), 0)
        return assumed > self._most and GROWTH * further <= assumed

    def _assumed(self, leaf: str) -> int:
        """Servers that a leaf may have had when it was last asked, or would have had."""
        known = self._leaves[leaf]
        if known is not None:
            return known
        end = leaf[-1:]
        wide = self._widest.get((end, len(leaf)))
        if wide is not None:
            return max(wide, FIRST)
        deeper = self._widest.get((end, len(leaf) + 1))
        if deeper is not None:
            return deeper * SPREAD if deeper > 1 else FIRST
        alike = (n for (_, length), n in self._widest.items() if length == len(leaf))
        return max([FIRST, *alike])

    def _bound(self, leaves: Iterable[str]) -> int:
        return GROWTH * max(sum(map(self._assumed, leaves)), 1)

    # ---- the trie ----------------------------------------------------------

    def _saw(self, leaves: Sequence[str], keys: Sequence[str]) -> None:
        """Remember how many keys one end may have, at the leaves' lengths and one beyond."""
        asked = {len(leaf) for leaf in leaves if leaf[:1] not in (ALONE, OTHER)}
        for length in asked | {n + 1 for n in asked}:
            for end, n in Counter(tail(k, length) for k in keys).items():
                if end[:1] not in (ALONE, OTHER):  # which hold fewer than the plain ones
                    at = (end[-1], length)
                    self._widest[at] = max(self._widest.get(at, 0), n)
        for leaf in leaves:
            if leaf[:1] not in (ALONE, OTHER):
                self._widest.setdefault((leaf[-1], len(leaf)), 0)

    def _split(self, leaf: str, keys: Sequence[str] | None) -> bool:
        """Put its parts in a leaf's place, with their sizes where its keys are known."""
        into = parts(leaf)
        if not into:
            return False
        del self._leaves[leaf]
        if keys is None:
            self._leaves.update(dict.fromkeys(into))
            return True
        found = sorted_out(into, keys)
        for part in into:
            self._sized(part, found.get(part, []))
        return True

    def _sized(self, leaf: str, keys: Sequence[str]) -> None:
        """These are all of a leaf's keys: remember how many, split it where it is too large."""
        self._leaves[leaf] = len(keys)
        if len(keys) > max(self._most // 2, 1):
            self._split(leaf, keys)

    def _join(self) -> None:
        """Put a split leaf in its parts' place where they are thin: the trie stays small."""
        deep = sorted({leaf[1:] for leaf in self._leaves if len(leaf) > DEPTH}, key=len)
        for parent in reversed(deep):
            sizes = [self._leaves.get(part, None) for part in parts(parent)]
            total = sum(n or 0 for n in sizes)
            if None not in sizes and total <= max(self._most // 4, 1):
                for part in parts(parent):
                    del self._leaves[part]
                self._leaves[parent] = total

    def _shards(self) -> list[tuple[str, ...]]:
        """Leaves joined up to half of a second's lines, so that doubling stays within it."""
        out: list[tuple[str, ...]] = []
        row: list[str] = []
        total = 0
        for leaf in sorted(self._leaves, key=lambda x: x[::-1]):
            known = self._leaves[leaf]
            size = self._most if known is None else known  # one never asked for stands alone
            if row and (total + size > self._most or len(row) >= LONGEST):
                out.append(tuple(row))
                row, total = [], 0
            row.append(leaf)
            total += size
        out.append(tuple(row))
        return out

    def _back(self, now: int, lines: int) -> None:
        if self._entry is not None:
            self._ration.settle(now, self._entry, lines)
            self._entry = None


def expression(question: Question, field: str = "Service.ID") -> str:
    """The question as Consul's filter, in its documented grammar."""
    plain = [leaf for leaf in question.leaves if leaf != OTHER]
    some = f'{field} matches "(?i)({_joined(plain)})$"' if plain else ""
    if OTHER in question.leaves:
        other = f'{field} not matches "(?i)[0-9a-z]$"'
        some = f"({some} or {other})" if some else other
    if question.what is What.BAD:
        # Not `!= "passing"`: over a list that may be read as of all checks, or of any.
        return f'{some} and Checks.Status matches "critical|warning|maintenance"'
    return some


def _joined(leaves: Sequence[str]) -> str:
    """By all but the first character: [0123]7|(^|[^0-9a-z])x."""
    firsts: dict[str, list[str]] = {}
    for leaf in sorted(leaves):
        firsts.setdefault(leaf[1:], []).append(leaf[0])
    rows = []
    for rest, chars in firsts.items():
        plain = "".join(c for c in chars if c != ALONE)
        if ALONE in chars and len(plain) == len(ALPHABET):
            rows.append(re.escape(rest))  # all that ends so, whatever stands before it
            continue
        if plain:
            rows.append(f"[{plain}]{rest}")
        if ALONE in chars:
            rows.append(f"(^|[^0-9a-z]){rest}")
    return "|".join(rows)
