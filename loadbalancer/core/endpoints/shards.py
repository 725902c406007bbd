"""Which part of a long list a reader requests next, within a rate of lines.

A list service counts the lines that it returns, and all its readers share a limit of lines a
second. A request's lines must be bounded before it is sent, and a complete list has more lines
than one second allows. So a reader requests shards: the servers whose key (their id, unless
another field is configured) ends in given characters. There are two kinds of question (beside a
watch under a filter that no server passes, which returns no line and is not limited here):

- BAD: the servers of a shard that are not passing. In the worst case all of the shard, usually
  almost none: what was reserved and not returned is available again at once.
- WHOLE: all servers of a shard, the shards in turn: finds servers that were added or removed.

The ends of the keys are the leaves of a trie. It begins with all ends of two characters, each
requested by itself. A leaf that may have more than half of a second's lines is split by one
further character before it is requested again; split leaves that have become small are joined.
A round's questions are unions of leaves of up to half of a second's lines, so that each may double
from one round to the next. The bound rests on that, and on the assumption that of the leaves with
one last character none has more than twice as many servers as the largest one seen. Where the
limit is low, a probe of one character more comes before the first leaf of each last character.
`surprises` counts answers with more lines than were reserved or than a second allows: the next
question waits longer for them. Keys that all end alike need another field to be sharded by.

No I/O and no clock; times are in nanoseconds. The limit holds over any period of one second, not
only over seconds of the clock.
"""

from __future__ import annotations

import re
from collections import Counter, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from loadbalancer.core.balancing.model import SECOND

ALPHABET = "0123456789abcdefghijklmnopqrstuvwxyz"
ALONE = "-"  # as a leaf's first character: the key begins there, or another character precedes
OTHER = ""  # the leaf of keys whose last character is not in ALPHABET
INITIAL_SIZE = 2  # servers that the first leaf requested is assumed to have
MAX_GROWTH = 2  # factor by which a shard may grow between two rounds
MIN_PARTS = 10  # parts, at least, that a leaf is assumed to be split into by one further character
INITIAL_LENGTH = 2  # characters of a leaf at first
MAX_LENGTH = 12  # characters of a leaf at most: keys with longer common ends are read together
PROBE_BELOW_LINES = 50  # lines a second; below it a probe precedes a first leaf
JOINED_PARTS = 3  # leaves never requested are joined up to one in so many of a shard's lines
MAX_LEAVES = 2000  # of one question: its filter has to fit into a request line


