"""The trie of a list's shards: its leaves, how large each is, and how large an unknown one may be.

It begins with all ends of two characters. A leaf that may have more than half of a shard's servers
is split by one further character; split leaves that have become small are joined.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from loadbalancer.core.endpoints.shard_leaves import (
    ALPHABET,
    OTHER,
    group_by_leaf,
    is_plain,
    leaf_of,
    split_leaf,
)

INITIAL_SIZE = 2  # servers that the first leaf requested is assumed to have
INITIAL_LENGTH = 2  # characters of a leaf at first
MAX_GROWTH = 2  # factor by which a shard may grow between two rounds
MIN_PARTS = 10  # parts, at least, that a leaf is assumed to be split into by one further character
SPLIT_PART = 2  # a leaf is split from one in so many of a shard's servers on
JOIN_PART = 4  # parts are joined up to one in so many of a shard's servers
MAX_LEAVES = 2000  # of one query: its filter has to fit into a request line


class ShardTrie:
    """The leaves, with the number of servers of each one.

    Attributes:
        max_shard_size: servers of a shard at most, by its last answer.
    """

    __slots__ = ("_max_seen", "_sizes", "max_shard_size")

    def __init__(self, max_shard_size: int) -> None:
        self.max_shard_size = max_shard_size
        first_leaves = [leaf for last in ALPHABET for leaf in split_leaf(last)]
        # Size of each leaf, None where it was never requested.
        self._sizes: dict[str, int | None] = dict.fromkeys([*first_leaves, OTHER])
        self._max_seen: dict[tuple[str, int], int] = {}  # largest leaf by (last character, length)

    # ---- sizes -----------------------------------------------------------

    def __len__(self) -> int:
        return len(self._sizes)

    def server_count(self) -> int:
        """How many servers are known."""
        return sum(size or 0 for size in self._sizes.values())

    def is_known(self, leaf: str) -> bool:
        """Whether a present leaf was requested before."""
        return self._sizes[leaf] is not None

    def is_unknown(self, leaf: str) -> bool:
        """Whether a leaf is present, and was never requested."""
        return self._sizes.get(leaf, 0) is None

    def has_seen_alike(self, leaf: str) -> bool:
        """Whether a leaf of the same last character and length was seen."""
        return (leaf[-1:], len(leaf)) in self._max_seen

    def max_lines(self, leaves: Iterable[str]) -> int:
        """The number of servers that these leaves may have at most by now."""
        return MAX_GROWTH * max(sum(map(self.assumed_size, leaves)), 1)

    def assumed_size(self, leaf: str) -> int:
        """Servers of a leaf by its last answer, or an estimate from leaves with the same end."""
        known = self._sizes[leaf]
        if known is not None:
            return known
        end = leaf[-1:]
        alike = self._max_seen.get((end, len(leaf)))
        if alike is not None:
            return max(alike, INITIAL_SIZE)
        longer = self._max_seen.get((end, len(leaf) + 1))
        if longer is not None:
            return longer * MIN_PARTS if longer > 1 else INITIAL_SIZE
        of_length = (n for (_, length), n in self._max_seen.items() if length == len(leaf))
        return max([INITIAL_SIZE, *of_length])

    def is_worth_splitting(self, leaf: str) -> bool:
        """Whether a leaf never requested may be too large, and its parts would be smaller.

        Guards against endless splits where keys have a long common end: there a part is as
        large as the leaf.
        """
        assumed = self.assumed_size(leaf)
        longer = self._max_seen.get((leaf[-1:], len(leaf) + 1), 0)
        return assumed > self.max_shard_size and MAX_GROWTH * longer <= assumed

    # ---- answers ---------------------------------------------------------

    def note_sizes(self, leaves: Sequence[str], keys: Sequence[str]) -> None:
        """Note the largest leaf by last character, at the leaves' lengths and one beyond."""
        lengths = {len(leaf) for leaf in leaves if is_plain(leaf)}
        for length in lengths | {n + 1 for n in lengths}:
            for leaf, count in Counter(leaf_of(key, length) for key in keys).items():
                if is_plain(leaf):  # others have fewer keys
                    at = (leaf[-1], length)
                    self._max_seen[at] = max(self._max_seen.get(at, 0), count)
        for leaf in leaves:
            if is_plain(leaf):
                self._max_seen.setdefault((leaf[-1], len(leaf)), 0)

    def set_sizes(self, leaves: Sequence[str], keys: Sequence[str]) -> None:
        """Set the sizes of leaves from all of their keys, and split those that are too large."""
        self.note_sizes(leaves, keys)
        groups = group_by_leaf(leaves, keys)
        for leaf in leaves:
            self._set_size(leaf, groups.get(leaf, []))

    def split_unknown(self, leaf: str) -> bool:
        """Replace a leaf by its parts, never requested; False where it can't be split."""
        parts = split_leaf(leaf)
        if parts:
            del self._sizes[leaf]
            self._sizes.update(dict.fromkeys(parts))
        return bool(parts)

    def _set_size(self, leaf: str, keys: Sequence[str]) -> None:
        self._sizes[leaf] = len(keys)
        is_too_large = len(keys) > max(self.max_shard_size // SPLIT_PART, 1)
        parts = split_leaf(leaf) if is_too_large else []
        if parts:
            del self._sizes[leaf]
            groups = group_by_leaf(parts, keys)
            for part in parts:
                self._set_size(part, groups.get(part, []))

    # ---- shards ----------------------------------------------------------

    def join_small(self) -> None:
        """Replace parts by their leaf where they are small, so that the trie stays small."""
        parents = {leaf[1:] for leaf in self._sizes if len(leaf) > INITIAL_LENGTH}
        for parent in reversed(sorted(parents, key=len)):
            parts = split_leaf(parent)
            sizes = [self._sizes.get(part) for part in parts]
            total = sum(size or 0 for size in sizes)
            if None not in sizes and total <= max(self.max_shard_size // JOIN_PART, 1):
                for part in parts:
                    del self._sizes[part]
                self._sizes[parent] = total

    def shards(self) -> list[tuple[str, ...]]:
        """All leaves, joined into shards of at most `max_shard_size` servers.

        A leaf that was never requested is a shard by itself.
        """
        shards: list[tuple[str, ...]] = []
        shard: list[str] = []
        total = 0
        for leaf in sorted(self._sizes, key=lambda x: x[::-1]):
            known = self._sizes[leaf]
            size = self.max_shard_size if known is None else known
            if shard and (total + size > self.max_shard_size or len(shard) >= MAX_LEAVES):
                shards.append(tuple(shard))
                shard, total = [], 0
            shard.append(leaf)
            total += size
        shards.append(tuple(shard))
        return shards

    def present_leaves(self, leaf: str) -> list[str]:
        """The leaves that a former leaf has become by splits and joins."""
        if leaf in self._sizes:
            return [leaf]
        if any(len(other) > len(leaf) and other.endswith(leaf) for other in self._sizes):
            return [x for part in split_leaf(leaf) for x in self.present_leaves(part)]
        return self.present_leaves(leaf[1:])
