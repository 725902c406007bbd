"""Ends of keys as the leaves of a trie: which leaf a key belongs to, and how a leaf is split.

A leaf is written as the characters that its keys end in, in lower case. Only characters of
ALPHABET are told apart: a leaf that begins with BOUNDARY is of the keys that begin after it, or
have another character before it, and OTHER is of the keys whose last character is another one.
"""

from __future__ import annotations

from collections.abc import Iterable

ALPHABET = "0123456789abcdefghijklmnopqrstuvwxyz"
BOUNDARY = "-"
OTHER = ""
MAX_LENGTH = 12  # characters of a leaf at most: keys with longer common ends are read together


def leaf_of(key: str, length: int) -> str:
    """The leaf that a key belongs to among those of up to `length` characters."""
    lower = key.lower()
    plain = 0
    while plain < length and plain < len(lower) and lower[-1 - plain] in ALPHABET:
        plain += 1
    if not plain:
        return OTHER
    return lower[-plain:] if plain == length else BOUNDARY + lower[-plain:]


def is_plain(leaf: str) -> bool:
    """Whether a leaf is given by characters of ALPHABET alone."""
    return leaf[:1] not in (BOUNDARY, OTHER)


def group_by_leaf(leaves: Iterable[str], keys: Iterable[str]) -> dict[str, list[str]]:
    """The keys by leaf, without those of no leaf."""
    wanted = frozenset(leaves)
    lengths = sorted({max(len(leaf), 1) for leaf in wanted})
    groups: dict[str, list[str]] = {}
    for key in keys:
        for length in lengths:
            leaf = leaf_of(key, length)
            if leaf in wanted:
                groups.setdefault(leaf, []).append(key)
                break
    return groups


def split_leaf(leaf: str) -> list[str]:
    """The leaves of one character more that a leaf is split into; none where it can't be split."""
    if not is_plain(leaf) or len(leaf) >= MAX_LENGTH:
        return []
    return [first + leaf for first in (*ALPHABET, BOUNDARY)]