class Ration:
    """A limit on lines within any period of one second, shared by several readers."""

    __slots__ = ("_reserved", "_reserved_total", "lines")

    def __init__(self, lines: int) -> None:
        if lines < 1:
            raise ValueError("a reader needs at least one line a second")
        self.lines = lines
        self._reserved: deque[list[int]] = deque()  # [reserved at (ns), lines], the oldest first
        self._reserved_total = 0

    def wait(self, now: int, lines: int) -> int:
        """How long until so many lines may be requested, ns; at most until the limit is unused."""
        self._expire(now)
        free = self.lines - self._reserved_total
        need = min(lines, self.lines)
        if need <= free:
            return 0
        for entry in self._reserved:
            free += entry[1]
            if need <= free:
                return max(self._expires_at(entry) - now, 1)
        return SECOND

    def take(self, now: int, lines: int) -> list[int]:
        """Reserve lines; the entry returned is for `settle`."""
        entry = [now, lines]
        self._reserved.append(entry)
        self._reserved_total += lines
        return entry

    def settle(self, now: int, entry: list[int], lines: int) -> None:
        """Replace a reservation by the lines that were returned, which count from now on."""
        if entry in self._reserved:
            self._reserved.remove(entry)
            self._reserved_total -= entry[1]
        self.take(now, lines)

    def _expires_at(self, entry: list[int]) -> int:
        """When an entry no longer counts: after as many seconds as its lines are allowed in."""
        return entry[0] + SECOND * max(-(-entry[1] // self.lines), 1)

    def _expire(self, now: int) -> None:
        while self._reserved and self._expires_at(self._reserved[0]) <= now:
            self._reserved_total -= self._reserved.popleft()[1]


class What(Enum):
    """The kind of a question."""

    BAD = "bad"
    WHOLE = "whole"
    PROBE = "probe"  # a part of a leaf, to learn how large it may be


@dataclass(frozen=True, slots=True)
class Question:
    """One request for the servers of some leaves."""

    what: What
    leaves: tuple[str, ...]
    bound: int  # lines that are reserved for its answer


def tail(key: str, depth: int) -> str:
    """The leaf of `depth` characters that a key belongs to.

    Only characters of ALPHABET count; ALONE precedes a shorter end, OTHER stands for none.
    """
    low = key.lower()
    plain = 0
    while plain < depth and plain < len(low) and low[-1 - plain] in ALPHABET:
        plain += 1
    if not plain:
        return OTHER
    return low[-plain:] if plain == depth else ALONE + low[-plain:]


def sorted_out(leaves: Iterable[str], keys: Iterable[str]) -> dict[str, list[str]]:
    """The keys by leaf, without those of no leaf."""
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
    """The leaves that a leaf is split into; none where it can't be split."""
    if leaf == OTHER or leaf[0] == ALONE or len(leaf) >= MAX_LENGTH:
        return []
    return [first + leaf for first in (*ALPHABET, ALONE)]


class Rounds:
    """The questions of one reader, in turn; at most one is unanswered at any time.

    `checks`: whether the service has health checks, without which BAD questions are useless.
    """

    __slots__ = (
        "_bad_queue", "_bad_requested", "_checks", "_leaves", "_max_seen", "_max_shard",
        "_probed_ends", "_ration", "_reservation", "_whole_queue", "_woken_meanwhile", "rounds",
        "surprises",
    )  # fmt: skip

    def __init__(self, ration: Ration, checks: bool = True) -> None:
        self._ration = ration
        self._checks = checks
        self._bad_requested = False  # since the last WHOLE answer
        self._woken_meanwhile = False  # woken again since then
        # Servers of a shard at most, by its last answer.
        self._max_shard = max(ration.lines // MAX_GROWTH, 1)
        first = [a + b for b in ALPHABET for a in (*ALPHABET, ALONE)]
        # Size of each leaf, None where it was never requested.
        self._leaves: dict[str, int | None] = dict.fromkeys([*first, OTHER])
        self._max_seen: dict[tuple[str, int], int] = {}  # largest leaf by (last character, length)
        self._probed_ends: set[str] = set()  # last characters that were probed
        self._bad_queue: deque[tuple[str, ...]] = deque()
        self._whole_queue: deque[tuple[str, ...]] = deque(self._shards())
        self._reservation: list[int] | None = None
        self.rounds = 0  # rounds of WHOLE questions that have ended
        self.surprises = 0

    def woken(self) -> None:
        """Some check has changed: request the bad servers of each shard once.

        Woken again meanwhile, they are requested once more after a WHOLE question: checks that
        change all the time must not keep a reader from finding servers added or removed.
        """
        if self._bad_requested:
            self._woken_meanwhile = True
        elif self._checks:
            self._bad_requested = True
            known = [x for x in self._shards() if any(self._leaves[i] is not None for i in x)]
            self._bad_queue = deque(known)

    def next(self, now: int) -> tuple[Question | None, int]:
        """(The next question, 0), or (None, how long to wait in ns)."""
        question = self._next_question()
        wait = self._ration.wait(now, question.bound)
        if wait:
            return None, wait
        if question.what is not What.PROBE:
            (self._whole_queue if question.what is What.WHOLE else self._bad_queue).popleft()
        self._reservation = self._ration.take(now, question.bound)
        return question, 0

    def answered(self, now: int, question: Question, keys: Sequence[str]) -> None:
        """An answer has come, with these keys; a WHOLE one gives the leaves their new sizes."""
        self.surprises += len(keys) > min(question.bound, self._ration.lines)
        self._settle(now, len(keys))
        if question.what is What.PROBE:
            self._probed_ends.add(question.leaves[0][-1])
            self._note_sizes(question.leaves, keys)
        elif question.what is What.WHOLE:
            self._note_sizes(question.leaves, keys)
            found = sorted_out(question.leaves, keys)
            for leaf in question.leaves:
                self._set_size(leaf, found.get(leaf, []))
            self._bad_requested = False
            if self._woken_meanwhile:
                self._woken_meanwhile = False
                self.woken()
            if not self._whole_queue:
                self.rounds += 1
                self._join()
                self._whole_queue = deque(self._shards())

    def failed(self, now: int, question: Question) -> None:
        """No usable answer: count the reserved lines as returned, and queue the question again."""
        self._settle(now, question.bound)
        if question.what is not What.PROBE:
            queue = self._whole_queue if question.what is What.WHOLE else self._bad_queue
            queue.appendleft(question.leaves)

    def size(self) -> int:
        """How many servers are known."""
        return sum(n or 0 for n in self._leaves.values())

    # ---- the next question -------------------------------------------------

    def _next_question(self) -> Question:
        """The question whose turn it is; leaves that have grown too large are split first."""
        while True:
            what, queue = (
                (What.BAD, self._bad_queue) if self._bad_queue else (What.WHOLE, self._whole_queue)
            )
            leaves = tuple(part for leaf in queue[0] for part in self._present_leaves(leaf))
            if len(leaves) == 1 and self._leaves[leaves[0]] is None:
                leaf = leaves[0]
                if self._needs_probe(leaf):
                    return Question(What.PROBE, (leaf[-1] + leaf,), MAX_GROWTH * INITIAL_SIZE)
                if self._worth_splitting(leaf) and self._split(leaf, None):
                    continue
            if len(leaves) > 1 and self._bound(leaves) > max(self._ration.lines, MAX_GROWTH):
                # A leaf was split after it was queued: each part is requested by itself.
                queue.popleft()
                queue.extendleft((leaf,) for leaf in reversed(leaves))
                continue
            queue[0] = leaves = self._join_unknown(queue, leaves)
            return Question(what, leaves, self._bound(leaves))

    def _join_unknown(
        self, queue: deque[tuple[str, ...]], leaves: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Join a leaf never requested with the next ones that are assumed to be as small.

        Otherwise a first round would take a question for each of them, most of them empty.
        """
        end = leaves[0][-1:]
        if self._leaves[leaves[0]] is not None or (end, len(leaves[0])) not in self._max_seen:
            return leaves
        joined = list(leaves)
        total = sum(map(self._assumed, joined))
        while len(queue) > 1 and len(queue[1]) == 1 and len(joined) < MAX_LEAVES:
            leaf = queue[1][0]
            if self._leaves.get(leaf, 0) is not None or leaf[-1:] != end:
                break
            total += self._assumed(leaf)
            if total > max(
                self._max_shard // JOINED_PARTS, min(self._max_shard, MAX_GROWTH * INITIAL_SIZE)
            ):
                break
            joined.append(leaf)
            del queue[1]
        return tuple(joined)

    def _present_leaves(self, leaf: str) -> list[str]:
        """The leaves that a leaf has become since it was queued."""
        if leaf in self._leaves:
            return [leaf]
        if any(len(one) > len(leaf) and one.endswith(leaf) for one in self._leaves):
            return [x for part in parts(leaf) for x in self._present_leaves(part)]
        return [leaf[1:]] if leaf[1:] in self._leaves else self._present_leaves(leaf[1:])

    def _needs_probe(self, leaf: str) -> bool:
        """Whether a probe comes first: no key with this end is known, and the limit is low."""
        if self._ration.lines >= PROBE_BELOW_LINES or leaf == OTHER or leaf[0] == ALONE:
            return False
        return leaf[-1] not in self._probed_ends and (leaf[-1], len(leaf)) not in self._max_seen

    def _worth_splitting(self, leaf: str) -> bool:
        """Whether a leaf never requested may be too large, and its parts would be smaller.

        Guards against endless splits where keys have a long common end: there a part is as
        large as the leaf.
        """
        assumed = self._assumed(leaf)
        further = self._max_seen.get((leaf[-1:], len(leaf) + 1), 0)
        return assumed > self._max_shard and MAX_GROWTH * further <= assumed

    def _assumed(self, leaf: str) -> int:
        """Servers of a leaf by its last answer, or an estimate from leaves with the same end."""
        known = self._leaves[leaf]
        if known is not None:
            return known
        end = leaf[-1:]
        wide = self._max_seen.get((end, len(leaf)))
        if wide is not None:
            return max(wide, INITIAL_SIZE)
        deeper = self._max_seen.get((end, len(leaf) + 1))
        if deeper is not None:
            return deeper * MIN_PARTS if deeper > 1 else INITIAL_SIZE
        alike = (n for (_, length), n in self._max_seen.items() if length == len(leaf))
        return max([INITIAL_SIZE, *alike])

    def _bound(self, leaves: Iterable[str]) -> int:
        return MAX_GROWTH * max(sum(map(self._assumed, leaves)), 1)

    # ---- the trie ----------------------------------------------------------

    def _note_sizes(self, leaves: Sequence[str], keys: Sequence[str]) -> None:
        """Note the largest leaf by last character, at the leaves' lengths and one beyond."""
        lengths = {len(leaf) for leaf in leaves if leaf[:1] not in (ALONE, OTHER)}
        for length in lengths | {n + 1 for n in lengths}:
            for end, n in Counter(tail(k, length) for k in keys).items():
                if end[:1] not in (ALONE, OTHER):  # those have fewer keys than other leaves
                    at = (end[-1], length)
                    self._max_seen[at] = max(self._max_seen.get(at, 0), n)
        for leaf in leaves:
            if leaf[:1] not in (ALONE, OTHER):
                self._max_seen.setdefault((leaf[-1], len(leaf)), 0)

    def _split(self, leaf: str, keys: Sequence[str] | None) -> bool:
        """Replace a leaf by its parts, with their sizes where its keys are known."""
        into = parts(leaf)
        if not into:
            return False
        del self._leaves[leaf]
        if keys is None:
            self._leaves.update(dict.fromkeys(into))
            return True
        found = sorted_out(into, keys)
        for part in into:
            self._set_size(part, found.get(part, []))
        return True

    def _set_size(self, leaf: str, keys: Sequence[str]) -> None:
        """Set a leaf's size from all of its keys, and split it where it is too large."""
        self._leaves[leaf] = len(keys)
        if len(keys) > max(self._max_shard // 2, 1):
            self._split(leaf, keys)

    def _join(self) -> None:
        """Replace parts by their leaf where they are small, so that the trie stays small."""
        deep = sorted({leaf[1:] for leaf in self._leaves if len(leaf) > INITIAL_LENGTH}, key=len)
        for parent in reversed(deep):
            sizes = [self._leaves.get(part, None) for part in parts(parent)]
            total = sum(n or 0 for n in sizes)
            if None not in sizes and total <= max(self._max_shard // 4, 1):
                for part in parts(parent):
                    del self._leaves[part]
                self._leaves[parent] = total

    def _shards(self) -> list[tuple[str, ...]]:
        """All leaves, joined into shards of up to half of a second's lines, which may double."""
        out: list[tuple[str, ...]] = []
        row: list[str] = []
        total = 0
        for leaf in sorted(self._leaves, key=lambda x: x[::-1]):
            known = self._leaves[leaf]
            # A leaf that was never requested is a shard by itself.
            size = self._max_shard if known is None else known
            if row and (total + size > self._max_shard or len(row) >= MAX_LEAVES):
                out.append(tuple(row))
                row, total = [], 0
            row.append(leaf)
            total += size
        out.append(tuple(row))
        return out

    def _settle(self, now: int, lines: int) -> None:
        """Replace the reservation of the unanswered question, if any."""
        if self._reservation is not None:
            self._ration.settle(now, self._reservation, lines)
            self._reservation = None


def expression(question: Question, field: str = "Service.ID") -> str:
    """The question as Consul's filter, in its documented grammar."""
    plain = [leaf for leaf in question.leaves if leaf != OTHER]
    some = f'{field} matches "(?i)({_pattern(plain)})$"' if plain else ""
    if OTHER in question.leaves:
        other = f'{field} not matches "(?i)[0-9a-z]$"'
        some = f"({some} or {other})" if some else other
    if question.what is What.BAD:
        # Not `!= "passing"`: on a list it may mean any check or all of them.
        return f'{some} and Checks.Status matches "critical|warning|maintenance"'
    return some


def _pattern(leaves: Sequence[str]) -> str:
    """A regular expression of leaves, grouped by their ends: [0123]7|(^|[^0-9a-z])x."""
    firsts: dict[str, list[str]] = {}
    for leaf in sorted(leaves):
        firsts.setdefault(leaf[1:], []).append(leaf[0])
    rows = []
    for rest, chars in firsts.items():
        plain = "".join(c for c in chars if c != ALONE)
        if ALONE in chars and len(plain) == len(ALPHABET):
            rows.append(re.escape(rest))  # any character, or none, may precede
            continue
        if plain:
            rows.append(f"[{plain}]{rest}")
        if ALONE in chars:
            rows.append(f"(^|[^0-9a-z]){rest}")
    return "|".join(rows)
