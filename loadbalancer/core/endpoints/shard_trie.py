"""The trie of a list's shards: its leaves, their sizes, and estimates for unknown sizes.

At first it has all leaves of two characters. A leaf with more than half of a shard's servers is
split by one further character, and parts that have become small are joined again.
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

INITIAL_SIZE = 2  # assumed servers of a leaf while no size is known
INITIAL_LENGTH = 2  # length of the leaves at the start, in characters
MAX_GROWTH = 2  # factor by which a shard may grow between two rounds
MIN_SPLIT_PARTS = 10  # least number of parts that a split of a leaf is assumed to give
SPLIT_DIVISOR = 2  # a leaf with more than 1/SPLIT_DIVISOR of a shard's servers is split
JOIN_DIVISOR = 4  # parts with up to 1/JOIN_DIVISOR of a shard's servers are joined
MAX_LEAVES = 2000  # maximum leaves of one query, whose filter has to fit into a request line


class ShardTrie:
    """The leaves of the trie, with the number of servers of each one.

    Attributes:
        max_shard_size: how many servers a shard may have by its last answer.
    """

    __slots__ = ("_max_seen_sizes", "_sizes", "max_shard_size")

    def __init__(self, max_shard_size: int) -> None:
        self.max_shard_size = max_shard_size
        first_leaves = [leaf for last in ALPHABET for leaf in split_leaf(last)]
        # The size of each leaf; None if it was never requested.
        self._sizes: dict[str, int | None] = dict.fromkeys([*first_leaves, OTHER])
        # The largest size seen of leaves, by (last character, length).
        self._max_seen_sizes: dict[tuple[str, int], int] = {}

    def __len__(self) -> int:
        return len(self._sizes)

    def server_count(self) -> int:
        """The number of servers in all leaves with a known size."""
        return sum(size or 0 for size in self._sizes.values())

    def is_known(self, leaf: str) -> bool:
        """Whether a leaf of the trie has been requested before."""
        return self._sizes[leaf] is not None

    def is_unknown(self, leaf: str) -> bool:
        """Whether a leaf is in the trie and was never requested."""
        return self._sizes.get(leaf, 0) is None

    def has_seen_similar(self, leaf: str) -> bool:
        """Whether the size of some leaf with the same last character and length has been seen."""
        return (leaf[-1:], len(leaf)) in self._max_seen_sizes

    def max_lines(self, leaves: Iterable[str]) -> int:
        """The largest number of servers that these leaves may have by now."""
        return MAX_GROWTH * max(sum(map(self.assumed_size, leaves)), 1)

    def assumed_size(self, leaf: str) -> int:
        """The servers of a leaf by its last answer, or an estimate from similar leaves."""
        known = self._sizes[leaf]
        if known is not None:
            return known
        last_character = leaf[-1:]
        similar_size = self._max_seen_sizes.get((last_character, len(leaf)))
        if similar_size is not None:
            return max(similar_size, INITIAL_SIZE)
        longer = self._max_seen_sizes.get((last_character, len(leaf) + 1))
        if longer is not None:
            return longer * MIN_SPLIT_PARTS if longer > 1 else INITIAL_SIZE
        of_length = (n for (_, length), n in self._max_seen_sizes.items() if length == len(leaf))
        return max([INITIAL_SIZE, *of_length])

    def should_split_unknown(self, leaf: str) -> bool:
        """Whether a leaf never requested may be too large, and its parts are smaller.

        Guards against endless splits where keys share a long suffix: there, one part is as large
        as the whole leaf.
        """
        assumed = self.assumed_size(leaf)
        longer = self._max_seen_sizes.get((leaf[-1:], len(leaf) + 1), 0)
        return assumed > self.max_shard_size and MAX_GROWTH * longer <= assumed

    def record_max_sizes(self, leaves: Sequence[str], keys: Sequence[str]) -> None:
        """Record the largest size by last character, for the leaves' lengths and one more."""
        lengths = {len(leaf) for leaf in leaves if is_plain(leaf)}
        for length in lengths | {n + 1 for n in lengths}:
            for leaf, count in Counter(leaf_of(key, length) for key in keys).items():
                if is_plain(leaf):  # leaves that are not plain have fewer keys
                    size_key = (leaf[-1], length)
                    self._max_seen_sizes[size_key] = max(
                        self._max_seen_sizes.get(size_key, 0), count
                    )
        for leaf in leaves:
            if is_plain(leaf):
                self._max_seen_sizes.setdefault((leaf[-1], len(leaf)), 0)

    def set_sizes(self, leaves: Sequence[str], keys: Sequence[str]) -> None:
        """Set the sizes of leaves from all of their keys, and split those that are too large."""
        self.record_max_sizes(leaves, keys)
        groups = group_by_leaf(leaves, keys)
        for leaf in leaves:
            self._set_size(leaf, groups.get(leaf, []))

    def split_unknown(self, leaf: str) -> bool:
        """Replace a leaf with its parts, of unknown size; returns False if it can't be split."""
        parts = split_leaf(leaf)
        if parts:
            del self._sizes[leaf]
            self._sizes.update(dict.fromkeys(parts))
        return bool(parts)

    def _set_size(self, leaf: str, keys: Sequence[str]) -> None:
        self._sizes[leaf] = len(keys)
        is_too_large = len(keys) > max(self.max_shard_size // SPLIT_DIVISOR, 1)
        parts = split_leaf(leaf) if is_too_large else []
        if parts:
            del self._sizes[leaf]
            groups = group_by_leaf(parts, keys)
            for part in parts:
                self._set_size(part, groups.get(part, []))

    def join_small(self) -> None:
        """Replace small parts with the leaf that they are parts of, to keep the trie small."""
        parents = {leaf[1:] for leaf in self._sizes if len(leaf) > INITIAL_LENGTH}
        for parent in reversed(sorted(parents, key=len)):
            parts = split_leaf(parent)
            sizes = [self._sizes.get(part) for part in parts]
            total = sum(size or 0 for size in sizes)
            if None not in sizes and total <= max(self.max_shard_size // JOIN_DIVISOR, 1):
                for part in parts:
                    del self._sizes[part]
                self._sizes[parent] = total

    def shards(self) -> list[tuple[str, ...]]:
        """All leaves, grouped into shards of at most `max_shard_size` servers.

        A leaf that was never requested is a shard by itself.
        """
        shards: list[tuple[str, ...]] = []
        shard: list[str] = []
        total = 0
        for leaf in sorted(self._sizes, key=lambda suffix: suffix[::-1]):
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
        """The leaves of the trie that hold the keys of a former leaf, after splits and joins."""
        if leaf in self._sizes:
            return [leaf]
        if any(len(other) > len(leaf) and other.endswith(leaf) for other in self._sizes):
            return [suffix for part in split_leaf(leaf) for suffix in self.present_leaves(part)]
        return self.present_leaves(leaf[1:])
